package berylsched

import (
	"cmp"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// Configure installs the inventory's upstreams and the rules.
func (o *Owner) Configure(now time.Time, c Config) []Action {
	o.begin(now)
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
			o.forget(u)
			delete(o.upstreams, name)
		}
	}
	o.ups = o.ups[:0]
	for _, u := range o.upstreams {
		o.ups = append(o.ups, u)
	}
	slices.SortFunc(o.ups, func(a, b *upstream) int { return cmp.Compare(a.name, b.name) })
	o.relist(now)
	return o.actions
}

func (o *Owner) targetsNamed(names []string) []*target {
	list := make([]*target, 0, len(names))
	for _, name := range names {
		t := o.targets[name]
		if t == nil {
			t = &target{name: name}
			o.targets[name] = t
		}
		list = append(list, t)
	}
	return list
}

// Owned tells which upstreams this host owns now.
func (o *Owner) Owned(now time.Time, names []string) []Action {
	o.begin(now)
	owned := make(map[string]bool, len(names))
	for _, name := range names {
		owned[name] = true
	}
	for _, u := range o.ups {
		if owned[u.name] && !u.owned {
			u.owned = true
			u.term = uint64(now.UnixNano())
			u.settled = now.Add(settleTime)
			u.inherit(now)
		}
		if !owned[u.name] && u.owned {
			o.forget(u)
		}
	}
	o.relist(now)
	return o.actions
}

// forget drops the permits of an upstream that this host owns no longer.
func (o *Owner) forget(u *upstream) {
	u.owned = false
	for _, p := range o.permitsOf(u) {
		o.uncount(p)
	}
	u.health = health{}
}

func (o *Owner) permitsOf(u *upstream) []*permit {
	var list []*permit
	for _, p := range o.permits {
		if p.up == u {
			list = append(list, p)
		}
	}
	return list
}

// relist rebuilds the targets' lists of owned upstreams and answers the asks that have lost all of theirs.
func (o *Owner) relist(now time.Time) {
	o.tgts = o.tgts[:0]
	for name, t := range o.targets {
		t.ups = t.ups[:0]
		t.all = t.all[:0]
		for _, u := range o.ups {
			if !slices.Contains(u.targets, t) {
				continue
			}
			t.all = append(t.all, u)
			if u.owned {
				t.ups = append(t.ups, u)
			}
		}
		if len(t.ups) > 0 {
			o.tgts = append(o.tgts, t)
			continue
		}
		o.disown(t)
		if len(t.all) == 0 {
			delete(o.targets, name)
		}
	}
	slices.SortFunc(o.tgts, func(a, b *target) int { return cmp.Compare(a.name, b.name) })
	for _, t := range o.tgts {
		t.refresh(now, o)
	}
	o.dispatchAll(now)
}

// disown sends the waiting asks of a target to look for its new owner.
func (o *Owner) disown(t *target) {
	for k := range t.queues {
		for q := &t.queues[k]; q.len() > 0; {
			w := q.live()[0]
			o.unqueue(w)
			o.reply(berylpermit.Reply{ID: w.ask.ID, Verdict: berylpermit.NotOwner})
		}
	}
}

// Tick does what is due: it repeats orders to yield, refuses asks that cannot be in time and frees lost permits.
func (o *Owner) Tick(now time.Time) []Action {
	o.begin(now)
	for _, u := range o.ups {
		if u.owned {
			o.repeatYields(now, u)
		}
	}
	o.sweep(now)
	for _, t := range o.tgts {
		t.judge(now)
		t.refresh(now, o)
		o.dropLate(now, t)
	}
	o.dispatchAll(now)
	return o.actions
}

func (o *Owner) repeatYields(now time.Time, u *upstream) {
	for _, p := range u.yielding {
		if now.Sub(p.yielded) >= yieldGrace {
			u.markOverdue(p)
		}
		if now.Sub(p.asked) >= yieldAgain {
			p.asked = now
			o.sendYield(p)
		}
	}
}

// dropLate refuses the waiting asks that cannot be in time, even if the next slot frees at once, those that nothing may
// serve any more and those that are not asked for any more.
func (o *Owner) dropLate(now time.Time, t *target) {
	for k := shortOnline; k < kinds; k++ {
		lease := askLease
		if k == batchWork {
			lease = batchLease
		}
		q := &t.queues[k]
		for i := 0; i < q.len(); {
			w := q.live()[i]
			wait := t.pace.wait(now, k, i)
			wanted := now.Sub(w.renewed) <= lease && t.mayServe(&w.ask)
			if wanted && t.pace.inTime(k, w.deadline.Sub(now), wait) {
				i++
				continue
			}
			o.unqueue(w)
			o.refuse(t, w.ask.ID, wait)
		}
	}
}
