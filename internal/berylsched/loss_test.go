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

// TestNoPermitIsLostForEver loses and duplicates messages, moves ownership and freezes owners. Afterwards every slot must
// be available again, and only once.
func TestNoPermitIsLostForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(document(6, 2), hostNames...)
		defer f.stop()
		f.setFaults(0.05, 0.05)
		var wg sync.WaitGroup
		for i := range 30 {
			s := f.hosts[hostNames[i%3]]
			class := berylpermit.Class(i / 15)
			wg.Go(func() {
				for range 60 {
					p, refusal := s.Acquire(context.Background(), berylpermit.Request{
						Target: "m", Class: class, Remaining: 2 * time.Second,
					})
					is.True((p == nil) != (refusal == nil)) // Acquire returns either a permit or a refusal, never both or none
					if p == nil {
						time.Sleep(refusal.RetryAfter)
						continue
					}
					select {
					case <-p.Yield:
					case <-time.After(200 * time.Millisecond):
					}
					p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: 200 * time.Millisecond})
				}
			})
		}
		for i := range 12 {
			name := hostNames[i%3]
			f.setMembers(hostsExcept(name)...)
			time.Sleep(700 * time.Millisecond)
			f.setMembers(hostNames...)
			f.freeze(name, true)
			time.Sleep(700 * time.Millisecond)
			f.freeze(name, false)
		}
		wg.Wait()
		f.setFaults(0, 0)
		time.Sleep(20 * time.Second)
		req := berylpermit.Request{Target: "m", Remaining: 200 * time.Millisecond}
		for range 12 {
			_, refusal := f.hosts["h1"].Acquire(context.Background(), req)
			is.Equal(refusal, nil) // every slot is free again
		}
		_, refusal := f.hosts["h1"].Acquire(context.Background(), req)
		is.True(refusal != nil) // all 12 slots are taken, so a further permit would use one twice
	})
}

// TestSlotsHoldUnderLossAndDoubling checks that, while ownership does not change, lost and duplicate messages never lead
// to a slot that is granted twice.
func TestSlotsHoldUnderLossAndDoubling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(6, 2), hostNames...)
		defer f.stop()
		f.setFaults(0.1, 0.1)
		var mu sync.Mutex
		inFlight := make(map[string]int)
		most, granted := 0, 0
		count := func(upstream string, n int) {
			mu.Lock()
			defer mu.Unlock()
			inFlight[upstream] += n
			most = max(most, inFlight[upstream])
			granted += max(n, 0)
		}
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				for range 50 {
					p, refusal := f.hosts[hostNames[i%3]].Acquire(context.Background(), berylpermit.Request{
						Target: "m", Long: i%2 == 0, Remaining: 5 * time.Second,
					})
					if refusal != nil {
						time.Sleep(refusal.RetryAfter)
						continue
					}
					count(p.Upstream, 1)
					time.Sleep(100 * time.Millisecond)
					count(p.Upstream, -1)
					p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: 100 * time.Millisecond})
				}
			})
		}
		wg.Wait()
		t.Logf("%d permits granted", granted)
		is.True(granted > 500)
		is.Equal(most, 2) // an upstream had both its slots in use, but never more
	})
}

// TestLongHeldPermitIsNotGivenTwice holds the only slot for longer than permitLease and then moves ownership: the holder's
// reports must keep the permit alive.
func TestLongHeldPermitIsNotGivenTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 1), hostNames...)
		defer f.stop()
		_, refusal := f.hosts["h1"].Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: time.Minute})
		is.Equal(refusal, nil)
		time.Sleep(time.Minute)
		for _, members := range [][]string{hostNames, hostsExcept(berylsched.RendezvousOwner("u1", hostNames)), hostNames} {
			_, refusal = f.hosts[members[0]].Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: time.Second})
			is.True(refusal != nil)
			f.setMembers(members...)
			time.Sleep(time.Second)
		}
	})
}

// TestTwoOwnersAtOnce gives hosts different lists of members, so that two hosts consider themselves the owner and both
// grant the only slot. Once the lists agree, the remaining owner must count both permits.
func TestTwoOwnersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 1), hostNames...)
		defer f.stop()
		old := berylsched.RendezvousOwner("u1", hostNames)
		rest := hostsExcept(old)
		for _, name := range rest {
			f.hosts[name].SetMembers([]berylsched.Member{{Name: rest[0], Boot: 1}, {Name: rest[1], Boot: 1}})
		}
		time.Sleep(2 * time.Second)
		req := berylpermit.Request{Target: "m", Remaining: time.Second}
		first, refusal := f.hosts[old].Acquire(context.Background(), req)
		is.Equal(refusal, nil)
		second, refusal := f.hosts[rest[0]].Acquire(context.Background(), req)
		is.Equal(refusal, nil) // while the lists differ, the second owner grants the same slot

		f.setMembers(rest...)
		time.Sleep(100 * time.Millisecond)
		second.Release(berylpermit.Report{})
		_, refusal = f.hosts[rest[1]].Acquire(context.Background(), req)
		is.True(refusal != nil) // a report has told the new owner of the old one's permit
		first.Release(berylpermit.Report{})
		time.Sleep(10 * time.Millisecond)
		_, refusal = f.hosts[rest[1]].Acquire(context.Background(), req)
		is.Equal(refusal, nil)
	})
}

func TestFullEventQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := berylsched.New(berylsched.Settings{Host: "h1", Boot: 1}) // without Run, the event queue fills up
		ctx, cancel := context.WithCancel(context.Background())
		for seq := range uint64(4096) {
			go func() {
				_, _ = s.HandlePermitRequest(ctx, "h1", berylpermit.Request{ID: berylpermit.ID{Host: "h1", Seq: seq}})
			}()
		}
		synctest.Wait()
		reply, err := s.HandlePermitRequest(ctx, "h1", berylpermit.Request{ID: berylpermit.ID{Host: "h1", Seq: 9999}})
		is.NoErr(err)
		is.Equal(reply.Verdict, berylpermit.Refused)
		_, err = s.HandlePermitRequest(ctx, "h2", berylpermit.Request{ID: berylpermit.ID{Host: "h1", Seq: 9999}})
		is.True(err != nil) // no host may send a request in another's name
		cancel()
	})
}
