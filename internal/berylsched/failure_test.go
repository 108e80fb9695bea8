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
	"berylroad.example/berylroad/internal/berylsched"
)

var hostNames = []string{"h1", "h2", "h3"}

// hostsExcept returns the fleet's hosts without one of them.
func hostsExcept(gone string) []string {
	var rest []string
	for _, name := range hostNames {
		if name != gone {
			rest = append(rest, name)
		}
	}
	return rest
}

// acquireAsync calls Acquire on a new goroutine. The permit arrives on the channel; a refusal closes it.
func acquireAsync(s *berylsched.Scheduler, req berylpermit.Request) <-chan *berylpermit.Permit {
	c := make(chan *berylpermit.Permit, 1)
	go func() {
		defer close(c)
		if p, _ := s.Acquire(context.Background(), req); p != nil {
			c <- p
		}
	}()
	return c
}

// TestOwnerLostWhileRequestsWait stops the owner while a permit is held and a request waits. The new owner must learn of
// the permit from its holder, so that it grants the slot only after the release.
func TestOwnerLostWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 1), hostNames...)
		defer f.stop()
		owner := berylsched.RendezvousOwner("u1", hostNames)
		rest := hostsExcept(owner)
		req := berylpermit.Request{Target: "m", Remaining: time.Minute}
		held, refusal := f.hosts[rest[0]].Acquire(context.Background(), req)
		is.Equal(refusal, nil)
		waiting := acquireAsync(f.hosts[rest[1]], req)
		time.Sleep(100 * time.Millisecond)

		f.stopHost(owner)
		f.setMembers(rest...)
		time.Sleep(2 * time.Second)
		select {
		case <-waiting:
			t.Fatal("the new owner granted a slot that is still held")
		default:
		}
		held.Release(berylpermit.Report{Kind: beryloutcome.Answered})
		released := time.Now()
		p := <-waiting
		is.True(p != nil)
		is.True(time.Since(released) <= 4*hop)
	})
}

func TestOwnerFrozenWithRequestsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		doc := document(8, 1)
		f := newFleet(doc, hostNames...)
		defer f.stop()
		frozen := berylsched.RendezvousOwner("u1", hostNames)
		f.freeze(frozen, true)
		s := f.hosts[hostsExcept(frozen)[0]]
		start := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				p, refusal := s.Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: 30 * time.Second})
				is.Equal(refusal, nil)
				time.Sleep(100 * time.Millisecond)
				p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: 100 * time.Millisecond})
			})
		}
		wg.Wait()
		is.True(time.Since(start) < 5*time.Second) // the other owners' slots serve all the calls
	})
}

func TestFrozenOwnerDelaysNobodyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(12, 4), hostNames...)
		defer f.stop()
		f.freeze("h3", true)
		longest := time.Duration(0)
		for range 400 {
			start := time.Now()
			p, refusal := f.hosts["h1"].Acquire(context.Background(), berylpermit.Request{
				Target: "m", PrefixHash: uint64(start.UnixNano()), Remaining: 5 * time.Second,
			})
			is.Equal(refusal, nil)
			longest = max(longest, time.Since(start))
			p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
			time.Sleep(10 * time.Millisecond)
		}
		is.True(longest > 4*hop) // at least one call asked the frozen owner before it got a slot elsewhere
		is.True(longest < 50*time.Millisecond)
	})
}

// TestNoOwnerReachable checks that without any owner online requests get one permit for each upstream, and batch requests
// wait until there is an owner.
func TestNoOwnerReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(4, 4), hostNames...)
		defer f.stop()
		s := f.hosts["h1"]
		f.setMembers("h2", "h3")
		f.stopHost("h2")
		f.stopHost("h3")
		for range 4 {
			_, refusal := s.Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: 5 * time.Second})
			is.Equal(refusal, nil)
		}
		_, refusal := s.Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: 2 * time.Second})
		is.True(refusal != nil) // without an owner, each of the 4 upstreams gets just one permit
		start := time.Now()
		batch := acquireAsync(s, berylpermit.Request{Target: "m", Class: berylpermit.Batch, Remaining: time.Hour})
		time.Sleep(10 * time.Second)
		f.setMembers("h1")
		is.True(<-batch != nil)
		is.True(time.Since(start) >= 10*time.Second) // batch work gets no permit without an owner
	})
}

// TestCancelledAcquireGetsNoPermit cancels an Acquire while no owner can be reached: the host must not grant itself a
// permit for it.
func TestCancelledAcquireGetsNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(2, 1), hostNames...)
		defer f.stop()
		f.setMembers("h2", "h3")
		f.freeze("h2", true)
		f.freeze("h3", true)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		p, refusal := f.hosts["h1"].Acquire(ctx, berylpermit.Request{Target: "m", Remaining: time.Minute})
		is.True(p == nil)
		is.Equal(refusal.Code, beryloutcome.CodeCancelled)
	})
}

// TestNothingToWaitFor checks that a request is refused at once if no upstream could ever be granted to it.
func TestNothingToWaitFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		doc := document(1, 1)
		f := newFleet(doc, hostNames...)
		defer f.stop()
		start := time.Now()
		_, refusal := f.hosts["h1"].Acquire(context.Background(), berylpermit.Request{
			Target: "m", Avoid: []string{"u1"}, Remaining: time.Minute,
		})
		is.Equal(refusal.Code, beryloutcome.CodeNotRun)
		doc.Revision++
		doc.Rules.Leaving = []string{"u1"}
		for _, s := range f.hosts {
			s.SetConfig(doc)
		}
		_, refusal = f.hosts["h1"].Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: time.Minute})
		is.Equal(refusal.Code, beryloutcome.CodeNotRun)
		is.True(time.Since(start) < time.Second) // both refusals come at once, not at the deadline of one minute
	})
}

// TestWaitingRequestFindsSlotElsewhere frees the slots one after the other, at any owner, while one batch request waits.
// It must find each slot, also at an owner in whose queue it did not wait at first.
func TestWaitingRequestFindsSlotElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(9, 1), hostNames...)
		defer f.stop()
		time.Sleep(2 * time.Second)
		online := berylpermit.Request{Target: "m", Remaining: time.Minute}
		var held []*berylpermit.Permit
		for range 9 {
			p, refusal := f.hosts["h1"].Acquire(context.Background(), online)
			is.Equal(refusal, nil)
			held = append(held, p)
		}
		for _, p := range held {
			batch := acquireAsync(f.hosts["h2"], berylpermit.Request{Target: "m", Class: berylpermit.Batch, Remaining: time.Hour})
			time.Sleep(500 * time.Millisecond)
			p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
			released := time.Now()
			b := <-batch
			is.True(time.Since(released) < 3*time.Second)
			is.Equal(b.Upstream, p.Upstream)
			b.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
			time.Sleep(10 * time.Millisecond)
			_, refusal := f.hosts["h1"].Acquire(context.Background(), online)
			is.Equal(refusal, nil)
		}
	})
}

// TestCallerGoesWhileWaiting checks that a slot is not granted to a queued request whose caller has cancelled it.
func TestCallerGoesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 1), hostNames...)
		defer f.stop()
		req := berylpermit.Request{Target: "m", Remaining: time.Minute}
		held, refusal := f.hosts["h1"].Acquire(context.Background(), req)
		is.Equal(refusal, nil)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, refusal = f.hosts["h2"].Acquire(ctx, req)
		is.Equal(refusal.Code, beryloutcome.CodeCancelled)
		time.Sleep(10 * time.Millisecond)
		held.Release(berylpermit.Report{})
		start := time.Now()
		_, refusal = f.hosts["h3"].Acquire(context.Background(), req)
		is.Equal(refusal, nil)
		is.True(time.Since(start) <= 4*hop) // the slot did not go to the caller that left
	})
}
