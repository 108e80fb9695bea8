package berylpath

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylroute"
)

// threeUpstreams returns upstreams with the addresses a, b and c.
func threeUpstreams() upstreamList {
	list := make(upstreamList)
	for _, id := range []string{"a", "b", "c"} {
		list[id] = berylroute.Upstream{ID: id, Address: id}
	}
	return list
}

// dialOnly returns a dialer that reaches the given addresses; the others hang.
func dialOnly(reached ...string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		for _, r := range reached {
			if r == address {
				a, _ := net.Pipe()
				return a, nil
			}
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// Guards against dead upstreams staying in use because the host suspects its own network.
func TestDeadUpstreamsAreBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPaths(threeUpstreams(), &hostList{}, false, dialOnly("c"))
		is.True(p.BlamesUpstream("a"))  // a single failure is the upstream's
		is.True(p.BlamesUpstream("a"))  // so is another one of the same
		is.True(!p.BlamesUpstream("b")) // this may be the host's, which is checked
		synctest.Wait()
		is.Equal(p.State(), Reachable) // c was reached at once
		is.True(p.BlamesUpstream("b"))
	})
}

// Guards against a host that has long calls only and notices late that no upstream answers any more.
func TestSilenceOfAllUpstreams(t *testing.T) {
	for _, tt := range []struct {
		name   string
		calls  []string
		during func(p *Paths)
		dial   func(context.Context, string) (net.Conn, error)
		want   State
	}{
		{"all silent", []string{"a", "b"}, func(*Paths) {}, dialOnly(), Isolated},
		{"one call", []string{"a", "a"}, func(*Paths) {}, dialOnly(), Reachable},
		{"slow upstreams", []string{"a", "b"}, func(*Paths) {}, dialOnly("b"), Reachable},
		{"one goes on", []string{"a", "b", "c"}, func(p *Paths) { p.progress(time.Now(), "c") }, dialOnly(), Reachable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPaths(threeUpstreams(), &hostList{}, false, tt.dial)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go p.Run(ctx)
				for _, upstream := range tt.calls {
					defer p.BeginCall(upstream, false, func() {}).End()
				}
				for range 15 {
					time.Sleep(100 * time.Millisecond)
					tt.during(p)
				}
				is.Equal(p.State(), tt.want)
			})
		})
	}
}

// Guards against unanswered calls of an isolated host that hold slots of upstreams until their deadline, and against ending answers
// that have begun, which go on if the isolation is short, and calls whose requests may not be sent anywhere else.
func TestIsolatedHostEndsUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPaths(threeUpstreams(), &hostList{}, true, dialOnly())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var ended atomic.Int64
		unanswered := p.BeginCall("a", false, func() { ended.Add(1) })
		p.BeginCall("b", false, func() { t.Error("an answer that had begun was ended") }).Progress()
		p.BeginCall("c", true, func() { t.Error("a call was ended that no other upstream may follow") })
		go p.Run(ctx)
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		is.Equal(ended.Load(), int64(0))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		is.True(ended.Load() > 0)
		unanswered.End()
	})
}

// Guards against a host that stays isolated, or calls upstreams again before they are reached.
func TestIsolationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var healed atomic.Bool
		p := newPaths(threeUpstreams(), &hostList{}, true, func(ctx context.Context, address string) (net.Conn, error) {
			if healed.Load() {
				return dialOnly("a", "b", "c")(ctx, address)
			}
			return dialOnly()(ctx, address)
		})
		p.monitor.isolations = 1
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		time.Sleep(5 * time.Second)
		is.Equal(p.State(), Isolated)
		healed.Store(true)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.State(), Reachable)
	})
}
