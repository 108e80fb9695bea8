package berylbatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
)

// leavingPermits marks the upstream as leaving when an answer says so, as a host does.
type leavingPermits struct {
	*testCluster
}

func (l leavingPermits) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	p, refusal := l.testCluster.Acquire(ctx, request)
	if p != nil {
		p.OnStatement = func(s berylpermit.Statement) {
			if s.Leaving {
				l.upstreams.MarkLeaving(time.Now(), p.Upstream, s.Run, true)
			}
		}
	}
	return p, refusal
}

// leavingUpstream says in all its answers that it leaves.
type leavingUpstream struct {
	*fakeUpstream
}

func (u leavingUpstream) Call(ctx context.Context, call *berylrelay.Call) (*berylrelay.Reply, error) {
	reply, err := u.fakeUpstream.Call(ctx, call)
	if reply != nil {
		reply.Statement.Leaving = true
	}
	return reply, err
}

// Guards against items that are sent to an upstream after the answer to another one has said that the upstream leaves.
func TestItemsAreNotSentOnceAnAnswerSaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.permitsBroker, cluster.client = leavingPermits{cluster}, leavingUpstream{&cluster.upstream}
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 3)), nil)
		time.Sleep(5 * time.Second)
		cluster.upstream.mu.Lock()
		is.Equal(len(cluster.upstream.calls), 1) // the first item, which ended on it
		cluster.upstream.mu.Unlock()
		results := readAll(t, a, "j", 1, time.Second)
		is.Equal(len(results), 1)
	})
}
