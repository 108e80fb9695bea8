package berylprocess

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylfake"
)

// orderRequest returns a request to the plain service that must run at most once.
func orderRequest(key, text string) request {
	return request{
		path:   "/services/" + service + "/place",
		body:   fmt.Appendf(nil, `{"order":%q}`, text),
		header: http.Header{"Idempotency-Key": {key}},
	}
}

// serviceRuns returns how many runs of a body the service stand-ins have started.
func (f *fleet) serviceRuns(body []byte) int {
	total := 0
	for _, s := range f.services {
		total += f.counts(s).ByBody[berylfake.BodyHash(body)].Started
	}
	return total
}

// delayServices makes the service stand-ins wait before each answer.
func (f *fleet) delayServices(d time.Duration) {
	f.t.Helper()
	for _, s := range f.services {
		f.setFault(s, map[string]any{"mode": "late", "for": d.String()})
	}
}

// onceFleet is the fleet of the tests of requests that must run at most once.
var onceFleet = fleetConfig{hosts: 2, services: 2, engines: 1, slots: 8}

// TestNeverRepeatResent sends each order ten times concurrently through both hosts. It must run once; the other attempts get
// the same answer or in-progress.
func TestNeverRepeatResent(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, onceFleet)
	for n := range 5 {
		o := orderRequest(fmt.Sprint("resent-", n), fmt.Sprint("resent ", n))
		replies := make([]reply, 10)
		var senders conc.WaitGroup
		for i := range replies {
			senders.Go(func() { replies[i] = f.send(t.Context(), f.hosts[i%2], o) })
		}
		senders.Wait()
		answers := 0
		for _, r := range replies {
			is.NoErr(r.err)
			if r.status == http.StatusOK {
				answers++
				continue
			}
			is.Equal(r.code(), "in-progress")
			is.True(r.header.Get("Retry-After") != "")
		}
		is.True(answers > 0)
		is.Equal(f.serviceRuns(o.body), 1)
		again := f.send(t.Context(), f.hosts[n%2], o)
		is.Equal(again.status, http.StatusOK) // the stored answer
		is.Equal(f.serviceRuns(o.body), 1)
	}
}

// TestNeverRepeatHostLost kills or freezes the host that runs an order and sends the order again through the other host. The
// order must not run again, and the caller gets outcome-unknown.
func TestNeverRepeatHostLost(t *testing.T) {
	for _, test := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen and resumed", syscall.SIGSTOP},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, onceFleet)
			f.delayServices(3 * time.Second)
			o := orderRequest("lost", "lost with its host")
			first := make(chan reply, 1)
			go func() { first <- f.send(t.Context(), f.hosts[0], o) }()
			f.eventually("the order runs", func() bool { return f.serviceRuns(o.body) == 1 })
			f.hosts[0].signal(t, test.signal)
			var r reply
			f.eventually("the other host has detected the failure", func() bool {
				r = f.send(t.Context(), f.hosts[1], o)
				return r.code() != "in-progress"
			})
			is.Equal(r.code(), "outcome-unknown")
			if test.signal == syscall.SIGSTOP {
				f.hosts[0].signal(t, syscall.SIGCONT)
				resumed := <-first
				is.True(resumed.err != nil || resumed.code() != "not-run") // the order has run, so not-run would be wrong
			}
			is.Equal(f.serviceRuns(o.body), 1)
			later := f.send(t.Context(), f.hosts[1], o)
			// After the frozen host has resumed and recorded the outcome, the answer itself is allowed as well.
			is.True(later.code() == "outcome-unknown" || test.signal == syscall.SIGSTOP && later.status == http.StatusOK)
			is.Equal(f.serviceRuns(o.body), 1)
		})
	}
}

// TestNeverRepeatPlatform sends an order while platform writes lose their answers or arrive late, or while the platform is
// down or frozen. The order must run at most once, and not-run must be correct.
func TestNeverRepeatPlatform(t *testing.T) {
	for _, test := range []struct {
		name         string
		fault        map[string]any
		allowedCodes map[string]bool
	}{
		{"answer lost after the write", map[string]any{"lose-answers": 1}, map[string]bool{"": true}},
		{"every answer lost", map[string]any{"lose-answers": -1}, map[string]bool{"": true, "outcome-unknown": true, "not-run": true}},
		{"write cut off and late", map[string]any{"late-writes": 1, "late-ms": 300}, map[string]bool{"": true, "outcome-unknown": true, "not-run": true, "in-progress": true}},
		{"down", map[string]any{"mode": "down"}, map[string]bool{"not-run": true}},
		{"frozen", map[string]any{"mode": "freeze", "for-ms": 6000}, map[string]bool{"not-run": true, "outcome-unknown": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, onceFleet)
			leaseSetup := orderRequest("warm", "creates the leases")
			is.Equal(f.send(t.Context(), f.hosts[0], leaseSetup).status, http.StatusOK)
			f.setFault(f.platform, test.fault)
			o := orderRequest("faulty", "under a fault of the platform")
			r := f.send(t.Context(), f.hosts[0], o)
			is.NoErr(r.err)
			t.Logf("answered %d %s", r.status, r.body)
			is.True(test.allowedCodes[r.code()])
			if r.code() == "not-run" {
				is.Equal(f.serviceRuns(o.body), 0) // not-run promises the caller that the order has not run
				is.True(r.header.Get("Retry-After") != "")
			}
			is.True(f.serviceRuns(o.body) <= 1)
			f.setFault(f.platform, map[string]any{})
			for range 6 {
				again := f.send(t.Context(), f.hosts[1], o)
				t.Logf("again %d %s", again.status, again.body)
				if again.code() == "not-run" {
					is.True(f.serviceRuns(o.body) <= 1)
				}
				time.Sleep(200 * time.Millisecond)
			}
			is.True(f.serviceRuns(o.body) <= 1)
		})
	}
}

// TestNeverRepeatNeedsKey checks that an order without an Idempotency-Key is refused as a bad request and does not run.
func TestNeverRepeatNeedsKey(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, onceFleet)
	o := orderRequest("x", "no key")
	o.header = nil
	r := f.send(context.Background(), f.hosts[0], o)
	is.Equal(r.status, http.StatusBadRequest)
	is.Equal(r.code(), "bad-request")
	is.Equal(f.serviceRuns(o.body), 0)
}

// TestKeyedChatRerun checks that a repeatable request with a key, whose host is killed, is run again by another host and gets
// a complete answer.
func TestKeyedChatRerun(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 4, engineFlags: fastEngineFlags})
	r := request{
		path:   "/v1/chat/completions",
		body:   chatBody("keyed and repeatable", 300, false),
		header: http.Header{"Idempotency-Key": {"rerun"}},
	}
	first := make(chan reply, 1)
	go func() { first <- f.send(t.Context(), f.hosts[0], r) }()
	f.eventually("the call runs", func() bool { return f.counts(f.engines[0]).Running+f.counts(f.engines[1]).Running > 0 })
	f.hosts[0].signal(t, syscall.SIGKILL)
	is.True((<-first).err != nil) // the connection to the killed host fails
	var again reply
	f.eventually("the other host takes over", func() bool {
		again = f.send(t.Context(), f.hosts[1], r)
		return again.code() != "in-progress"
	})
	is.True(again.isComplete(r.body, false))
	repeated := f.send(t.Context(), f.hosts[1], r)
	is.Equal(string(repeated.body), string(again.body)) // later requests with the key get the same answer
}
