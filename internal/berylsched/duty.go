package berylsched

import (
	"context"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// ringSize is how many events wait for the owner at most.
	ringSize = 4096
	// tickEvery is the time between two ticks of the owner.
	tickEvery = 25 * time.Millisecond
	// shareEvery is the time between two exchanges of loads.
	shareEvery = 250 * time.Millisecond
	// pauseLimit is the gap between two events from which the process counts as having been paused.
	pauseLimit = time.Second
	// askRound is how long an owner keeps a waiting ask without an answer, batchRound the same for batch work, of which a
	// host always has some waiting and which is in no hurry to find an owner lost.
	askRound   = time.Second
	batchRound = 4 * time.Second
	// overloadWait is the wait that an owner with a full ring predicts.
	overloadWait = 100 * time.Millisecond
	// maxNames is how many upstreams an ask may prefer or avoid.
	maxNames = 64
	// maxRemaining is the longest deadline that an ask may carry.
	maxRemaining = 7 * 24 * time.Hour
)

// command is one event for the owner.
type command func(o *Owner, now time.Time) []Action

// duty is the goroutine that feeds the owner.
type duty struct {
	sched *Scheduler
	owner Owner
	ring  chan command
	// urgent carries the few events that must not be lost: configuration, ownership and lost hosts.
	urgent chan struct{}
	orders orderList
	// pending holds where to send the reply of each ask that a handler waits for.
	pending map[berylpermit.ID]chan berylpermit.Reply
	ended   chan struct{}
	// loads describes the owned upstreams for other hosts.
	loads  atomic.Pointer[[]berylpermit.Load]
	shared time.Time
}

func newDuty(s *Scheduler) *duty {
	return &duty{
		sched:   s,
		ring:    make(chan command, ringSize),
		urgent:  make(chan struct{}, 1),
		pending: make(map[berylpermit.ID]chan berylpermit.Reply),
		ended:   make(chan struct{}),
	}
}

// run feeds the owner until ctx ends.
func (d *duty) run(ctx context.Context) {
	defer close(d.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		var next command
		select {
		case <-ctx.Done():
			return
		case <-d.urgent:
			next = d.orders.run
		case next = <-d.ring:
		case <-ticker.C:
			next = d.tick
		}
		now := time.Now()
		if now.Sub(last) > pauseLimit {
			d.sched.counts.paused.Inc()
			d.carry(d.owner.Paused(now))
		}
		last = now
		d.carry(d.orders.run(&d.owner, now)) // these come before any ask that was sent after them
		d.carry(next(&d.owner, now))
		d.sched.counts.waiting.Store(int64(len(d.owner.waiting)))
	}
}

// tick does what is due, and shares what owners know of their upstreams four times a second.
func (d *duty) tick(o *Owner, now time.Time) []Action {
	if now.Sub(d.shared) >= shareEvery {
		d.shared = now
		loads := o.Loads()
		d.loads.Store(&loads)
		o.PeerLoads(now, d.sched.table.Load().heard(now, d.sched.Host))
	}
	return o.Tick(now)
}

// command queues an event that must not be lost.
func (d *duty) command(c command) {
	d.orders.add(c)
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// post queues an event, or returns false when the ring is full.
func (d *duty) post(c command) bool {
	select {
	case d.ring <- c:
		return true
	default:
		d.sched.counts.ringFull.Inc()
		return false
	}
}

// carry does what the owner wants done.
func (d *duty) carry(actions []Action) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActionReply:
			d.answer(a.Reply)
		case ActionYield:
			d.sched.counts.yields.Inc()
			y := a.Yield // the owner reuses its list of actions
			d.sched.outbox.send(y.ID.Host, parcel{yield: &y})
		}
	}
}

func (d *duty) answer(r berylpermit.Reply) {
	d.sched.counts.verdict(r.Verdict)
	c := d.pending[r.ID]
	if c == nil {
		return
	}
	delete(d.pending, r.ID)
	c <- r
}

// HandlePermitRequest answers another host's ask; it blocks until the verdict, for at most a second, or until ctx ends.
func (s *Scheduler) HandlePermitRequest(ctx context.Context, peer string, ask berylpermit.Request) (berylpermit.Reply, error) {
	if ask.ID.Host != peer {
		return berylpermit.Reply{}, errForeign
	}
	ask.Prefer = ask.Prefer[:min(len(ask.Prefer), maxNames)]
	ask.Avoid = ask.Avoid[:min(len(ask.Avoid), maxNames)]
	ask.Remaining = min(ask.Remaining, maxRemaining)
	reply := make(chan berylpermit.Reply, 1)
	d := s.duty
	posted := d.post(func(o *Owner, now time.Time) []Action {
		d.pending[ask.ID] = reply
		return o.Ask(now, ask)
	})
	if !posted {
		return berylpermit.Reply{ID: ask.ID, Verdict: berylpermit.Refused, PredictedWait: overloadWait}, nil
	}
	round := time.NewTimer(roundOf(ask.Class))
	defer round.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-round.C:
		return berylpermit.Reply{ID: ask.ID, Verdict: berylpermit.Queued}, nil
	case <-d.ended:
		return berylpermit.Reply{ID: ask.ID, Verdict: berylpermit.NotOwner}, nil
	case <-ctx.Done():
		d.post(func(o *Owner, now time.Time) []Action {
			delete(d.pending, ask.ID)
			return o.Withdraw(now, ask.ID)
		})
		return berylpermit.Reply{}, ctx.Err()
	}
}

// roundOf returns how long an owner keeps a waiting ask of a class without an answer.
func roundOf(class berylpermit.Class) time.Duration {
	if class.Normalized() == berylpermit.Batch {
		return batchRound
	}
	return askRound
}

// HandleWithdraw drops another host's ask.
func (s *Scheduler) HandleWithdraw(peer string, w berylpermit.Withdraw) error {
	if w.ID.Host != peer {
		return errForeign
	}
	s.duty.post(func(o *Owner, now time.Time) []Action {
		delete(s.duty.pending, w.ID)
		return o.Withdraw(now, w.ID)
	})
	return nil
}

// HandleRelease takes another host's permit back.
func (s *Scheduler) HandleRelease(peer string, r berylpermit.Release) error {
	if r.ID.Host != peer {
		return errForeign
	}
	s.duty.post(func(o *Owner, now time.Time) []Action { return o.Release(now, r) })
	return nil
}

// HandleHeldReport takes another host's report of its permits.
func (s *Scheduler) HandleHeldReport(peer string, h berylpermit.HeldReport) error {
	if h.Host != peer {
		return errForeign
	}
	h.Permits = h.Permits[:min(len(h.Permits), maxHeldPermits)]
	s.duty.post(func(o *Owner, now time.Time) []Action { return o.Held(now, h) })
	return nil
}

// HandleYield stops the holder of one of this host's batch permits.
func (s *Scheduler) HandleYield(_ string, y berylpermit.Yield) error {
	s.holds.yield(y.ID)
	return nil
}
