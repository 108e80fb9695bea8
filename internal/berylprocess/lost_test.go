package berylprocess

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylfake"
)

// submitJobs submits jobs at the host and returns their ids.
func (f *fleet) submitJobs(h *host, jobs, items, tokens int) []string {
	f.t.Helper()
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = f.submit(h, items, tokens)
	}
	return ids
}

// checkJobsCompleted waits until the jobs are completed and checks that the results of each contain every item exactly once.
func (f *fleet) checkJobsCompleted(is *is.I, h *host, items int, ids ...string) {
	f.t.Helper()
	client := f.client(h)
	for _, id := range ids {
		var file string
		f.eventually("job "+id+" is completed", func() bool {
			batch, err := client.Batch(f.t.Context(), id)
			if err != nil {
				return false
			}
			file = batch.OutputFileID
			return batch.Status == "completed" && batch.RequestCounts.Completed == items
		})
		results, err := client.Content(f.t.Context(), file)
		is.NoErr(err)
		is.Equal(strings.Count(string(results), `"custom_id"`), items)
		for i := range items {
			is.Equal(strings.Count(string(results), fmt.Sprintf(`"custom_id":"item-%d"`, i)), 1)
		}
	}
}

// checkAllSlotsUsable waits until calls through the hosts hold all slots of all engines at the same time, which shows that
// no slot has leaked.
func (f *fleet) checkAllSlotsUsable(hosts ...*host) {
	f.t.Helper()
	slots := len(f.engines) * f.config.slots
	most := func(done <-chan struct{}) (running int) {
		for {
			select {
			case <-done:
				return running
			case <-time.After(pollInterval):
				running = max(running, f.runningCalls())
			}
		}
	}
	round := 0
	f.eventually(fmt.Sprintf("all %d slots are in use", slots), func() bool {
		round++
		var calls conc.WaitGroup
		for n := range slots {
			calls.Go(func() { f.chat(hosts[n%len(hosts)], fmt.Sprint("slot ", n, " round ", round), 100, true) })
		}
		done := make(chan struct{})
		go func() { calls.Wait(); close(done) }()
		return most(done) >= slots
	})
}

// TestHostLostWithWork kills or freezes a host that owns some of the engines and jobs, while batch work holds every slot and
// online requests wait. No online request at the other hosts may fail, all jobs must complete, and no slot may leak.
func TestHostLostWithWork(t *testing.T) {
	runningFleets := make(chan struct{}, maxParallelFleets)
	for _, test := range []struct {
		name   string
		signal syscall.Signal
		// engine means that an engine is killed together with the host.
		engine bool
		// platform means that the platform is down from the loss of the host until the online requests have been answered.
		platform bool
	}{
		{name: "killed", signal: syscall.SIGKILL},
		{name: "frozen", signal: syscall.SIGSTOP},
		{name: "killed with an engine", signal: syscall.SIGKILL, engine: true},
		{name: "killed with the platform", signal: syscall.SIGKILL, platform: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runningFleets <- struct{}{}
			defer func() { <-runningFleets }()
			is := is.New(t)
			f := startFleet(t, fleetConfig{hosts: 3, engines: 6, slots: 1, resume: true, engineFlags: fastEngineFlags})
			const jobs, items = 6, 4
			ids := f.submitJobs(f.hosts[1], jobs, items, 100)
			f.eventually("batch work holds every slot", func() bool { return f.runningCalls() == len(f.engines) })
			result, stop := f.startLoad(8, 30, f.hosts[1:]...)
			time.Sleep(300 * time.Millisecond)
			f.hosts[0].signal(t, test.signal)
			if test.platform {
				f.setFault(f.platform, berylfake.PlatformFault{Mode: berylfake.ModeDown})
			}
			if test.engine {
				f.engines[0].signal(t, syscall.SIGKILL)
				f.engines = f.engines[1:]
			}
			time.Sleep(6 * time.Second)
			stop()
			f.setFault(f.platform, berylfake.PlatformFault{})
			t.Logf("complete %d, refused %d, lost %d, wrong %d: %q", result.complete.Load(), result.refused.Load(), result.lost.Load(), result.wrong.Load(), result.notes)
			is.True(result.complete.Load() > 0)
			is.Equal(result.wrong.Load(), int64(0))
			is.Equal(result.lost.Load(), int64(0))
			is.Equal(result.refused.Load(), int64(0)) // online requests take precedence over batch work, so slots are available
			f.checkJobsCompleted(is, f.hosts[1], items, ids...)
			f.checkAllSlotsUsable(f.hosts[1:]...)
		})
	}
}

// TestEntryHostLost checks that the slots held by the calls of a killed host become available to the other hosts.
func TestEntryHostLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetConfig{hosts: 3, engines: 6, slots: 1, engineFlags: fastEngineFlags})
	var calls conc.WaitGroup
	defer calls.Wait()
	for n := range 6 {
		calls.Go(func() { f.chat(f.hosts[0], fmt.Sprint("takes long ", n), 1000, true) })
	}
	f.eventually("the host's calls hold every slot", func() bool { return f.runningCalls() == 6 })
	f.hosts[0].signal(t, syscall.SIGKILL)
	f.eventually("the engines have stopped", func() bool { return f.runningCalls() == 0 })
	f.checkAllSlotsUsable(f.hosts[1:]...)
}

// TestAllEnginesRecover checks that requests are answered soon after all engines recover from 12 s of errors. Engines that
// keep failing get no calls except probes, so a late probe would delay the recovery.
func TestAllEnginesRecover(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 4, engineFlags: fastEngineFlags})
	is.Equal(f.chat(f.hosts[0], "before", 3, false).status, http.StatusOK)
	for _, e := range f.engines {
		f.setFault(e, map[string]any{"mode": "status", "status": 500})
	}
	for begin, n := time.Now(), 0; time.Since(begin) < 12*time.Second; n++ {
		is.True(f.chat(f.hosts[n%2], fmt.Sprint("during ", n), 3, false).status != http.StatusOK)
		time.Sleep(pollInterval)
	}
	for _, e := range f.engines {
		f.setFault(e, map[string]any{})
	}
	begin := time.Now()
	f.eventually("a caller is answered", func() bool {
		return f.chat(f.hosts[0], "after", 3, false).status == http.StatusOK
	})
	took := time.Since(begin)
	t.Logf("answered %s after the engines recovered", took)
	is.True(took < 5*time.Second) // engines are probed every second
}
