package berylsched

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// maxQueuedMessages is the most messages queued for one host. Further ones are dropped; the next report of held permits
	// lets the owner correct its counts.
	maxQueuedMessages = 1024
	// maxSendWorkers is the most messages in flight to one host at once.
	maxSendWorkers = 4
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
)

// message is a message to another host that needs no answer; exactly one field is set.
type message struct {
	withdraw  *berylpermit.Withdraw
	release   *berylpermit.Release
	yield     *berylpermit.Yield
	held      *berylpermit.HeldReport
	statement *berylpermit.StatementReport
}

// hostQueue holds the messages to one host, so that a host that does not answer does not delay messages to others.
type hostQueue struct {
	messages []message
	workers  int
}

// outbox sends messages that need no answer, without blocking the sender.
type outbox struct {
	sched  *Scheduler
	mu     sync.Mutex
	wg     conc.WaitGroup
	ctx    context.Context
	queues map[string]*hostQueue
}

func newOutbox(s *Scheduler) outbox {
	return outbox{sched: s, queues: make(map[string]*hostQueue)}
}

// run enables sending until ctx ends and then waits for the workers. Outside of run, messages to other hosts are dropped.
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

// send queues a message, or delivers it if it is for this host. It never blocks.
func (b *outbox) send(host string, m message) {
	if host == b.sched.Host {
		b.deliverLocally(m)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil {
		return
	}
	q := b.queues[host]
	if q == nil {
		q = new(hostQueue)
		b.queues[host] = q
	}
	if len(q.messages) >= maxQueuedMessages {
		b.sched.counters.dropped.Inc()
		return
	}
	q.messages = append(q.messages, m)
	if q.workers < maxSendWorkers {
		q.workers++
		ctx := b.ctx
		b.wg.Go(func() { b.sendQueued(ctx, host, q) })
	}
}

// sendQueued sends a host's queued messages until the queue is empty.
func (b *outbox) sendQueued(ctx context.Context, host string, q *hostQueue) {
	for {
		m, ok := b.dequeue(host, q)
		if !ok {
			return
		}
		if err := b.transmit(ctx, host, m); err != nil {
			b.sched.counters.sendFailed.Inc()
		}
	}
}

// dequeue returns the next message of a queue. If there is none, it ends the worker and returns false; the last worker
// removes the queue.
func (b *outbox) dequeue(host string, q *hostQueue) (message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(q.messages) > 0 {
		m := q.messages[0]
		q.messages = q.messages[1:]
		return m, true
	}
	q.workers--
	if q.workers == 0 {
		delete(b.queues, host)
	}
	return message{}, false
}

// transmit sends one message to another host.
func (b *outbox) transmit(ctx context.Context, host string, m message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	t := b.sched.Transport
	switch {
	case m.withdraw != nil:
		return t.Withdraw(ctx, host, *m.withdraw)
	case m.release != nil:
		return t.Release(ctx, host, *m.release)
	case m.yield != nil:
		return t.SendYield(ctx, host, *m.yield)
	case m.statement != nil:
		return t.SendStatement(ctx, host, *m.statement)
	default:
		return t.SendHeldReport(ctx, host, *m.held)
	}
}

// deliverLocally handles a message whose receiver is this host.
func (b *outbox) deliverLocally(m message) {
	s := b.sched
	switch {
	case m.withdraw != nil:
		_ = s.HandleWithdraw(s.Host, *m.withdraw)
	case m.release != nil:
		_ = s.HandleRelease(s.Host, *m.release)
	case m.yield != nil:
		_ = s.HandleYield(s.Host, *m.yield)
	case m.statement != nil:
		_ = s.HandleStatement(s.Host, *m.statement)
	default:
		_ = s.HandleHeldReport(s.Host, *m.held)
	}
}
