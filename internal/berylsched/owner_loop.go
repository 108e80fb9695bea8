package berylsched

import (
	"context"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// eventQueueSize is the most events that may wait for the Owner.
	eventQueueSize = 4096
	// tickInterval is the time between two calls to Owner.Tick.
	tickInterval = 25 * time.Millisecond
	// loadShareInterval is the time between two exchanges of loads with other hosts.
	loadShareInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between two events above which the process is taken to have been paused.
	pauseThreshold = time.Second
	// onlinePollTimeout and batchPollTimeout are how long an owner holds a queued request before it answers Queued and the
	// requester polls again. It is longer for batch work: a host always has some waiting, so short polls would cost many
	// messages, and it need not notice a lost owner as soon.
	onlinePollTimeout = time.Second
	batchPollTimeout  = 4 * time.Second
	// overloadRetryWait is the predicted wait in a refusal because of a full event queue.
	overloadRetryWait = 100 * time.Millisecond
	// maxUpstreamNames is the most upstreams that a request may prefer, and the most that it may avoid.
	maxUpstreamNames = 64
	// maxRemaining is the longest time to the deadline that a request may carry.
	maxRemaining = 7 * 24 * time.Hour
)

// ownerEvent is one input for the Owner, run on the goroutine of the ownerLoop.
type ownerEvent func(o *Owner, now time.Time) []Action

// ownerLoop runs the Owner on a single goroutine: it takes events from a queue and carries out the resulting actions.
type ownerLoop struct {
	sched  *Scheduler
	owner  Owner
	events chan ownerEvent
	// urgentReady signals new entries in urgentEvents, the few events that must not be dropped when the queue is full:
	// configuration, ownership and lost hosts.
	urgentReady  chan struct{}
	urgentEvents eventList
	// pending maps each request that a handler waits for to the channel for its reply.
	pending map[berylpermit.ID]chan berylpermit.Reply
	stopped chan struct{}
	// loads are the loads of the owned upstreams as of sharedAt, for other hosts.
	loads    atomic.Pointer[[]berylpermit.Load]
	sharedAt time.Time
}

func newOwnerLoop(s *Scheduler) *ownerLoop {
	return &ownerLoop{
		sched:       s,
		owner:       Owner{Host: s.Host},
		events:      make(chan ownerEvent, eventQueueSize),
		urgentReady: make(chan struct{}, 1),
		pending:     make(map[berylpermit.ID]chan berylpermit.Reply),
		stopped:     make(chan struct{}),
	}
}

// run handles events until ctx ends.
func (l *ownerLoop) run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		var next ownerEvent
		select {
		case <-ctx.Done():
			return
		case <-l.urgentReady:
			next = l.urgentEvents.run
		case next = <-l.events:
		case <-ticker.C:
			next = l.tick
		}
		now := time.Now()
		if now.Sub(last) > pauseThreshold {
			l.sched.counters.pauses.Inc()
			l.perform(l.owner.RecoverFromPause(now))
		}
		last = now
		// Urgent events come first, so that a request sent after a change of configuration or ownership is decided by it.
		l.perform(l.urgentEvents.run(&l.owner, now))
		l.perform(next(&l.owner, now))
		l.sched.counters.waiting.Store(int64(len(l.owner.waiting)))
	}
}

// tick runs the Owner's periodic work. Every loadShareInterval it also publishes the loads of the owned upstreams and
// hands those of other owners to the Owner.
func (l *ownerLoop) tick(o *Owner, now time.Time) []Action {
	if now.Sub(l.sharedAt) >= loadShareInterval {
		l.sharedAt = now
		loads := o.Loads()
		l.loads.Store(&loads)
		o.RecordPeerLoads(now, l.sched.table.Load().remoteLoads(now, l.sched.Host))
	}
	return o.Tick(now)
}

// postUrgent queues an event that must not be dropped.
func (l *ownerLoop) postUrgent(e ownerEvent) {
	l.urgentEvents.add(e)
	select {
	case l.urgentReady <- struct{}{}:
	default:
	}
}

// tryPost queues an event. When the queue is full it counts that and returns false.
func (l *ownerLoop) tryPost(e ownerEvent) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.sched.counters.eventQueueFull.Inc()
		return false
	}
}

// perform carries out the Owner's actions.
func (l *ownerLoop) perform(actions []Action) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActionReply:
			l.deliverReply(a.Reply)
		case ActionYield:
			l.sched.counters.yields.Inc()
			y := a.Yield // a copy, since the Owner reuses its list of actions
			l.sched.outbox.send(y.ID.Host, message{yield: &y})
		case ActionLimit:
			l.sched.logLimit(a.Limit)
		case ActionPace:
			l.sched.logPace(a.Pace)
		case ActionHealth:
			l.sched.logHealth(a.Health)
		}
	}
}

// deliverReply hands a reply to the handler that waits for it, if any.
func (l *ownerLoop) deliverReply(r berylpermit.Reply) {
	l.sched.counters.countVerdict(r.Verdict)
	c := l.pending[r.ID]
	if c == nil {
		return
	}
	delete(l.pending, r.ID)
	c <- r
}

// HandlePermitRequest answers a permit request of the host peer. It blocks until the Owner decides, ctx ends or the
// loop stops, but at most for pollTimeout, after which it answers Queued. When ctx ends the request is withdrawn.
func (s *Scheduler) HandlePermitRequest(ctx context.Context, peer string, req berylpermit.Request) (berylpermit.Reply, error) {
	if req.ID.Host != peer {
		return berylpermit.Reply{}, errSenderMismatch
	}
	req.Prefer = req.Prefer[:min(len(req.Prefer), maxUpstreamNames)]
	req.Avoid = req.Avoid[:min(len(req.Avoid), maxUpstreamNames)]
	req.Remaining = min(req.Remaining, maxRemaining)
	reply := make(chan berylpermit.Reply, 1)
	l := s.loop
	posted := l.tryPost(func(o *Owner, now time.Time) []Action {
		l.pending[req.ID] = reply
		return o.Request(now, req)
	})
	if !posted {
		return berylpermit.Reply{ID: req.ID, Verdict: berylpermit.Refused, PredictedWait: overloadRetryWait}, nil
	}
	poll := time.NewTimer(pollTimeout(req.Class))
	defer poll.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-poll.C:
		return berylpermit.Reply{ID: req.ID, Verdict: berylpermit.Queued}, nil
	case <-l.stopped:
		return berylpermit.Reply{ID: req.ID, Verdict: berylpermit.NotOwner}, nil
	case <-ctx.Done():
		l.tryPost(func(o *Owner, now time.Time) []Action {
			delete(l.pending, req.ID)
			return o.Withdraw(now, req.ID)
		})
		return berylpermit.Reply{}, ctx.Err()
	}
}

// pollTimeout returns how long an owner holds a queued request of a class before it answers Queued.
func pollTimeout(class berylpermit.Class) time.Duration {
	if class.Normalized() == berylpermit.Batch {
		return batchPollTimeout
	}
	return onlinePollTimeout
}

// HandleWithdraw withdraws a permit request of the host peer.
func (s *Scheduler) HandleWithdraw(peer string, w berylpermit.Withdraw) error {
	if w.ID.Host != peer {
		return errSenderMismatch
	}
	s.loop.tryPost(func(o *Owner, now time.Time) []Action {
		delete(s.loop.pending, w.ID)
		return o.Withdraw(now, w.ID)
	})
	return nil
}

// HandleRelease releases a permit of the host peer.
func (s *Scheduler) HandleRelease(peer string, r berylpermit.Release) error {
	if r.ID.Host != peer {
		return errSenderMismatch
	}
	s.loop.tryPost(func(o *Owner, now time.Time) []Action { return o.Release(now, r) })
	return nil
}

// HandleHeldReport reconciles the Owner's permits with the report of the host peer.
func (s *Scheduler) HandleHeldReport(peer string, h berylpermit.HeldReport) error {
	if h.Host != peer {
		return errSenderMismatch
	}
	h.Permits = h.Permits[:min(len(h.Permits), maxHeldPermits)]
	s.loop.tryPost(func(o *Owner, now time.Time) []Action { return o.ReconcileHeld(now, h) })
	return nil
}

// HandleStatement applies what the host peer reports of an upstream's answer.
func (s *Scheduler) HandleStatement(_ string, r berylpermit.StatementReport) error {
	if r.Statement.Leaving {
		s.markLeaving(r.Upstream, r.Statement.Run, false)
	}
	r.SentAge = max(r.SentAge, 0)
	s.loop.tryPost(func(o *Owner, now time.Time) []Action { return o.ReportStatement(now, r) })
	return nil
}

// HandleYield tells the local holder of a batch permit to give it back.
func (s *Scheduler) HandleYield(_ string, y berylpermit.Yield) error {
	s.held.yield(y.ID)
	return nil
}
