package berylsched_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

const (
	// testLimit is the limit that each upstream names, in requests a second.
	testLimit = 4.0
	// limitLearned is how long after the first answer with a limit all hosts must hold the upstream to it, limitWindow the
	// span in which requests are counted; an upstream may get 1.5 times what the limit allows then, and limitAllowance more.
	limitLearned   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitAllowance = 5
)

// limitedUpstreams records the calls of a fleet to upstreams that name a limit.
type limitedUpstreams struct {
	fleet *fleet

	mu    sync.Mutex
	calls map[string][]time.Time
	wg    sync.WaitGroup
}

// send makes a host send requests at intervals until ctx ends.
func (l *limitedUpstreams) send(ctx context.Context, host string, class berylpermit.Class, interval time.Duration) {
	for ctx.Err() == nil {
		l.wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			p, _ := l.fleet.hosts[host].Acquire(callCtx, berylpermit.Request{Target: "m", Class: class, Remaining: time.Second, MaxQueueWait: 150 * time.Millisecond})
			if p != nil {
				l.call(p)
			}
		})
		time.Sleep(interval)
	}
}

func (l *limitedUpstreams) call(p *berylpermit.Permit) {
	l.mu.Lock()
	l.calls[p.Upstream] = append(l.calls[p.Upstream], time.Now())
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	p.ReportStatement(berylpermit.Statement{Limit: berylpermit.Limit{Known: true, Limited: true, PerSecond: testLimit}})
	select {
	case <-p.Yield:
	case <-time.After(180 * time.Millisecond):
	}
	p.Release(berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 20 * time.Millisecond, HeldFor: 200 * time.Millisecond})
}

// exchangeLoads passes the loads of each owner to the other hosts, as the membership does, until ctx ends.
func (l *limitedUpstreams) exchangeLoads(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		for from, s := range l.fleet.hosts {
			for to, other := range l.fleet.hosts {
				if from != to && !l.fleet.isUnreachable(from) && !l.fleet.isUnreachable(to) {
					other.RecordLoads(s.Loads())
				}
			}
		}
	}
}

// check fails the test if an upstream has got more than its limit allows.
func (l *limitedUpstreams) check(t *testing.T, began time.Time) {
	allowed := int(1.5*testLimit*limitWindow.Seconds()) + limitAllowance
	for name, calls := range l.calls {
		for i, first := range calls {
			n := 0
			for _, at := range calls[i:] {
				if at.Sub(first) < limitWindow {
					n++
				}
			}
			if first.Sub(began) >= limitLearned && n > allowed {
				t.Errorf("%s got %d requests within %v, %v after the start; allowed %d", name, n, limitWindow, first.Sub(began), allowed)
				break
			}
		}
	}
}

// Guards against an upstream that gets more than its limit because its owner changes, is frozen or is out of reach.
func TestLimitAcrossOwners(t *testing.T) {
	for name, fail := range map[string]func(f *fleet, owner string){
		"calm": func(*fleet, string) {},
		"owner killed": func(f *fleet, owner string) {
			f.stopHost(owner)
			time.Sleep(2 * time.Second)
			f.setMembers(hostsExcept(owner)...)
		},
		"owner frozen, then back": func(f *fleet, owner string) {
			f.freeze(owner, true)
			time.Sleep(2 * time.Second)
			f.setMembers(hostsExcept(owner)...)
			time.Sleep(2 * time.Second)
			f.freeze(owner, false)
			f.setMembers(hostNames...)
		},
		"owners change again and again": func(f *fleet, owner string) {
			for range 5 {
				f.setMembers(hostsExcept(owner)...)
				time.Sleep(700 * time.Millisecond)
				f.setMembers(hostNames...)
				time.Sleep(700 * time.Millisecond)
			}
		},
		"all other hosts out of reach": func(f *fleet, owner string) {
			for _, host := range hostsExcept(owner) {
				f.stopHost(host)
			}
		},
		"messages lost and doubled": func(f *fleet, _ string) { f.setFaults(0.2, 0.2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(document(3, 8), hostNames...)
				defer f.stop()
				l := &limitedUpstreams{fleet: f, calls: make(map[string][]time.Time)}
				ctx, cancel := context.WithCancel(context.Background())
				began := time.Now()
				l.wg.Go(func() { l.exchangeLoads(ctx) })
				for _, host := range hostNames {
					l.wg.Go(func() { l.send(ctx, host, berylpermit.Online, 30*time.Millisecond) })
					l.wg.Go(func() { l.send(ctx, host, berylpermit.Batch, 200*time.Millisecond) })
				}
				time.Sleep(4 * time.Second)
				fail(f, berylsched.RendezvousOwner("u1", hostNames))
				time.Sleep(12 * time.Second)
				cancel()
				l.wg.Wait()
				l.check(t, began)
				served := 0
				for _, calls := range l.calls {
					served += len(calls)
				}
				if possible := testLimit * 3 * 16; name == "calm" && float64(served) < 0.9*possible {
					t.Errorf("%d requests were granted; the limits allow %.0f", served, possible)
				}
			})
		})
	}
}
