package berylsched

import "time"

// free forgets a permit and gives its slot to the next in line.
func (o *Owner) free(now time.Time, p *permit) {
	u := p.up
	o.uncount(p)
	o.dispatch(now, u)
	if len(u.batch) > 0 {
		o.drainOnline(now, u.targets)
	}
}

// drainOnline grants what waiting online asks can have by displacing batch work.
func (o *Owner) drainOnline(now time.Time, targets []*target) {
	for _, t := range targets {
		for k := shortOnline; k <= longOnline; k++ {
			o.drain(now, t, k)
		}
	}
}

// dispatch grants the free slots of one upstream to waiting asks.
func (o *Owner) dispatch(now time.Time, u *upstream) {
	for u.free() > 0 && u.usable() {
		w := o.next(now, u)
		if w == nil {
			return
		}
		o.unqueue(w)
		o.grant(now, w.target, u, &w.ask)
		o.recycle(w)
	}
}

// next returns the waiter that should get a slot of the upstream, online before batch, then by deadline.
func (o *Owner) next(now time.Time, u *upstream) *waiter {
	var best *waiter
	for k := shortOnline; k < kinds; k++ {
		if k == batchWork && best != nil {
			break
		}
		for _, t := range u.targets {
			w := o.first(now, u, t, k)
			if w != nil && (best == nil || compareWaiters(w, best) < 0) {
				best = w
			}
		}
	}
	return best
}

// first returns the first waiter of a queue that the upstream may serve.
func (o *Owner) first(now time.Time, u *upstream, t *target, k kind) *waiter {
	for i, w := range t.queues[k].live() {
		if i == maxSkip {
			break
		}
		if !o.fits(now, t, u, &w.ask, k) {
			continue
		}
		if k == batchWork && !u.health.aside && t.idle() <= t.reserve(now) {
			return nil
		}
		return w
	}
	return nil
}

// newWaiter takes a waiter from the spare ones.
func (o *Owner) newWaiter() *waiter {
	if n := len(o.spareAsks); n > 0 {
		w := o.spareAsks[n-1]
		o.spareAsks = o.spareAsks[:n-1]
		return w
	}
	return new(waiter)
}

// recycle keeps a waiter that is in no queue for the next ask.
func (o *Owner) recycle(w *waiter) {
	if len(o.spareAsks) >= maxSpareAsks {
		return
	}
	*w = waiter{}
	o.spareAsks = append(o.spareAsks, w)
}

// unqueue takes a waiter out of its queue.
func (o *Owner) unqueue(w *waiter) {
	k := kindOf(w.ask.Class, w.ask.Long)
	w.target.queues[k].remove(w)
	delete(o.waiting, w.ask.ID)
}

// dispatchAll grants whatever waiting asks can have.
func (o *Owner) dispatchAll(now time.Time) {
	o.drainOnline(now, o.tgts)
	for _, t := range o.tgts {
		o.drain(now, t, batchWork)
	}
}

// drain grants a queue's first waiters as long as there is room for them.
func (o *Owner) drain(now time.Time, t *target, k kind) {
	for i := 0; i < min(maxSkip, t.queues[k].len()); {
		w := t.queues[k].live()[i]
		u := o.room(now, t, &w.ask, k)
		if u == nil {
			i++
			continue
		}
		o.unqueue(w)
		o.grant(now, t, u, &w.ask)
		o.recycle(w)
	}
}
