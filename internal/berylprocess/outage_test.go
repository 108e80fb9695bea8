package berylprocess

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylfake"
)

// minUnreadyTime is how long the test checks that a host without a configuration stays unready.
const minUnreadyTime = 2 * time.Second

// isReady reports whether /readyz of the host answers 200.
func (f *fleet) isReady(h *host) bool {
	response, err := http.Get("http://" + h.addresses.CallerAddress + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestRestartInOutage restarts a host with new addresses while the platform is down. The host must get the configuration from
// the peer named in its settings and serve, although the other host does not know its new address.
func TestRestartInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 8, engineFlags: fastEngineFlags})
	f.setFault(f.platform, berylfake.PlatformFault{Mode: berylfake.ModeDown})
	result, stop := f.startLoad(4, 30, f.hosts[1])
	f.hosts[0].signal(t, syscall.SIGKILL)
	<-f.hosts[0].exited
	f.peers = []string{"host-2=" + f.hosts[1].addresses.PeerAddress}
	restarted := f.startHost("host-1", loopbackAddress, loopbackAddress)
	f.waitReady(restarted)
	r := f.chat(restarted, "during the outage", 10, true)
	is.True(r.isComplete(chatBody("during the outage", 10, true), true))
	stop()
	t.Logf("complete %d: %q", result.complete.Load(), result.notes)
	is.True(result.complete.Load() > 0)
	is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
}

// TestRestartAlone restarts the only host while the platform is down. The host has no configuration, so it must stay unready
// and refuse requests with not-run until the platform is back.
func TestRestartAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 1, engines: 1, slots: 8, engineFlags: fastEngineFlags})
	f.setFault(f.platform, berylfake.PlatformFault{Mode: berylfake.ModeDown})
	f.hosts[0].signal(t, syscall.SIGKILL)
	restarted := f.restart(f.hosts[0])
	for begin := time.Now(); time.Since(begin) < minUnreadyTime; time.Sleep(pollInterval) {
		is.True(!f.isReady(restarted))
	}
	refused := f.chat(restarted, "too early", 10, true)
	is.Equal(refused.code(), "not-run")
	is.True(refused.header.Get("Retry-After") != "")
	f.setFault(f.platform, berylfake.PlatformFault{})
	f.waitReady(restarted)
	is.Equal(f.chat(restarted, "after the outage", 10, true).status, http.StatusOK)
}

// TestRollingRestartWithJobs restarts every host in turn while streams and jobs are running. No request may fail, and every
// job must complete with each item once.
func TestRollingRestartWithJobs(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 3, engines: 3, slots: 4, resume: true, engineFlags: fastEngineFlags})
	const items = 12
	ids := f.submitJobs(f.hosts[0], 4, items, 150)
	for i := range f.hosts {
		h := f.hosts[i]
		result, stop := f.startLoad(4, 30, f.hosts[(i+1)%3], f.hosts[(i+2)%3])
		long := make(chan reply, 1)
		body := chatBody(fmt.Sprint("stream at ", h.name), 200, true)
		go func() { long <- f.send(t.Context(), h, request{path: "/v1/chat/completions", body: body}) }()
		time.Sleep(300 * time.Millisecond)
		h.signal(t, syscall.SIGTERM)
		<-h.exited
		is.NoErr(h.err)
		is.True((<-long).isComplete(body, true))
		f.waitReady(f.restart(h))
		stop()
		t.Logf("%s: complete %d: %q", h.name, result.complete.Load(), result.notes)
		is.True(result.complete.Load() > 0)
		is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
	}
	f.checkJobsCompleted(is, f.hosts[0], items, ids...)
}

// TestLeavingUpstream checks that an engine gets no new calls soon after it is marked as leaving, and gets calls again after
// the mark is removed.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 3, engines: 3, slots: 8, engineFlags: fastEngineFlags})
	result, stop := f.startLoad(9, 20, f.hosts...)
	leaving := f.engines[0]
	f.eventually("the engine is in use", func() bool { return f.counts(leaving).Started > 0 })
	f.document.Rules.Leaving = []string{leaving.name}
	f.applyDocument()
	var before int
	f.eventually("nothing runs on the leaving engine", func() bool {
		before = f.counts(leaving).Started
		return f.counts(leaving).Running == 0
	})
	complete := result.complete.Load()
	f.eventually("the other engines answer 100 more requests", func() bool { return result.complete.Load() > complete+100 })
	is.Equal(f.counts(leaving).Started, before) // the leaving engine has got no new call
	f.document.Rules.Leaving = nil
	f.applyDocument()
	f.eventually("the engine is used again", func() bool { return f.counts(leaving).Started > before })
	stop()
	is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
}

// Guards against an engine getting new calls after its answers have said that it leaves.
func TestUpstreamThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 3, engines: 3, slots: 8, engineFlags: fastEngineFlags})
	result, stop := f.startLoad(9, 20, f.hosts...)
	leaving := f.engines[0]
	f.eventually("the engine is in use", func() bool { return f.counts(leaving).Started > 0 })
	f.setFault(leaving, berylfake.UpstreamFault{Mode: berylfake.FaultLeaving})
	complete := result.complete.Load()
	f.eventually("answers have said that the engine leaves", func() bool { return result.complete.Load() > complete+100 })
	before := f.counts(leaving).Started
	complete = result.complete.Load()
	f.eventually("the other engines answer 100 more requests", func() bool { return result.complete.Load() > complete+100 })
	is.Equal(f.counts(leaving).Started, before) // the leaving engine has got no new call
	stop()
	is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
}

// TestApplyRace applies different configurations concurrently on top of the same revision. Exactly one must succeed, and it
// must take effect at every host.
func TestApplyRace(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 1, slots: 8, engineFlags: fastEngineFlags})
	for round := range 3 {
		revision := fmt.Sprint(round + 1) // startFleet has applied revision 1.
		var succeeded atomic.Int64
		var appliedLimit atomic.Int64
		var operators conc.WaitGroup
		for n := range 4 {
			document := *f.document
			document.Rules.MaxBodyBytes = 1000 + 100*n
			path := filepath.Join(f.folder, fmt.Sprintf("race-%d-%d.json", round, n))
			f.write(path, document)
			operators.Go(func() {
				command := exec.Command("berylroad", "config", "apply", path, "--if-revision", revision, "--platform", f.platform.url)
				if command.Run() == nil {
					succeeded.Add(1)
					appliedLimit.Store(int64(document.Rules.MaxBodyBytes))
				}
			})
		}
		operators.Wait()
		is.Equal(succeeded.Load(), int64(1))
		for _, h := range f.hosts {
			f.eventually(h.name+" applies the limit of the configuration that succeeded", func() bool { return f.hasBodyLimit(h, int(appliedLimit.Load())) })
		}
	}
}

// hasBodyLimit reports whether the host accepts a body of exactly the limit and rejects one that is a byte longer.
func (f *fleet) hasBodyLimit(h *host, limit int) bool {
	send := func(size int) int {
		body := chatBody("", 1, false)
		padded := append(body, make([]byte, size-len(body))...)
		for i := len(body); i < size; i++ {
			padded[i] = ' '
		}
		return f.send(f.t.Context(), h, request{path: "/v1/chat/completions", body: padded}).status
	}
	return send(limit) == http.StatusOK && send(limit+1) == http.StatusRequestEntityTooLarge
}

// TestPlatformDownThroughout checks that requests without a key are answered during an outage of the platform, and that the
// jobs submitted before it complete without losing an item.
func TestPlatformDownThroughout(t *testing.T) {
	for _, mode := range []berylfake.PlatformMode{berylfake.ModeDown, berylfake.ModeFreeze} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, fleetConfig{hosts: 3, engines: 3, slots: 4, resume: true, engineFlags: fastEngineFlags})
			const items = 6
			ids := f.submitJobs(f.hosts[0], 2, items, 100)
			f.setFault(f.platform, berylfake.PlatformFault{Mode: mode})
			result, stop := f.startLoad(6, 30, f.hosts...)
			time.Sleep(8 * time.Second)
			stop()
			f.setFault(f.platform, berylfake.PlatformFault{})
			t.Logf("complete %d, refused %d, lost %d, wrong %d: %q", result.complete.Load(), result.refused.Load(), result.lost.Load(), result.wrong.Load(), result.notes)
			is.True(result.complete.Load() > 0)
			is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
			f.checkJobsCompleted(is, f.hosts[1], items, ids...)
		})
	}
}
