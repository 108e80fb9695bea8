package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// settleTime is how long a new owner waits for reports of held permits before it grants batch work.
	settleTime = 1500 * time.Millisecond
	// yieldGrace is how long a permit told to yield counts as given back.
	yieldGrace = 500 * time.Millisecond
	// yieldAgain is the time between two orders to yield the same permit.
	yieldAgain = 250 * time.Millisecond
	// permitLease is how long a permit lives without a report of its holder.
	permitLease = 15 * time.Second
	// sweepEvery is the time between two looks at all permits.
	sweepEvery = time.Second
	// missedGrace is the least age of a permit that a report may leave out to its loss.
	missedGrace = 500 * time.Millisecond
	// missedReports is how many reports in a row must leave a permit out before it is freed.
	missedReports = 2
	// maxWaiting is how many asks of one kind an owner queues for one target.
	maxWaiting = 8192
	// maxSpareAsks is how many waiters are kept for reuse.
	maxSpareAsks = 1024
	// maxSkip is how many waiters are passed over that avoid the upstream at hand.
	maxSkip = 8
	// maxLoads is how many upstreams a reply describes.
	maxLoads = 16
	// maxHeldPermits is how many permits of one host an owner counts.
	maxHeldPermits = 8192
)

// holder is one run of a host, with the permits counted for it.
type holder struct {
	permits []*permit
}

type holderKey struct {
	host string
	boot uint64
}

// Owner is the state machine of one host for the upstreams it owns; it has no clock, goroutine or I/O.
// The actions that a method returns are valid until the next call.
type Owner struct {
	upstreams map[string]*upstream
	targets   map[string]*target
	// ups and tgts list the same by name, so that the same events give the same actions.
	ups       []*upstream
	tgts      []*target
	permits   map[berylpermit.ID]*permit
	waiting   map[berylpermit.ID]*waiter
	holders   map[holderKey]*holder
	ended     recent
	longShare float64
	order     uint64
	actions   []Action
	// spare permits and waiters are kept so that a busy owner allocates none.
	spare     []*permit
	spareAsks []*waiter
	now       time.Time
	swept     time.Time
}

// begin starts an event.
func (o *Owner) begin(now time.Time) {
	o.now = now
	o.actions = o.actions[:0]
	if o.upstreams != nil {
		return
	}
	o.upstreams = make(map[string]*upstream)
	o.targets = make(map[string]*target)
	o.permits = make(map[berylpermit.ID]*permit)
	o.waiting = make(map[berylpermit.ID]*waiter)
	o.holders = make(map[holderKey]*holder)
}

// Ask answers a request for a permit, at once or when a slot frees.
func (o *Owner) Ask(now time.Time, ask berylpermit.Request) []Action {
	o.begin(now)
	if p := o.permits[ask.ID]; p != nil {
		o.replyGranted(p, nil)
		return o.actions
	}
	if w := o.waiting[ask.ID]; w != nil {
		w.renewed = now
		return o.actions
	}
	ask.Class = ask.Class.Normalized()
	t := o.targets[ask.Target]
	if t == nil || len(t.ups) == 0 {
		o.reply(berylpermit.Reply{ID: ask.ID, Verdict: berylpermit.NotOwner})
		return o.actions
	}
	if ask.Remaining <= 0 || o.ended.has(ask.ID) {
		o.refuse(t, ask.ID, 0)
		return o.actions
	}
	o.decide(now, t, &ask)
	return o.actions
}

// decide grants, refuses or queues a new ask.
func (o *Owner) decide(now time.Time, t *target, ask *berylpermit.Request) {
	k := kindOf(ask.Class, ask.Long)
	if k != batchWork && !ask.Hedge {
		t.arrivals.add(now)
	}
	if u := o.room(now, t, ask, k); u != nil {
		o.grant(now, t, u, ask)
		return
	}
	w := o.newWaiter()
	*w = waiter{target: t, renewed: now, deadline: now.Add(ask.Remaining), order: o.order}
	q := &t.queues[k]
	wait := t.pace.wait(now, k, q.rank(w)+1)
	impatient := ask.MaxQueueWait > 0 && wait > ask.MaxQueueWait
	if !ask.Queue || ask.Hedge || impatient || q.len() >= maxWaiting || !t.mayServe(ask) || !t.pace.inTime(k, ask.Remaining, wait) {
		o.refuse(t, ask.ID, wait)
		o.recycle(w)
		return
	}
	o.order++
	w.ask = *ask
	q.add(w)
	o.waiting[ask.ID] = w
}

// room returns an upstream with a slot for the ask, making one by a yield if batch work stands in its way.
func (o *Owner) room(now time.Time, t *target, ask *berylpermit.Request, k kind) *upstream {
	if u := o.idle(now, t, ask, k); u != nil {
		return u
	}
	if k == batchWork || ask.Hedge {
		return nil
	}
	u := o.preemptable(now, t, ask, k)
	if u == nil {
		return nil
	}
	for u.free() <= 0 {
		o.yield(now, u, u.youngest())
	}
	return u
}

// idle returns the best upstream with a free slot for the ask, or nil.
func (o *Owner) idle(now time.Time, t *target, ask *berylpermit.Request, k kind) *upstream {
	var best *upstream
	var score float64
	idle := 0
	for _, u := range t.ups {
		free := u.free()
		if free <= 0 || !o.fits(now, t, u, ask, k) {
			continue
		}
		if u.health.aside {
			return u
		}
		idle += free
		if s := u.score(); best == nil || s < score {
			best, score = u, s
		}
	}
	if best == nil || k == batchWork && idle <= t.reserve(now) {
		return nil
	}
	for _, name := range ask.Prefer {
		u := o.upstreams[name]
		if u != nil && u.free() > 0 && u.health.weight() < slowRatio && slices.Contains(t.ups, u) && o.fits(now, t, u, ask, k) {
			return u
		}
	}
	return best
}

// fits says whether the upstream may get a permit of that kind, apart from its free slots.
func (o *Owner) fits(now time.Time, t *target, u *upstream, ask *berylpermit.Request, k kind) bool {
	alone := t.pace.slots == 0
	if !u.usable() || !u.health.open(now, k, alone) || ask.Hedge && u.health.aside {
		return false
	}
	if k == longOnline && !u.longRoom(o.longShare) {
		return false
	}
	if k == batchWork && now.Before(u.settled) {
		return false
	}
	return !avoids(ask, u.name)
}

// preemptable returns the upstream whose youngest batch permit loses the least work, or nil.
func (o *Owner) preemptable(now time.Time, t *target, ask *berylpermit.Request, k kind) *upstream {
	var best *upstream
	for _, u := range t.ups {
		p := u.youngest()
		if p == nil || u.health.aside || u.free()+len(u.batch) <= 0 {
			continue
		}
		if best != nil && !p.since.After(best.youngest().since) {
			continue
		}
		if o.fits(now, t, u, ask, k) {
			best = u
		}
	}
	return best
}

func (o *Owner) yield(now time.Time, u *upstream, p *permit) {
	u.startYield(p, now)
	o.sendYield(p)
}

func (o *Owner) sendYield(p *permit) {
	o.actions = append(o.actions, Action{Kind: ActionYield, Yield: berylpermit.Yield{ID: p.id, Upstream: p.up.name}})
}

func (o *Owner) grant(now time.Time, t *target, u *upstream, ask *berylpermit.Request) {
	p := o.newPermit()
	*p = permit{id: ask.ID, up: u, class: ask.Class, long: ask.Long, since: now, seen: now}
	o.count(p)
	u.health.granted(p)
	o.replyGranted(p, t.words(now))
}

func (o *Owner) replyGranted(p *permit, loads []berylpermit.Load) {
	o.reply(berylpermit.Reply{
		ID:       p.id,
		Verdict:  berylpermit.Granted,
		Upstream: p.up.name,
		Term:     p.up.term,
		Loads:    loads,
	})
}

func (o *Owner) refuse(t *target, id berylpermit.ID, wait time.Duration) {
	o.reply(berylpermit.Reply{ID: id, Verdict: berylpermit.Refused, PredictedWait: wait, Loads: t.words(o.now)})
}

func (o *Owner) reply(r berylpermit.Reply) {
	o.actions = append(o.actions, Action{Kind: ActionReply, Reply: r})
}

// Withdraw drops an ask, or releases the permit that was granted for it.
func (o *Owner) Withdraw(now time.Time, id berylpermit.ID) []Action {
	o.begin(now)
	o.ended.add(id)
	if w := o.waiting[id]; w != nil {
		o.unqueue(w)
		o.recycle(w)
		return o.actions
	}
	if p := o.permits[id]; p != nil {
		o.free(now, p)
	}
	return o.actions
}

// Release takes a permit back and learns from what its call has shown; a second release has no effect.
func (o *Owner) Release(now time.Time, r berylpermit.Release) []Action {
	o.begin(now)
	o.ended.add(r.ID)
	p := o.permits[r.ID]
	if p == nil {
		return o.actions
	}
	p.up.health.observe(now, p, r.Report, p.up.norm())
	o.free(now, p)
	return o.actions
}
