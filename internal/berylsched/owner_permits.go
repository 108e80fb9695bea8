package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// newPermit takes a permit from the spare ones.
func (o *Owner) newPermit() *permit {
	if n := len(o.spare); n > 0 {
		p := o.spare[n-1]
		o.spare = o.spare[:n-1]
		return p
	}
	return new(permit)
}

// count enters a permit into all lists.
func (o *Owner) count(p *permit) {
	key := holderKey{p.id.Host, p.id.Boot}
	h := o.holders[key]
	if h == nil {
		h = new(holder)
		o.holders[key] = h
	}
	p.index = len(h.permits)
	h.permits = append(h.permits, p)
	o.permits[p.id] = p
	p.up.addPermit(p)
}

// uncount takes a permit out of all lists.
func (o *Owner) uncount(p *permit) {
	key := holderKey{p.id.Host, p.id.Boot}
	h := o.holders[key]
	last := len(h.permits) - 1
	h.permits[p.index] = h.permits[last]
	h.permits[p.index].index = p.index
	h.permits[last] = nil
	h.permits = h.permits[:last]
	if last == 0 {
		delete(o.holders, key)
	}
	delete(o.permits, p.id)
	p.up.removePermit(p)
	p.up.health.ended(p)
	o.spare = append(o.spare, p)
}

// Held takes a host's report of the permits it holds: unknown ones are counted, missing ones are freed.
func (o *Owner) Held(now time.Time, h berylpermit.HeldReport) []Action {
	o.begin(now)
	named := make(map[berylpermit.ID]bool, len(h.Permits))
	for i := range h.Permits {
		named[h.Permits[i].ID] = true
		o.confirm(now, h, &h.Permits[i])
	}
	for key, hr := range o.holders {
		if key.host == h.Host && key.boot < h.Boot {
			o.freeAll(hr)
		}
	}
	if hr := o.holders[holderKey{h.Host, h.Boot}]; hr != nil {
		o.freeMissing(now, hr, named)
	}
	o.dispatchAll(now)
	return o.actions
}

// confirm notes that a permit is still held, and counts it if it was granted by another owner.
func (o *Owner) confirm(now time.Time, h berylpermit.HeldReport, hp *berylpermit.HeldPermit) {
	if hp.ID.Host != h.Host || hp.ID.Boot != h.Boot {
		return
	}
	if p := o.permits[hp.ID]; p != nil {
		p.seen = now
		p.missed = 0
		return
	}
	u := o.upstreams[hp.Upstream]
	if u == nil || !u.owned || o.ended.has(hp.ID) {
		return
	}
	if hr := o.holders[holderKey{h.Host, h.Boot}]; hr != nil && len(hr.permits) >= maxHeldPermits {
		return
	}
	w := o.waiting[hp.ID]
	p := o.newPermit()
	age := min(max(hp.Age, 0), maxRemaining)
	*p = permit{id: hp.ID, up: u, class: hp.Class.Normalized(), long: hp.Long, since: now.Add(-age), seen: now}
	o.count(p)
	if w != nil {
		o.unqueue(w)
		o.replyGranted(p, nil)
	}
}

func (o *Owner) freeMissing(now time.Time, hr *holder, named map[berylpermit.ID]bool) {
	for i := len(hr.permits) - 1; i >= 0; i-- {
		p := hr.permits[i]
		if named[p.id] || now.Sub(p.since) < missedGrace {
			continue
		}
		p.missed++
		if p.missed >= missedReports {
			o.uncount(p)
		}
	}
}

func (o *Owner) freeAll(hr *holder) {
	for i := len(hr.permits) - 1; i >= 0; i-- {
		o.uncount(hr.permits[i])
	}
}

// sweep frees the permits that no report names any more.
func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.swept) < sweepEvery {
		return
	}
	o.swept = now
	for _, p := range o.permits {
		if now.Sub(p.seen) > permitLease {
			o.uncount(p)
		}
	}
}

// HostGone frees all permits and asks of one run of a host.
func (o *Owner) HostGone(now time.Time, host string, boot uint64) []Action {
	o.begin(now)
	if hr := o.holders[holderKey{host, boot}]; hr != nil {
		o.freeAll(hr)
	}
	for id, w := range o.waiting {
		if id.Host == host && id.Boot == boot {
			o.unqueue(w)
			o.refuse(w.target, id, 0)
		}
	}
	o.dispatchAll(now)
	return o.actions
}

// Paused tells the owner that its process did not run for a while: its counts are stale until holders report, and one
// report is enough to free what it leaves out.
func (o *Owner) Paused(now time.Time) []Action {
	o.begin(now)
	for _, u := range o.ups {
		u.settled = now.Add(settleTime)
	}
	for _, p := range o.permits {
		p.seen = now
		p.missed = missedReports - 1
	}
	return o.actions
}
