package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// takeoverGrace is how long a new owner waits for reports of held permits before it grants batch work.
	takeoverGrace = 1500 * time.Millisecond
	// yieldGrace is how long a permit told to yield counts as given back.
	yieldGrace = 500 * time.Millisecond
	// yieldRepeatInterval is the time between two orders to yield the same permit.
	yieldRepeatInterval = 250 * time.Millisecond
	// permitLease is how long a permit lives without a report of its holder.
	permitLease = 15 * time.Second
	// sweepInterval is the time between two looks at all permits.
	sweepInterval = time.Second
	// minMissingAge is the least age of a permit that a report may leave out to its loss.
	minMissingAge = 500 * time.Millisecond
	// maxMissedReports is how many reports in a row must leave a permit out before it is freed.
	maxMissedReports = 2
	// maxQueueLength is how many asks of one kind an owner queues for one target.
	maxQueueLength = 8192
	// maxSpareWaiters is how many waiters are kept for reuse.
	maxSpareWaiters = 1024
	// maxSkippedWaiters is how many waiters are passed over that avoid the upstream at hand.
	maxSkippedWaiters = 8
	// maxReplyLoads is how many upstreams a reply describes.
	maxReplyLoads = 16
	// maxHeldPermits is how many permits of one host an owner counts.
	maxHeldPermits = 8192
)

// hostPermits is one run of a host, with the permits counted for it.
type hostPermits struct {
	permits []*permit
}

type hostRun struct {
	host string
	boot uint64
}

// Owner is the state machine of one host for the upstreams it owns; it has no clock, goroutine or I/O.
// The actions that a method returns are valid until the next call.
type Owner struct {
	upstreams map[string]*upstream
	targets   map[string]*target
	// sortedUpstreams and tgts list the same by name, so that the same events give the same actions.
	sortedUpstreams []*upstream
	sortedTargets   []*target
	permits         map[berylpermit.ID]*permit
	waiting         map[berylpermit.ID]*waiter
	permitsByRun    map[hostRun]*hostPermits
	endedIDs        recentIDs
	longShare       float64
	nextArrival     uint64
	actions         []Action
	// sparePermits permits and waiters are kept so that a busy owner allocates none.
	sparePermits []*permit
	spareWaiters []*waiter
	now          time.Time
	sweptAt      time.Time
}

// beginEvent starts an event.
func (o *Owner) beginEvent(now time.Time) {
	o.now = now
	o.actions = o.actions[:0]
	if o.upstreams != nil {
		return
	}
	o.upstreams = make(map[string]*upstream)
	o.targets = make(map[string]*target)
	o.permits = make(map[berylpermit.ID]*permit)
	o.waiting = make(map[berylpermit.ID]*waiter)
	o.permitsByRun = make(map[hostRun]*hostPermits)
}

// Request answers a request for a permit, at once or when a slot frees.
func (o *Owner) Request(now time.Time, req berylpermit.Request) []Action {
	o.beginEvent(now)
	if p := o.permits[req.ID]; p != nil {
		o.replyGranted(p, nil)
		return o.actions
	}
	if w := o.waiting[req.ID]; w != nil {
		w.renewedAt = now
		return o.actions
	}
	req.Class = req.Class.Normalized()
	t := o.targets[req.Target]
	if t == nil || len(t.owned) == 0 {
		o.reply(berylpermit.Reply{ID: req.ID, Verdict: berylpermit.NotOwner})
		return o.actions
	}
	if req.Remaining <= 0 || o.endedIDs.has(req.ID) {
		o.refuse(t, req.ID, 0)
		return o.actions
	}
	o.admit(now, t, &req)
	return o.actions
}

// admit grants, refuses or queues a new ask.
func (o *Owner) admit(now time.Time, t *target, req *berylpermit.Request) {
	k := kindOf(req.Class, req.Long)
	if k != batchWork && !req.Hedge {
		t.arrivals.add(now)
	}
	if u := o.findSlot(now, t, req, k); u != nil {
		o.grant(now, t, u, req)
		return
	}
	w := o.newWaiter()
	*w = waiter{target: t, renewedAt: now, deadline: now.Add(req.Remaining), arrival: o.nextArrival}
	q := &t.queues[k]
	wait := t.throughput.predictWait(now, k, q.rank(w)+1)
	impatient := req.MaxQueueWait > 0 && wait > req.MaxQueueWait
	if !req.Queue || req.Hedge || impatient || q.len() >= maxQueueLength || !t.canServe(req) || !t.throughput.meetsDeadline(k, req.Remaining, wait) {
		o.refuse(t, req.ID, wait)
		o.recycle(w)
		return
	}
	o.nextArrival++
	w.req = *req
	q.add(w)
	o.waiting[req.ID] = w
}

// findSlot returns an upstream with a slot for the ask, making one by a yield if batch work stands in its way.
func (o *Owner) findSlot(now time.Time, t *target, req *berylpermit.Request, k workKind) *upstream {
	if u := o.findIdle(now, t, req, k); u != nil {
		return u
	}
	if k == batchWork || req.Hedge {
		return nil
	}
	u := o.findPreemptable(now, t, req, k)
	if u == nil {
		return nil
	}
	for u.freeSlots() <= 0 {
		o.preempt(now, u, u.youngestBatch())
	}
	return u
}

// findIdle returns the best upstream with a free slot for the ask, or nil.
func (o *Owner) findIdle(now time.Time, t *target, req *berylpermit.Request, k workKind) *upstream {
	var best *upstream
	var score float64
	idle := 0
	for _, u := range t.owned {
		free := u.freeSlots()
		if free <= 0 || !o.mayGrant(now, t, u, req, k) {
			continue
		}
		if u.health.ejected {
			return u
		}
		idle += free
		if s := u.score(); best == nil || s < score {
			best, score = u, s
		}
	}
	if best == nil || k == batchWork && idle <= t.reservedSlots(now) {
		return nil
	}
	for _, name := range req.Prefer {
		u := o.upstreams[name]
		if u != nil && u.freeSlots() > 0 && u.health.loadFactor() < slowRatio && slices.Contains(t.owned, u) && o.mayGrant(now, t, u, req, k) {
			return u
		}
	}
	return best
}

// mayGrant says whether the upstream may get a permit of that kind, apart from its free slots.
func (o *Owner) mayGrant(now time.Time, t *target, u *upstream, req *berylpermit.Request, k workKind) bool {
	alone := t.throughput.slots == 0
	if !u.usable() || !u.health.admits(now, k, alone) || req.Hedge && u.health.ejected {
		return false
	}
	if k == longOnline && !u.mayAddLong(o.longShare) {
		return false
	}
	if k == batchWork && now.Before(u.batchAllowedAt) {
		return false
	}
	return !avoids(req, u.name)
}

// findPreemptable returns the upstream whose youngest batch permit loses the least work, or nil.
func (o *Owner) findPreemptable(now time.Time, t *target, req *berylpermit.Request, k workKind) *upstream {
	var best *upstream
	for _, u := range t.owned {
		p := u.youngestBatch()
		if p == nil || u.health.ejected || u.freeSlots()+len(u.batch) <= 0 {
			continue
		}
		if best != nil && !p.grantedAt.After(best.youngestBatch().grantedAt) {
			continue
		}
		if o.mayGrant(now, t, u, req, k) {
			best = u
		}
	}
	return best
}

func (o *Owner) preempt(now time.Time, u *upstream, p *permit) {
	u.startYield(p, now)
	o.sendYield(p)
}

func (o *Owner) sendYield(p *permit) {
	o.actions = append(o.actions, Action{Kind: ActionYield, Yield: berylpermit.Yield{ID: p.id, Upstream: p.upstream.name}})
}

func (o *Owner) grant(now time.Time, t *target, u *upstream, req *berylpermit.Request) {
	p := o.newPermit()
	*p = permit{id: req.ID, upstream: u, class: req.Class, long: req.Long, grantedAt: now, confirmedAt: now}
	o.addPermit(p)
	u.health.markProbe(p)
	o.replyGranted(p, t.replyLoads(now))
}

func (o *Owner) replyGranted(p *permit, loads []berylpermit.Load) {
	o.reply(berylpermit.Reply{
		ID:       p.id,
		Verdict:  berylpermit.Granted,
		Upstream: p.upstream.name,
		Term:     p.upstream.term,
		Loads:    loads,
	})
}

func (o *Owner) refuse(t *target, id berylpermit.ID, wait time.Duration) {
	o.reply(berylpermit.Reply{ID: id, Verdict: berylpermit.Refused, PredictedWait: wait, Loads: t.replyLoads(o.now)})
}

func (o *Owner) reply(r berylpermit.Reply) {
	o.actions = append(o.actions, Action{Kind: ActionReply, Reply: r})
}

// Withdraw drops an ask, or releases the permit that was granted for it.
func (o *Owner) Withdraw(now time.Time, id berylpermit.ID) []Action {
	o.beginEvent(now)
	o.endedIDs.add(id)
	if w := o.waiting[id]; w != nil {
		o.dequeue(w)
		o.recycle(w)
		return o.actions
	}
	if p := o.permits[id]; p != nil {
		o.freePermit(now, p)
	}
	return o.actions
}

// Release takes a permit back and learns from what its call has shown; a second release has no effect.
func (o *Owner) Release(now time.Time, r berylpermit.Release) []Action {
	o.beginEvent(now)
	o.endedIDs.add(r.ID)
	p := o.permits[r.ID]
	if p == nil {
		return o.actions
	}
	p.upstream.health.observe(now, p, r.Report, p.upstream.medians())
	o.freePermit(now, p)
	return o.actions
}
