package berylprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// loadResult counts the replies to the calls of startLoad by outcome.
type loadResult struct {
	complete atomic.Int64
	refused  atomic.Int64
	lost     atomic.Int64
	wrong    atomic.Int64
	mu       sync.Mutex
	notes    []string
}

func (l *loadResult) addNote(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < 20 {
		l.notes = append(l.notes, fmt.Sprintf(format, args...))
	}
}

// record counts a reply as complete, refused (an error status), lost (a failed connection) or wrong (any other answer).
func (l *loadResult) record(text string, r reply, body []byte, stream bool) {
	switch {
	case r.isComplete(body, stream):
		l.complete.Add(1)
	case r.err != nil:
		l.lost.Add(1)
		l.addNote("%s: connection failed: %v", text, r.err)
	case r.status != http.StatusOK:
		l.refused.Add(1)
		l.addNote("%s: %d %s", text, r.status, r.body)
	default:
		l.wrong.Add(1)
		l.addNote("%s: wrong answer: %q", text, r.body)
	}
}

// startLoad sends chat requests from concurrent callers to the hosts until stop is called; stop waits for the last answers.
func (f *fleet) startLoad(callers, tokens int, hosts ...*host) (result *loadResult, stop func()) {
	result = &loadResult{}
	ctx, cancel := context.WithCancel(f.t.Context())
	var workers conc.WaitGroup
	for caller := range callers {
		h := hosts[caller%len(hosts)]
		stream := caller/len(hosts)%2 == 1
		workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := fmt.Sprintf("caller %d request %d", caller, n)
				body := chatBody(text, tokens, stream)
				r := f.send(f.t.Context(), h, request{path: "/v1/chat/completions", body: body})
				result.record(text, r, body, stream)
				if r.err != nil {
					time.Sleep(pollInterval)
				}
			}
		})
	}
	return result, func() {
		cancel()
		workers.Wait()
	}
}

// fastEngineFlags configures engine stand-ins with short token times, so that tests are fast.
var fastEngineFlags = []string{"--token-time", "5ms", "--prefill-time", "10ms", "--resume"}

// TestEngineKilled checks that requests are answered by other engines when an engine is killed or frozen with calls in flight.
func TestEngineKilled(t *testing.T) {
	for _, test := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleetConfig{hosts: 2, engines: 3, slots: 8, resume: true, engineFlags: fastEngineFlags})
			result, stop := f.startLoad(12, 40, f.hosts...)
			time.Sleep(500 * time.Millisecond)
			f.engines[0].signal(t, test.signal)
			time.Sleep(3 * time.Second)
			stop()
			t.Logf("complete %d, refused %d, lost %d, wrong %d: %q", result.complete.Load(), result.refused.Load(), result.lost.Load(), result.wrong.Load(), result.notes)
			is.True(result.complete.Load() > 0)
			is.Equal(result.wrong.Load(), int64(0))   // no answer is truncated, mixed up or incorrect
			is.Equal(result.lost.Load(), int64(0))    // no host has failed, so no connection to one may fail
			is.Equal(result.refused.Load(), int64(0)) // no request is refused, because the other engines have free slots
		})
	}
}

// TestHostLost checks that the other hosts answer every request while a host that owns some of the engines is killed or frozen.
func TestHostLost(t *testing.T) {
	for _, test := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleetConfig{hosts: 3, engines: 6, slots: 4, engineFlags: fastEngineFlags})
			result, stop := f.startLoad(8, 30, f.hosts[1:]...)
			lostHostLoad, stopLostHostLoad := f.startLoad(4, 30, f.hosts[0])
			time.Sleep(500 * time.Millisecond)
			f.hosts[0].signal(t, test.signal)
			time.Sleep(6 * time.Second)
			if test.signal == syscall.SIGSTOP {
				f.hosts[0].signal(t, syscall.SIGCONT) // the host continues with its state of 6 s ago
				time.Sleep(2 * time.Second)
			}
			stop()
			stopLostHostLoad()
			is.Equal(lostHostLoad.wrong.Load(), int64(0)) // the lost host truncates answers, but never ends one as if it were complete
			t.Logf("complete %d, refused %d, lost %d, wrong %d: %q", result.complete.Load(), result.refused.Load(), result.lost.Load(), result.wrong.Load(), result.notes)
			is.True(result.complete.Load() > 0)
			is.Equal(result.wrong.Load(), int64(0))
			is.Equal(result.lost.Load(), int64(0))
			is.Equal(result.refused.Load(), int64(0)) // no request is refused, because the engines have enough slots for all of them
		})
	}
}

// TestPlannedStop checks that a rolling restart of all hosts interrupts no request.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 3, engines: 3, slots: 8, engineFlags: fastEngineFlags})
	for i := range f.hosts {
		h := f.hosts[i]
		var others []*host
		for j := range f.hosts {
			if j != i {
				others = append(others, f.hosts[j])
			}
		}
		result, stop := f.startLoad(4, 30, others...)
		long := make(chan reply, 1)
		body := chatBody("long request at the stopping host", 200, true)
		go func() { long <- f.send(t.Context(), h, request{path: "/v1/chat/completions", body: body}) }()
		time.Sleep(300 * time.Millisecond)
		h.signal(t, syscall.SIGTERM)
		<-h.exited
		is.NoErr(h.err) // a host that has shut down gracefully exits with code 0
		is.True((<-long).isComplete(body, true))
		f.waitReady(f.restart(h))
		stop()
		t.Logf("%s: complete %d: %q", h.name, result.complete.Load(), result.notes)
		is.True(result.complete.Load() > 0)
		is.Equal(result.wrong.Load()+result.lost.Load()+result.refused.Load(), int64(0))
	}
}

// TestOnlineBesideBatch fills every slot with long batch items and checks that online requests are answered first.
func TestOnlineBesideBatch(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 2, engineFlags: fastEngineFlags})
	const items = 12
	batch := f.submit(f.hosts[0], items, 1500) // 1500 tokens of 5 ms take 7.5 s per item
	f.eventually("batch items hold every slot", func() bool {
		return f.counts(f.engines[0]).Running == 2 && f.counts(f.engines[1]).Running == 2
	})
	for n := range 6 {
		start := time.Now()
		r := f.chat(f.hosts[n%2], fmt.Sprint("urgent ", n), 10, true)
		is.True(r.isComplete(chatBody(fmt.Sprint("urgent ", n), 10, true), true))
		took := time.Since(start)
		t.Logf("online request took %s while batch items held all slots", took)
		is.True(took < 3*time.Second) // far below the 7.5 s after which the first batch item would free a slot
	}
	_, err := f.client(f.hosts[1]).Cancel(t.Context(), batch)
	is.NoErr(err)
	f.eventually("the cancelled job's items have stopped", func() bool {
		return f.counts(f.engines[0]).Running+f.counts(f.engines[1]).Running == 0
	})
}

// TestConcurrentCallers checks that each of 200 concurrent callers gets the answer to its own request, half of them as a stream.
func TestConcurrentCallers(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 120, engineFlags: []string{"--token-time", "1ms", "--prefill-time", "5ms", "--batch-growth", "0"}})
	var result loadResult
	var callers conc.WaitGroup
	for n := range 200 {
		callers.Go(func() {
			text, stream := fmt.Sprint("one of many ", n), n%2 == 0
			body := chatBody(text, 20, stream)
			result.record(text, f.send(t.Context(), f.hosts[n%2], request{path: "/v1/chat/completions", body: body}), body, stream)
		})
	}
	callers.Wait()
	t.Logf("%q", result.notes)
	is.Equal(result.complete.Load(), int64(200))
}

// TestCallerGoesAway checks that the engine stops generating soon after the caller of a stream has disconnected.
func TestCallerGoesAway(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 1, engines: 1, slots: 4, engineFlags: fastEngineFlags})
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	body := chatBody("nobody waits for this", 100_000, true)
	go func() {
		done <- f.send(ctx, f.hosts[0], request{path: "/v1/chat/completions", body: body})
	}()
	f.eventually("the call runs", func() bool { return f.counts(f.engines[0]).Running == 1 })
	disconnect()
	<-done
	f.eventually("the engine has stopped", func() bool {
		counts := f.counts(f.engines[0])
		return counts.Running == 0 && counts.Cancelled == 1
	})
	is.True(f.chat(f.hosts[0], "next", 3, true).isComplete(chatBody("next", 3, true), true))
}
