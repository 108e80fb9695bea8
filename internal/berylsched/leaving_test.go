package berylsched_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// leavingRuns records which hosts know of which runs of upstreams that they leave, as host/upstream/run.
type leavingRuns struct {
	mu    sync.Mutex
	known map[string]bool
}

// watch makes the hosts of a fleet record what they learn. It must be called before they learn anything.
func (l *leavingRuns) watch(f *fleet) {
	l.known = make(map[string]bool)
	for host, s := range f.hosts {
		s.OnLeaving = func(upstream string, run int64, _ bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.known[fmt.Sprintf("%s/%s/%d", host, upstream, run)] = true
		}
	}
}

func (l *leavingRuns) isKnown(host, upstream string, run int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[fmt.Sprintf("%s/%s/%d", host, upstream, run)]
}

// Guards against hosts, owners and new owners that go on granting an upstream of which one of them has had an answer that
// says that it leaves.
func TestLeavingReachesOwnersAndHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 8), hostNames...)
		defer f.stop()
		var leaving leavingRuns
		leaving.watch(f)
		owner := berylsched.RendezvousOwner("u1", hostNames)
		others := hostsExcept(owner)
		permit, refusal := f.hosts[others[0]].Acquire(t.Context(), berylpermit.Request{Target: "m", Remaining: time.Second})
		is.True(refusal == nil)
		permit.ReportStatement(berylpermit.Statement{Leaving: true, Run: 5})
		is.True(leaving.isKnown(others[0], "u1", 5)) // known here before the answer is passed on
		time.Sleep(100 * time.Millisecond)
		is.True(leaving.isKnown(owner, "u1", 5))
		is.True(!leaving.isKnown(others[1], "u1", 5))
		time.Sleep(time.Second)
		f.hosts[others[1]].RecordLoads(f.hosts[owner].Loads()) // as the membership does
		is.True(leaving.isKnown(others[1], "u1", 5))
		is.True(!leaving.isKnown(others[1], "u1", 6))
		permit.Release(berylpermit.Report{})
	})
}

// Guards against a new owner that does not know what the hosts have been told, and so goes on granting the upstream.
func TestLeavingReachesNewOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(document(1, 8), hostNames...)
		defer f.stop()
		var leaving leavingRuns
		leaving.watch(f)
		owner := berylsched.RendezvousOwner("u1", hostNames)
		rest := hostsExcept(owner)
		next := berylsched.RendezvousOwner("u1", rest)
		reporter := rest[0]
		if reporter == next {
			reporter = rest[1]
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		permit, refusal := f.hosts[reporter].Acquire(ctx, berylpermit.Request{Target: "m", Remaining: time.Second})
		is.True(refusal == nil)
		f.stopHost(owner) // the report to it is lost
		permit.ReportStatement(berylpermit.Statement{Leaving: true, Run: 5})
		time.Sleep(2 * time.Second)
		is.True(!leaving.isKnown(next, "u1", 5))
		f.setMembers(rest...)
		time.Sleep(time.Second)
		is.True(leaving.isKnown(next, "u1", 5))
	})
}
