package berylsched

import "time"

// freePermit forgets a permit and gives its slot to the next in line.
func (o *Owner) freePermit(now time.Time, p *permit) {
	u := p.upstream
	o.removePermit(p)
	o.dispatchUpstream(now, u)
	if len(u.batch) > 0 {
		o.dispatchOnline(now, u.targets)
	}
}

// dispatchOnline grants what waiting online asks can have by displacing batch work.
func (o *Owner) dispatchOnline(now time.Time, targets []*target) {
	for _, t := range targets {
		for k := shortOnline; k <= longOnline; k++ {
			o.dispatchQueue(now, t, k)
		}
	}
}

// dispatchUpstream grants the free slots of one upstream to waiting asks.
func (o *Owner) dispatchUpstream(now time.Time, u *upstream) {
	for u.freeSlots() > 0 && u.usable() {
		w := o.nextWaiter(now, u)
		if w == nil {
			return
		}
		o.dequeue(w)
		o.grant(now, w.target, u, &w.req)
		o.recycle(w)
	}
}

// nextWaiter returns the waiter that should get a slot of the upstream, online before batch, then by deadline.
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

// firstWaiter returns the firstWaiter waiter of a queue that the upstream may serve.
func (o *Owner) firstWaiter(now time.Time, u *upstream, t *target, k workKind) *waiter {
	for i, w := range t.queues[k].waiting() {
		if i == maxSkippedWaiters {
			break
		}
		if !o.mayGrant(now, t, u, &w.req, k) {
			continue
		}
		if k == batchWork && !u.health.ejected && t.idleSlots() <= t.reservedSlots(now) {
			return nil
		}
		return w
	}
	return nil
}

// newWaiter takes a waiter from the spare ones.
func (o *Owner) newWaiter() *waiter {
	if n := len(o.spareWaiters); n > 0 {
		w := o.spareWaiters[n-1]
		o.spareWaiters = o.spareWaiters[:n-1]
		return w
	}
	return new(waiter)
}

// recycle keeps a waiter that is in no queue for the next ask.
func (o *Owner) recycle(w *waiter) {
	if len(o.spareWaiters) >= maxSpareWaiters {
		return
	}
	*w = waiter{}
	o.spareWaiters = append(o.spareWaiters, w)
}

// dequeue takes a waiter out of its queue.
func (o *Owner) dequeue(w *waiter) {
	k := kindOf(w.req.Class, w.req.Long)
	w.target.queues[k].remove(w)
	delete(o.waiting, w.req.ID)
}

// dispatchAll grants whatever waiting asks can have.
func (o *Owner) dispatchAll(now time.Time) {
	o.dispatchOnline(now, o.sortedTargets)
	for _, t := range o.sortedTargets {
		o.dispatchQueue(now, t, batchWork)
	}
}

// dispatchQueue grants a queue's first waiters as long as there is room for them.
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
