package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// takeoverGrace is how long a new owner waits for reports of held permits before it grants permits for batch work.
	takeoverGrace = 1500 * time.Millisecond
	// yieldGrace is how long a preempted permit counts as given back before its holder has released it.
	yieldGrace = 500 * time.Millisecond
	// yieldRepeatInterval is the least time between two yield messages for the same permit.
	yieldRepeatInterval = 250 * time.Millisecond
	// permitLease is how long a permit is counted without being confirmed by a report of its holder.
	permitLease = 15 * time.Second
	// sweepInterval is the time between two searches for permits whose lease has expired.
	sweepInterval = time.Second
	// minMissingAge is the age below which a permit is not freed because a report lacks it: the holder may have sent the
	// report before it received the grant.
	minMissingAge = 500 * time.Millisecond
	// maxMissedReports is the number of consecutive reports without a permit after which it is freed.
	maxMissedReports = 2
	// maxQueueLength is the most requests that an owner queues for one target and kind of work.
	maxQueueLength = 8192
	// maxSpareWaiters is the most waiters kept for reuse.
	maxSpareWaiters = 1024
	// maxSkippedWaiters is how many waiters of a queue are tried for a free slot, in case the first may not use it.
	maxSkippedWaiters = 8
	// maxReplyLoads is the most upstreams whose load a reply carries.
	maxReplyLoads = 16
	// maxHeldPermits is the most permits that an owner accepts from the reports of one host.
	maxHeldPermits = 8192
)

// hostPermits are the permits counted for one run of a host.
type hostPermits struct {
	permits []*permit
}

// hostRun identifies one run of a host: its name and boot number.
type hostRun struct {
	host string
	boot uint64
}

// Owner is the state machine of one host for the upstreams it owns: it grants their slots, queues requests for them and
// preempts batch work. It has no clock, goroutine or I/O. The actions that a method returns are valid until the next call.
type Owner struct {
	// Host is the name of this host. Hosts with different names take otherwise equal upstreams in different orders, so that
	// hosts that each own all upstreams, because they do not know each other yet, do not all choose the same ones.
	Host string
	// AdaptivePace makes new and recovered upstreams get slots as they show that they can handle them. It is set before the
	// first event.
	AdaptivePace bool

	upstreams map[string]*upstream
	targets   map[string]*target
	// sortedUpstreams lists the upstreams by name, and sortedTargets the targets with owned upstreams. They are iterated
	// instead of the maps, so that the same events give the same actions.
	sortedUpstreams []*upstream
	sortedTargets   []*target
	permits         map[berylpermit.ID]*permit
	waiting         map[berylpermit.ID]*waiter
	permitsByRun    map[hostRun]*hostPermits
	// endedIDs holds recently released and withdrawn IDs, so that a late message about one has no effect.
	endedIDs    recentIDs
	longShare   float64
	nextArrival uint64
	actions     []Action
	// sparePermits and spareWaiters are kept for reuse, so that a busy owner allocates none.
	sparePermits []*permit
	spareWaiters []*waiter
	// late is a buffer of refuseLate, kept to save allocations.
	late    []*waiter
	now     time.Time
	sweptAt time.Time
}

// beginEvent starts the handling of an event: it sets the time, empties the list of actions and makes the maps of a new
// Owner.
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

// Request handles a permit request. The reply is in the actions of this call, or of a later one if the request is queued.
// Repeating a request repeats its grant or renews its place in the queue.
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

// admit grants, queues or refuses a new request. It queues only requests that allow it and that, by the predicted wait,
// can meet their deadline.
func (o *Owner) admit(now time.Time, t *target, req *berylpermit.Request) {
	k := kindOf(req.Class, req.Long)
	if k != batchWork && !req.Hedge {
		t.arrivals.add(now)
	}
	if t.throughput.limited {
		// A limit may have admitted a request since the last event, which is for those who wait already.
		o.dispatchOnline(now, []*target{t})
	}
	if u := o.findSlot(now, t, req, k); u != nil {
		o.grant(now, t, u, req)
		return
	}
	w := o.newWaiter()
	*w = waiter{target: t, renewedAt: now, deadline: now.Add(req.Remaining), arrival: o.nextArrival}
	w.flow = t.sharing(k).flow(req.Account, req.Priority)
	q := &t.queues[k]
	wait := t.throughput.predictWait(now, k, q.position(w, t.sharedSlots(k))+1)
	exceedsMaxWait := req.MaxQueueWait > 0 && wait > req.MaxQueueWait
	if !req.Queue || req.Hedge || exceedsMaxWait || !t.canServe(req) || !t.throughput.meetsDeadline(k, req.Remaining, wait) || !o.makeRoom(now, q, w.flow) {
		o.refuse(t, req.ID, wait)
		o.recycle(w)
		return
	}
	o.nextArrival++
	w.req = *req
	q.add(w)
	o.waiting[req.ID] = w
}

// makeRoom reports whether the queue has room for a request of the flow. If it is full, the request in the last place is
// refused instead of one of another account that would come before it.
func (o *Owner) makeRoom(now time.Time, q *queue, fl *flow) bool {
	if q.len() < maxQueueLength {
		return true
	}
	last := q.lastBehind(fl)
	if last == nil {
		return false
	}
	t := last.target
	wait := t.throughput.predictWait(now, q.kind, q.len())
	o.dequeue(last)
	o.refuse(t, last.req.ID, wait)
	o.recycle(last)
	return true
}

// findSlot returns an upstream with a slot for the request, or nil. For an online request it preempts batch work if no
// slot is free; hedges and batch requests never preempt.
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

// findIdle returns the upstream with a free slot that suits the request best, or nil. An ejected upstream that is due for
// a probe comes first, then those that the request prefers unless they are slow, then the one with the lowest score. Batch
// requests get nothing while only the slots reserved for online requests are free.
func (o *Owner) findIdle(now time.Time, t *target, req *berylpermit.Request, k workKind) *upstream {
	var best *upstream
	var score float64
	idle := 0
	for _, u := range t.owned {
		free := u.grantable(now)
		if free <= 0 || !o.mayGrant(now, t, u, req, k) {
			continue
		}
		if u.health.ejected {
			return u
		}
		idle += free
		if s := u.score(now, k); best == nil || s < score {
			best, score = u, s
		}
	}
	if best == nil || k == batchWork && idle <= t.reservedSlots(now) {
		return nil
	}
	for _, name := range req.Prefer {
		u := o.upstreams[name]
		if u != nil && u.grantable(now) > 0 && u.health.loadFactor() < slowRatio && slices.Contains(t.owned, u) && o.mayGrant(now, t, u, req, k) {
			return u
		}
	}
	return best
}

// mayGrant reports whether the upstream may be granted to the request, regardless of its free slots.
func (o *Owner) mayGrant(now time.Time, t *target, u *upstream, req *berylpermit.Request, k workKind) bool {
	noneHealthy := t.throughput.slots == 0
	if !u.usable() || !u.health.admits(now, k, noneHealthy) || req.Hedge && u.health.ejected {
		return false
	}
	if k == longOnline && !u.mayAddLong(o.longShare) {
		return false
	}
	if k == batchWork && now.Before(u.batchAllowedAt) {
		return false
	}
	return t.mayTakeToken(now, u, k) && !avoids(req, u.name)
}

// findPreemptable returns the upstream with the youngest batch permit, whose preemption loses the least work, or nil. An
// upstream with a limit comes last, since the preempted work needs another request there.
func (o *Owner) findPreemptable(now time.Time, t *target, req *berylpermit.Request, k workKind) *upstream {
	var best *upstream
	for _, u := range t.owned {
		p := u.youngestBatch()
		if p == nil || u.health.ejected || u.freeSlots()+len(u.batch) <= 0 {
			continue
		}
		if best != nil && !isPreemptedFirst(u, best) {
			continue
		}
		if o.mayGrant(now, t, u, req, k) {
			best = u
		}
	}
	return best
}

// isPreemptedFirst reports whether the youngest batch permit of a is preempted before that of b.
func isPreemptedFirst(a, b *upstream) bool {
	if a.limit.Limited != b.limit.Limited {
		return !a.limit.Limited
	}
	return a.youngestBatch().grantedAt.After(b.youngestBatch().grantedAt)
}

// preempt tells the holder of a batch permit to give it back; its slot counts as free from now on.
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
	p.account = t.sharing(kindOf(req.Class, req.Long)).account(req.Account)
	p.inFlight = u.inFlight() + 1
	o.addPermit(p)
	u.limit.take(now)
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

// Withdraw removes a queued request, or releases the permit that was granted for it.
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

// Release frees a permit and updates the upstream's health from the report. A repeated release has no effect.
func (o *Owner) Release(now time.Time, r berylpermit.Release) []Action {
	o.beginEvent(now)
	o.endedIDs.add(r.ID)
	p := o.permits[r.ID]
	if p == nil {
		return o.actions
	}
	wasEjected := p.upstream.health.ejected
	observePace(now, p, &r.Report)
	p.upstream.health.observe(now, p, r.Report, p.upstream.medians())
	o.reportHealth(p.upstream, wasEjected, p.id.Host)
	o.freePermit(now, p)
	return o.actions
}

// reportHealth announces that an upstream was ejected or is back in use since wasEjected was read.
func (o *Owner) reportHealth(u *upstream, wasEjected bool, reportedBy string) {
	if u.health.ejected == wasEjected {
		return
	}
	change := HealthChange{Upstream: u.name, Ejected: u.health.ejected, ReportedBy: reportedBy}
	if change.Ejected {
		change.Cause = u.health.ejectedFor
		if u.health.pace != nil {
			u.health.pace.Eject(o.now, u.slots, change.Cause == causeSlow)
		}
	}
	o.actions = append(o.actions, Action{Kind: ActionHealth, Health: change})
}
