package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// newPermit returns a spare permit, or allocates one.
func (o *Owner) newPermit() *permit {
	if n := len(o.sparePermits); n > 0 {
		p := o.sparePermits[n-1]
		o.sparePermits = o.sparePermits[:n-1]
		return p
	}
	return new(permit)
}

// addPermit adds a permit to the Owner's indexes and to its upstream.
func (o *Owner) addPermit(p *permit) {
	key := hostRun{p.id.Host, p.id.Boot}
	h := o.permitsByRun[key]
	if h == nil {
		h = new(hostPermits)
		o.permitsByRun[key] = h
	}
	p.index = len(h.permits)
	h.permits = append(h.permits, p)
	o.permits[p.id] = p
	p.upstream.addPermit(p)
	if p.account != nil {
		p.account.hold()
	}
}

// removePermit removes a permit from the Owner's indexes and from its upstream, and keeps it for reuse.
func (o *Owner) removePermit(p *permit) {
	key := hostRun{p.id.Host, p.id.Boot}
	h := o.permitsByRun[key]
	last := len(h.permits) - 1
	h.permits[p.index] = h.permits[last]
	h.permits[p.index].index = p.index
	h.permits[last] = nil
	h.permits = h.permits[:last]
	if last == 0 {
		delete(o.permitsByRun, key)
	}
	delete(o.permits, p.id)
	p.upstream.removePermit(p)
	if p.account != nil {
		p.account.giveBack()
	}
	p.upstream.health.permitEnded(p)
	o.sparePermits = append(o.sparePermits, p)
}

// ReconcileHeld compares the Owner's permits with a host's report of the permits it holds. Unknown permits are added,
// missing ones are freed after maxMissedReports reports, and those of earlier runs of the host are freed at once.
func (o *Owner) ReconcileHeld(now time.Time, h berylpermit.HeldReport) []Action {
	o.beginEvent(now)
	reported := make(map[berylpermit.ID]bool, len(h.Permits))
	for i := range h.Permits {
		reported[h.Permits[i].ID] = true
		o.confirmHeld(now, h, &h.Permits[i])
	}
	for key, run := range o.permitsByRun {
		if key.host == h.Host && key.boot < h.Boot {
			o.freeAll(run)
		}
	}
	if run := o.permitsByRun[hostRun{h.Host, h.Boot}]; run != nil {
		o.freeMissing(now, run, reported)
	}
	o.dispatchAll(now)
	return o.actions
}

// confirmHeld renews the lease of a reported permit, or adds the permit if another owner granted it. If the request of
// that permit waits here, it is answered with the grant.
func (o *Owner) confirmHeld(now time.Time, h berylpermit.HeldReport, hp *berylpermit.HeldPermit) {
	if hp.ID.Host != h.Host || hp.ID.Boot != h.Boot {
		return
	}
	if p := o.permits[hp.ID]; p != nil {
		p.confirmedAt = now
		p.missedReports = 0
		return
	}
	u := o.upstreams[hp.Upstream]
	if u == nil || !u.owned || o.endedIDs.has(hp.ID) {
		return
	}
	if run := o.permitsByRun[hostRun{h.Host, h.Boot}]; run != nil && len(run.permits) >= maxHeldPermits {
		return
	}
	w := o.waiting[hp.ID]
	p := o.newPermit()
	age := min(max(hp.Age, 0), maxRemaining)
	*p = permit{id: hp.ID, upstream: u, class: hp.Class.Normalized(), long: hp.Long, grantedAt: now.Add(-age), confirmedAt: now}
	if len(u.targets) > 0 {
		p.account = u.targets[0].sharing(kindOf(p.class, p.long)).account(hp.Account)
	}
	o.addPermit(p)
	if w != nil {
		o.takeFromQueue(w)
		o.replyGranted(p, nil)
	}
}

// freeMissing frees the permits that maxMissedReports reports in a row lack, except for young ones.
func (o *Owner) freeMissing(now time.Time, run *hostPermits, reported map[berylpermit.ID]bool) {
	for i := len(run.permits) - 1; i >= 0; i-- {
		p := run.permits[i]
		if reported[p.id] || now.Sub(p.grantedAt) < minMissingAge {
			continue
		}
		p.missedReports++
		if p.missedReports >= maxMissedReports {
			o.removePermit(p)
		}
	}
}

// freeAll frees all permits of one run of a host.
func (o *Owner) freeAll(run *hostPermits) {
	for i := len(run.permits) - 1; i >= 0; i-- {
		o.removePermit(run.permits[i])
	}
}

// freeExpired frees the permits whose lease has expired, at most every sweepInterval.
func (o *Owner) freeExpired(now time.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	for _, p := range o.permits {
		if now.Sub(p.confirmedAt) > permitLease {
			o.removePermit(p)
		}
	}
}

// RemoveHost frees all permits and refuses all waiters of one run of a host.
func (o *Owner) RemoveHost(now time.Time, host string, boot uint64) []Action {
	o.beginEvent(now)
	if run := o.permitsByRun[hostRun{host, boot}]; run != nil {
		o.freeAll(run)
	}
	for id, w := range o.waiting {
		if id.Host == host && id.Boot == boot {
			o.dequeue(w)
			o.refuse(w.target, id, 0)
		}
	}
	o.dispatchAll(now)
	return o.actions
}

// RecoverFromPause adapts to a pause of the process, after which the counts are stale until holders report again. No
// batch work is granted for takeoverGrace, and a single report without a permit frees it.
func (o *Owner) RecoverFromPause(now time.Time) []Action {
	o.beginEvent(now)
	for _, u := range o.sortedUpstreams {
		u.batchAllowedAt = now.Add(takeoverGrace)
		u.limit.restart(now)
	}
	for _, p := range o.permits {
		p.confirmedAt = now
		p.missedReports = maxMissedReports - 1
	}
	return o.actions
}
