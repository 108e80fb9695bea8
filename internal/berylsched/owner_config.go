package berylsched

import (
	"cmp"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// Configure installs a new configuration. An upstream that is no longer in it is dropped with its permits; the others
// keep theirs.
func (o *Owner) Configure(now time.Time, c Config) []Action {
	o.beginEvent(now)
	o.longShare = c.LongShare
	known := make(map[string]bool, len(c.Upstreams))
	for _, cu := range c.Upstreams {
		known[cu.Name] = true
		u := o.upstreams[cu.Name]
		if u == nil {
			u = &upstream{name: cu.Name}
			o.upstreams[cu.Name] = u
		}
		u.slots = cu.Slots
		u.leaving = cu.Leaving
		u.targets = o.targetsNamed(cu.Targets)
	}
	for name, u := range o.upstreams {
		if !known[name] {
			o.dropOwnedState(u)
			delete(o.upstreams, name)
		}
	}
	o.sortedUpstreams = o.sortedUpstreams[:0]
	for _, u := range o.upstreams {
		o.sortedUpstreams = append(o.sortedUpstreams, u)
	}
	slices.SortFunc(o.sortedUpstreams, func(a, b *upstream) int { return cmp.Compare(a.name, b.name) })
	o.rebuildTargets(now)
	return o.actions
}

// targetsNamed returns the targets of those names and creates missing ones.
func (o *Owner) targetsNamed(names []string) []*target {
	list := make([]*target, 0, len(names))
	for _, name := range names {
		t := o.targets[name]
		if t == nil {
			t = &target{name: name}
			for k := range t.queues {
				t.queues[k].kind = workKind(k)
			}
			o.targets[name] = t
		}
		list = append(list, t)
	}
	return list
}

// SetOwned sets the upstreams that this host owns. A newly owned upstream gets a new term and grants no batch work for
// takeoverGrace; the state of an upstream that is no longer owned is dropped.
func (o *Owner) SetOwned(now time.Time, names []string) []Action {
	o.beginEvent(now)
	owned := make(map[string]bool, len(names))
	for _, name := range names {
		owned[name] = true
	}
	for _, u := range o.sortedUpstreams {
		if owned[u.name] && !u.owned {
			u.owned = true
			u.term = uint64(now.UnixNano())
			u.batchAllowedAt = now.Add(takeoverGrace)
			u.inheritHealth(now)
			o.reportHealth(u, false, "")
			u.limit.restart(now)
		}
		if !owned[u.name] && u.owned {
			o.dropOwnedState(u)
		}
	}
	o.rebuildTargets(now)
	return o.actions
}

// dropOwnedState drops the permits and the health of an upstream that this host no longer owns.
func (o *Owner) dropOwnedState(u *upstream) {
	if u.health.pace != nil && len(u.targets) > 0 {
		// If this host owns the upstream again soon, it continues from here.
		u.peerLoad = peerLoad{Load: u.load(o.now, u.targets[0]), receivedAt: o.now}
	}
	u.owned = false
	for _, p := range o.permitsOf(u) {
		o.removePermit(p)
	}
	u.health = health{}
}

func (o *Owner) permitsOf(u *upstream) []*permit {
	var list []*permit
	for _, p := range o.permits {
		if p.upstream == u {
			list = append(list, p)
		}
	}
	return list
}

// rebuildTargets rebuilds the targets' lists of upstreams after a change of the configuration or of ownership. Waiters of
// a target without owned upstreams are rejected; the others may get a slot now.
func (o *Owner) rebuildTargets(now time.Time) {
	o.sortedTargets = o.sortedTargets[:0]
	for name, t := range o.targets {
		t.owned = t.owned[:0]
		t.all = t.all[:0]
		for _, u := range o.sortedUpstreams {
			if !slices.Contains(u.targets, t) {
				continue
			}
			t.all = append(t.all, u)
			if u.owned {
				t.owned = append(t.owned, u)
			}
		}
		if len(t.owned) > 0 {
			o.sortedTargets = append(o.sortedTargets, t)
			continue
		}
		o.rejectWaiters(t)
		if len(t.all) == 0 {
			delete(o.targets, name)
		}
	}
	slices.SortFunc(o.sortedTargets, func(a, b *target) int { return cmp.Compare(a.name, b.name) })
	o.startPaces(now)
	for _, t := range o.sortedTargets {
		o.sortByPreference(t.owned)
	}
	for _, t := range o.sortedTargets {
		t.refreshThroughput(now, o)
	}
	o.dispatchAll(now)
}

// sortByPreference orders upstreams differently on each host; an Owner without a host name keeps them sorted by name.
func (o *Owner) sortByPreference(list []*upstream) {
	if o.Host == "" {
		return
	}
	slices.SortFunc(list, func(a, b *upstream) int {
		return cmp.Compare(rendezvousWeight(a.name, o.Host), rendezvousWeight(b.name, o.Host))
	})
}

// rejectWaiters answers NotOwner to all waiters of a target, so that they look for its new owner.
func (o *Owner) rejectWaiters(t *target) {
	for k := range t.queues {
		for q := &t.queues[k]; q.len() > 0; {
			w := q.candidate(0, 0)
			o.dequeue(w)
			o.reply(berylpermit.Reply{ID: w.req.ID, Verdict: berylpermit.NotOwner})
		}
	}
}

// Tick does the periodic work: it repeats yield messages, frees permits whose lease has expired, evaluates the health of
// upstreams and refuses waiters that can no longer meet their deadline.
func (o *Owner) Tick(now time.Time) []Action {
	o.beginEvent(now)
	for _, u := range o.sortedUpstreams {
		if u.owned {
			o.repeatYields(now, u)
			o.reportPace(now, u)
		}
	}
	o.freeExpired(now)
	for _, t := range o.sortedTargets {
		t.evaluate(now, o)
		t.refreshThroughput(now, o)
		o.refuseLate(now, t)
	}
	o.dispatchAll(now)
	return o.actions
}

// repeatYields sends the yield messages of an upstream again when due, in case they were lost, and marks the permits as
// overdue that were not given back within yieldGrace.
func (o *Owner) repeatYields(now time.Time, u *upstream) {
	for _, p := range u.yielding {
		if now.Sub(p.yieldedAt) >= yieldGrace {
			u.markOverdue(p)
		}
		if now.Sub(p.yieldSentAt) >= yieldRepeatInterval {
			p.yieldSentAt = now
			o.sendYield(p)
		}
	}
}

// refuseLate refuses the waiters that can no longer meet their deadline, even if the next slot becomes free at once, those
// that no upstream can serve any more, and those whose request has not been sent again within its lease.
func (o *Owner) refuseLate(now time.Time, t *target) {
	for k := shortOnline; k < kindCount; k++ {
		lease := onlineWaitLease
		if k == batchWork {
			lease = batchWaitLease
		}
		q := &t.queues[k]
		o.late = q.removable(o.late[:0], t.sharedSlots(k), func(w *waiter, position int) bool {
			w.predicted = t.throughput.predictWait(now, k, position)
			valid := now.Sub(w.renewedAt) <= lease && t.canServe(&w.req)
			return valid && t.throughput.meetsDeadline(k, w.deadline.Sub(now), w.predicted) && !w.isOvertaken(now)
		})
		for _, w := range o.late {
			o.dequeue(w)
			o.refuse(t, w.req.ID, w.predicted)
			o.recycle(w)
		}
		clear(o.late)
	}
}
