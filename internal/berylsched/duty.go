package berylsched

import (
	"context"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// eventQueueSize is how many events wait for the owner at most.
	eventQueueSize = 4096
	// tickInterval is the time between two ticks of the owner.
	tickInterval = 25 * time.Millisecond
	// loadShareInterval is the time between two exchanges of loads.
	loadShareInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between two events from which the process counts as having been paused.
	pauseThreshold = time.Second
	// onlinePollTimeout is how long an owner keeps a waiting ask without an answer, batchRound the same for batch work, of which a
	// host always has some waiting and which is in no hurry to find an owner lost.
	onlinePollTimeout = time.Second
	batchPollTimeout  = 4 * time.Second
	// overloadRetryWait is the wait that an owner with a full ring predicts.
	overloadRetryWait = 100 * time.Millisecond
	// maxUpstreamNames is how many upstreams an ask may prefer or avoid.
	maxUpstreamNames = 64
	// maxRemaining is the longest deadline that an ask may carry.
	maxRemaining = 7 * 24 * time.Hour
)

// ownerEvent is one event for the owner.
type ownerEvent func(o *Owner, now time.Time) []Action

// ownerLoop is the goroutine that feeds the owner.
type ownerLoop struct {
	sched  *Scheduler
	owner  Owner
	events chan ownerEvent
	// urgentReady carries the few events that must not be lost: configuration, ownership and lost hosts.
	urgentReady  chan struct{}
	urgentEvents eventList
	// pending holds where to send the reply of each ask that a handler waits for.
	pending map[berylpermit.ID]chan berylpermit.Reply
	stopped chan struct{}
	// loads describes the owned upstreams for other hosts.
	loads    atomic.Pointer[[]berylpermit.Load]
	sharedAt time.Time
}

func newOwnerLoop(s *Scheduler) *ownerLoop {
	return &ownerLoop{
		sched:       s,
		events:      make(chan ownerEvent, eventQueueSize),
		urgentReady: make(chan struct{}, 1),
		pending:     make(map[berylpermit.ID]chan berylpermit.Reply),
		stopped:     make(chan struct{}),
	}
}

// run feeds the owner until ctx ends.
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
		l.perform(l.urgentEvents.run(&l.owner, now)) // these come before any ask that was sent after them
		l.perform(next(&l.owner, now))
		l.sched.counters.waiting.Store(int64(len(l.owner.waiting)))
	}
}

// tick does what is due, and shares what owners know of their upstreams four times a second.
func (l *ownerLoop) tick(o *Owner, now time.Time) []Action {
	if now.Sub(l.sharedAt) >= loadShareInterval {
		l.sharedAt = now
		loads := o.Loads()
		l.loads.Store(&loads)
		o.RecordPeerLoads(now, l.sched.table.Load().remoteLoads(now, l.sched.Host))
	}
	return o.Tick(now)
}

// postUrgent queues an event that must not be lost.
func (l *ownerLoop) postUrgent(c ownerEvent) {
	l.urgentEvents.add(c)
	select {
	case l.urgentReady <- struct{}{}:
	default:
	}
}

// tryPost queues an event, or returns false when the ring is full.
func (l *ownerLoop) tryPost(c ownerEvent) bool {
	select {
	case l.events <- c:
		return true
	default:
		l.sched.counters.eventQueueFull.Inc()
		return false
	}
}

// perform does what the owner wants done.
func (l *ownerLoop) perform(actions []Action) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActionReply:
			l.deliverReply(a.Reply)
		case ActionYield:
			l.sched.counters.yields.Inc()
			y := a.Yield // the owner reuses its list of actions
			l.sched.outbox.send(y.ID.Host, message{yield: &y})
		}
	}
}

func (l *ownerLoop) deliverReply(r berylpermit.Reply) {
	l.sched.counters.countVerdict(r.Verdict)
	c := l.pending[r.ID]
	if c == nil {
		return
	}
	delete(l.pending, r.ID)
	c <- r
}

// HandlePermitRequest answers another host's ask; it blocks until the verdict, for at most a second, or until ctx ends.
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
	round := time.NewTimer(pollTimeout(req.Class))
	defer round.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-round.C:
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

// pollTimeout returns how long an owner keeps a waiting ask of a class without an answer.
func pollTimeout(class berylpermit.Class) time.Duration {
	if class.Normalized() == berylpermit.Batch {
		return batchPollTimeout
	}
	return onlinePollTimeout
}

// HandleWithdraw drops another host's ask.
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

// HandleRelease takes another host's permit back.
func (s *Scheduler) HandleRelease(peer string, r berylpermit.Release) error {
	if r.ID.Host != peer {
		return errSenderMismatch
	}
	s.loop.tryPost(func(o *Owner, now time.Time) []Action { return o.Release(now, r) })
	return nil
}

// HandleHeldReport takes another host's report of its permits.
func (s *Scheduler) HandleHeldReport(peer string, h berylpermit.HeldReport) error {
	if h.Host != peer {
		return errSenderMismatch
	}
	h.Permits = h.Permits[:min(len(h.Permits), maxHeldPermits)]
	s.loop.tryPost(func(o *Owner, now time.Time) []Action { return o.ReconcileHeld(now, h) })
	return nil
}

// HandleYield stops the holder of one of this host's batch permits.
func (s *Scheduler) HandleYield(_ string, y berylpermit.Yield) error {
	s.held.yield(y.ID)
	return nil
}
