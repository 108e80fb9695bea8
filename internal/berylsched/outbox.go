package berylsched

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// laneSize is how many messages wait for one host at most; what is dropped is corrected by the next report.
	laneSize = 1024
	// laneWorkers is how many messages to one host are under way at once.
	laneWorkers = 4
	// sendTimeout bounds one message.
	sendTimeout = time.Second
)

// parcel is a message that needs no answer; one field is set.
type parcel struct {
	withdraw *berylpermit.Withdraw
	release  *berylpermit.Release
	yield    *berylpermit.Yield
	held     *berylpermit.HeldReport
}

// lane holds the messages to one host, so that a host that does not answer holds up no other.
type lane struct {
	parcels []parcel
	workers int
}

// outbox sends messages that need no answer.
type outbox struct {
	sched *Scheduler
	mu    sync.Mutex
	wg    conc.WaitGroup
	ctx   context.Context
	lanes map[string]*lane
}

func newOutbox(s *Scheduler) outbox {
	return outbox{sched: s, lanes: make(map[string]*lane)}
}

// run lets messages go until ctx ends.
func (b *outbox) run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	<-ctx.Done()
	b.mu.Lock()
	b.ctx = nil
	b.mu.Unlock()
	b.wg.Wait()
}

// send queues a message and never blocks.
func (b *outbox) send(host string, p parcel) {
	if host == b.sched.Host {
		b.deliver(p)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil {
		return
	}
	l := b.lanes[host]
	if l == nil {
		l = new(lane)
		b.lanes[host] = l
	}
	if len(l.parcels) >= laneSize {
		b.sched.counts.dropped.Inc()
		return
	}
	l.parcels = append(l.parcels, p)
	if l.workers < laneWorkers {
		l.workers++
		ctx := b.ctx
		b.wg.Go(func() { b.work(ctx, host, l) })
	}
}

// work sends a lane's messages until it is empty.
func (b *outbox) work(ctx context.Context, host string, l *lane) {
	for {
		p, ok := b.next(host, l)
		if !ok {
			return
		}
		if err := b.carry(ctx, host, p); err != nil {
			b.sched.counts.sendFailed.Inc()
		}
	}
}

func (b *outbox) next(host string, l *lane) (parcel, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(l.parcels) > 0 {
		p := l.parcels[0]
		l.parcels = l.parcels[1:]
		return p, true
	}
	l.workers--
	if l.workers == 0 {
		delete(b.lanes, host)
	}
	return parcel{}, false
}

// carry sends one message over the transport.
func (b *outbox) carry(ctx context.Context, host string, p parcel) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	t := b.sched.Transport
	switch {
	case p.withdraw != nil:
		return t.Withdraw(ctx, host, *p.withdraw)
	case p.release != nil:
		return t.Release(ctx, host, *p.release)
	case p.yield != nil:
		return t.SendYield(ctx, host, *p.yield)
	default:
		return t.SendHeldReport(ctx, host, *p.held)
	}
}

// deliver hands a message to this host itself.
func (b *outbox) deliver(p parcel) {
	s := b.sched
	switch {
	case p.withdraw != nil:
		_ = s.HandleWithdraw(s.Host, *p.withdraw)
	case p.release != nil:
		_ = s.HandleRelease(s.Host, *p.release)
	case p.yield != nil:
		_ = s.HandleYield(s.Host, *p.yield)
	default:
		_ = s.HandleHeldReport(s.Host, *p.held)
	}
}
