package berylsched_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// TestUpstreamThatRefusesAll checks that an upstream that refuses every call is ejected, and is used again soon after it
// accepts calls. It always looks idle, so that it would attract the work of all hosts and cost them time and messages.
func TestUpstreamThatRefusesAll(t *testing.T) {
	for _, tt := range []struct {
		name   string
		report berylpermit.Report
	}{
		{"not run", berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true, HeldFor: time.Millisecond}},
		{"another upstream at the address", berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true, Fault: true, HeldFor: time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(document(6, 4), hostNames...)
				defer f.stop()
				time.Sleep(2 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				calls := make(map[string]int)
				refusing := true
				answer := berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second, TimeToFirstToken: 50 * time.Millisecond}
				var wg sync.WaitGroup
				work := func(s acquirer, class berylpermit.Class, pause time.Duration) {
					for ctx.Err() == nil {
						permit, _ := s.Acquire(ctx, berylpermit.Request{Target: "m", Class: class, Remaining: 30 * time.Second, Queue: true})
						if permit == nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						mu.Lock()
						calls[permit.Upstream]++
						refused := refusing && permit.Upstream == "u1"
						mu.Unlock()
						if refused {
							time.Sleep(tt.report.HeldFor)
							permit.Release(tt.report)
							continue
						}
						select {
						case <-time.After(answer.HeldFor):
						case <-permit.Yield:
						}
						permit.Release(answer)
						time.Sleep(pause)
					}
				}
				for _, name := range hostNames {
					for range 6 {
						wg.Go(func() { work(f.hosts[name], berylpermit.Batch, 0) })
					}
					wg.Go(func() { work(f.hosts[name], berylpermit.Online, 300*time.Millisecond) })
				}
				time.Sleep(10 * time.Second)
				mu.Lock()
				is.True(calls["u1"] <= 40) // a few calls until the upstream is ejected, then only probes
				is.True(calls["u2"] >= 20)
				refusing = false
				clear(calls)
				mu.Unlock()
				time.Sleep(20 * time.Second)
				mu.Lock()
				is.True(calls["u1"] >= calls["u2"]/4)
				mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestFullUpstreamStaysInUse checks that refused calls don't eject an upstream that is nearly full.
func TestFullUpstreamStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 8), hostNames...)
		defer f.stop()
		time.Sleep(2 * time.Second)
		req := berylpermit.Request{Target: "m", Remaining: time.Minute, Queue: true}
		var held []*berylpermit.Permit
		for range 6 {
			p, refusal := f.hosts["h1"].Acquire(t.Context(), req)
			is.Equal(refusal, nil)
			held = append(held, p)
		}
		for range 20 {
			p, refusal := f.hosts["h2"].Acquire(t.Context(), req)
			is.Equal(refusal, nil)
			p.Release(berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true, HeldFor: time.Millisecond})
			time.Sleep(5 * time.Millisecond)
		}
		start := time.Now()
		p, refusal := f.hosts["h3"].Acquire(t.Context(), req)
		is.Equal(refusal, nil)
		is.True(time.Since(start) <= 10*hop)
		for _, p := range append(held, p) {
			p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
		}
	})
}
