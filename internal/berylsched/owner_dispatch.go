package berylsched

import "time"

// freePermit removes a permit and grants its slot to the next waiter. While the upstream runs batch work, it also grants
// what online waiters can get by preemption.
func (o *Owner) freePermit(now time.Time, p *permit) {
	u := p.upstream
	o.removePermit(p)
	o.dispatchUpstream(now, u)
	if len(u.batch) > 0 {
		o.dispatchOnline(now, u.targets)
	}
}

// dispatchOnline grants permits to the online waiters of the targets, preempting batch work if necessary.
func (o *Owner) dispatchOnline(now time.Time, targets []*target) {
	for _, t := range targets {
		for k := shortOnline; k <= longOnline; k++ {
			o.dispatchQueue(now, t, k)
		}
	}
}

// dispatchUpstream grants the free slots of one upstream to waiters.
func (o *Owner) dispatchUpstream(now time.Time, u *upstream) {
	for u.grantable(now) > 0 && u.usable() {
		w := o.nextWaiter(now, u)
		if w == nil {
			return
		}
		o.takeFromQueue(w)
		o.grant(now, w.target, u, &w.req)
		o.recycle(w)
	}
}

// nextWaiter returns the waiter that should get a free slot of the upstream, or nil: online before batch. Within a target
// waiters are in the order of candidates. Between targets, whose accounts compete for different slots, the order is by
// priority, then waiters whose account is within its fair share, then by deadline.
func (o *Owner) nextWaiter(now time.Time, u *upstream) *waiter {
	var best *waiter
	for _, t := range u.targets {
		short, long := o.firstWaiter(now, u, t, shortOnline), o.firstWaiter(now, u, t, longOnline)
		if short == nil || long != nil && compareKinds(long, short) < 0 {
			short = long
		}
		if short != nil && (best == nil || compareTargets(short, best) < 0) {
			best = short
		}
	}
	if best != nil {
		return best
	}
	for _, t := range u.targets {
		w := o.firstWaiter(now, u, t, batchWork)
		if w != nil && (best == nil || compareTargets(w, best) < 0) {
			best = w
		}
	}
	return best
}

// compareKinds orders two online waiters of a target that are of different kinds of work.
func compareKinds(a, b *waiter) int {
	if a.flow == b.flow {
		return compareWaiters(a, b)
	}
	if c := comparePrecedence(a, b); c != 0 {
		return c
	}
	return comparePlaces(a.firstPlace(), b.firstPlace())
}

// compareTargets orders two waiters of the same class and of different targets.
func compareTargets(a, b *waiter) int {
	if c := comparePrecedence(a, b); c != 0 {
		return c
	}
	return compareWaiters(a, b)
}

// comparePrecedence orders by priority, then waiters whose account is within its fair share before the others.
func comparePrecedence(a, b *waiter) int {
	if a.req.Priority != b.req.Priority {
		return compareFirst(a.req.Priority < b.req.Priority)
	}
	inExcess := a.isInExcess()
	if inExcess != b.isInExcess() {
		return compareFirst(!inExcess)
	}
	return 0
}

func (w *waiter) isInExcess() bool {
	return w.flow.account.excess(w.target.sharedSlots(kindOf(w.req.Class, w.req.Long))) > 0
}

// firstPlace returns the first place of the waiter's flow in its queue.
func (w *waiter) firstPlace() *place {
	return w.flow.queues[kindOf(w.req.Class, w.req.Long)].places.at(0)
}

// firstWaiter returns the first waiter in the target's queue for the kind of work to which the upstream may be granted,
// or nil. It tries only the first maxSkippedWaiters. It returns no batch waiter if the target has no more idle slots
// than are reserved, unless the upstream is ejected.
func (o *Owner) firstWaiter(now time.Time, u *upstream, t *target, k workKind) *waiter {
	for i := range min(maxSkippedWaiters, t.queues[k].len()) {
		w := t.queues[k].candidate(i, t.sharedSlots(k))
		if w == nil {
			return nil
		}
		if !o.mayGrant(now, t, u, &w.req, k) {
			continue
		}
		if k == batchWork && !u.health.ejected && t.idleSlots(now) <= t.reservedSlots(now) {
			return nil
		}
		return w
	}
	return nil
}

// newWaiter returns a spare waiter, or allocates one.
func (o *Owner) newWaiter() *waiter {
	if n := len(o.spareWaiters); n > 0 {
		w := o.spareWaiters[n-1]
		o.spareWaiters = o.spareWaiters[:n-1]
		return w
	}
	return new(waiter)
}

// recycle keeps a waiter, which must be in no queue, for reuse.
func (o *Owner) recycle(w *waiter) {
	if len(o.spareWaiters) >= maxSpareWaiters {
		return
	}
	*w = waiter{}
	o.spareWaiters = append(o.spareWaiters, w)
}

// dequeue removes a waiter that gets no permit from its queue.
func (o *Owner) dequeue(w *waiter) {
	w.target.queues[kindOf(w.req.Class, w.req.Long)].remove(w)
	delete(o.waiting, w.req.ID)
}

// takeFromQueue removes a waiter that gets a permit from its queue.
func (o *Owner) takeFromQueue(w *waiter) {
	w.target.queues[kindOf(w.req.Class, w.req.Long)].take(w)
	delete(o.waiting, w.req.ID)
}

// dispatchAll grants permits to all waiters that can get one, online before batch.
func (o *Owner) dispatchAll(now time.Time) {
	o.dispatchOnline(now, o.sortedTargets)
	for _, t := range o.sortedTargets {
		o.dispatchQueue(now, t, batchWork)
	}
}

// dispatchQueue grants permits to a queue's waiters until none of its first maxSkippedWaiters can get a slot.
func (o *Owner) dispatchQueue(now time.Time, t *target, k workKind) {
	for i := 0; i < min(maxSkippedWaiters, t.queues[k].len()); {
		w := t.queues[k].candidate(i, t.sharedSlots(k))
		if w == nil {
			return
		}
		u := o.findSlot(now, t, &w.req, k)
		if u == nil {
			i++
			continue
		}
		o.takeFromQueue(w)
		o.grant(now, t, u, &w.req)
		o.recycle(w)
	}
}
