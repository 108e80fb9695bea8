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
		o.dequeue(w)
		o.grant(now, w.target, u, &w.req)
		o.recycle(w)
	}
}

// nextWaiter returns the waiter that should get a free slot of the upstream, or nil: online before batch, then by deadline.
func (o *Owner) nextWaiter(now time.Time, u *upstream) *waiter {
	var best *waiter
	for k := shortOnline; k < kindCount; k++ {
		if k == batchWork && best != nil {
			break
		}
		for _, t := range u.targets {
			w := o.firstWaiter(now, u, t, k)
			if w != nil && (best == nil || compareWaiters(w, best) < 0) {
				best = w
			}
		}
	}
	return best
}

// firstWaiter returns the first waiter in the target's queue for the kind of work to which the upstream may be granted,
// or nil. It tries only the first maxSkippedWaiters. It returns no batch waiter if the target has no more idle slots
// than are reserved, unless the upstream is ejected.
func (o *Owner) firstWaiter(now time.Time, u *upstream, t *target, k workKind) *waiter {
	for i, w := range t.queues[k].waiting() {
		if i == maxSkippedWaiters {
			break
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

// dequeue removes a waiter from its queue.
func (o *Owner) dequeue(w *waiter) {
	k := kindOf(w.req.Class, w.req.Long)
	w.target.queues[k].remove(w)
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
		w := t.queues[k].waiting()[i]
		u := o.findSlot(now, t, &w.req, k)
		if u == nil {
			i++
			continue
		}
		o.dequeue(w)
		o.grant(now, t, u, &w.req)
		o.recycle(w)
	}
}
