package berylsched

import (
	"math/bits"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
)

// paceReportInterval is the least time between two reports of the pace of one upstream, which bounds the log lines.
const paceReportInterval = time.Second

// startPaces begins the pace of upstreams that are owned since the last event. One whose last owner has recently reported it
// continues with the pace of that owner. Others are new.
func (o *Owner) startPaces(now time.Time) {
	if !o.AdaptivePace {
		return
	}
	var fresh []*upstream
	for _, u := range o.sortedUpstreams {
		if u.owned && u.health.pace == nil && len(u.targets) > 0 {
			fresh = append(fresh, u)
		}
	}
	shares := make([]float64, len(fresh))
	for i, u := range fresh {
		shares[i] = u.unprovenShare(now)
	}
	for i, u := range fresh {
		u.health.pace = new(berylpace.Pace)
		l, known := u.peerLoad, now.Sub(u.peerLoad.receivedAt) < peerLoadTTL
		switch {
		case !known:
			u.health.pace.Start(now, u.slots, shares[i], berylpace.New)
		case l.Pace > 0:
			u.health.pace.Inherit(now, u.slots, l.Pace, l.PaceCause)
		}
	}
}

// unprovenShare returns the share of the slots of the upstream's kind that may not be used now, this upstream's included,
// because upstreams are new, ejected or held back. Upstreams of which nothing is known are left out.
func (u *upstream) unprovenShare(now time.Time) float64 {
	total, usable := u.otherSlots(now)
	total += u.slots
	return 1 - float64(min(usable, total))/float64(max(total, 1))
}

// otherSlots counts the slots of the other upstreams of the upstream's kind, and those that may be used now.
func (u *upstream) otherSlots(now time.Time) (total, usable int) {
	if len(u.targets) == 0 {
		return 0, 0
	}
	for _, other := range u.targets[0].all {
		if other == u || other.leaving {
			continue
		}
		switch {
		case other.owned:
			if !other.health.ejected && other.health.pace != nil {
				usable += other.health.pace.Limit(other.slots)
			}
		case now.Sub(other.peerLoad.receivedAt) >= peerLoadTTL:
			continue
		case !other.peerLoad.Straggler:
			usable += other.peerLoad.Slots
		}
		total += other.slots
	}
	return total, usable
}

// refreshMissing recomputes the share of the target's slots that may not be used now.
func (t *target) refreshMissing(now time.Time, o *Owner) {
	if o.AdaptivePace && len(t.owned) > 0 {
		u := t.owned[0]
		own := 0
		if !u.health.ejected && u.health.pace != nil {
			own = u.health.pace.Limit(u.slots)
		}
		total, usable := u.otherSlots(now)
		t.missing = 1 - float64(usable+own)/float64(max(total+u.slots, usable+own, 1))
	}
}

// relaxPaces raises the pace of the target's upstreams that have used it up while requests wait.
func (t *target) relaxPaces(now time.Time) {
	if t.queues[shortOnline].len()+t.queues[longOnline].len()+t.queues[batchWork].len() == 0 {
		return
	}
	for _, u := range t.owned {
		if u.health.pace != nil && !u.health.ejected && u.freeSlots() <= 0 {
			u.health.pace.Relax(now, u.slots)
		}
	}
}

// observePace tells the pace of the permit's upstream how the call ended. Probes are taken into account when they put the
// upstream back into use, and refusals only without a limit of requests a second. Refusals of permits that were
// granted before a takeover had settled do not count: other hosts may have filled the upstream.
func observePace(now time.Time, p *permit, r *berylpermit.Report) {
	u := p.upstream
	if u.health.pace == nil || u.health.ejected || p.probe || len(u.targets) == 0 {
		return
	}
	if r.Refused && p.grantedAt.Before(u.batchAllowedAt) {
		return
	}
	kind := u.medians()
	c := berylpace.Call{
		Host: p.id.Host, GrantedAt: p.grantedAt, InFlight: max(p.inFlight, u.inFlight()),
		Latency: berylpace.Latency{FirstEvent: r.TimeToFirstToken, BetweenEvents: r.InterTokenLatency},
		Missing: u.targets[0].missing,
		Kind:    berylpace.Latency{FirstEvent: kind.timeToFirstToken, BetweenEvents: kind.interTokenLatency},
	}
	switch {
	case r.Fault:
		c.Result = berylpace.Failure
	case r.Refused:
		if u.limit.Limited {
			return
		}
		c.Result = berylpace.Refusal
	case r.Kind != beryloutcome.Answered:
		return
	}
	u.health.pace.Observe(now, u.slots, c)
}

// reportPace announces a change of the number of slots that the upstream may use. Rises are announced once the number has
// doubled.
func (o *Owner) reportPace(now time.Time, u *upstream) {
	if u.health.pace == nil || now.Sub(u.paceReportedAt) < paceReportInterval {
		return
	}
	limit, cause := u.health.pace.Limit(u.slots), u.health.pace.Cause()
	if cause == u.reportedCause && (cause == berylpace.None || limit >= u.reportedPace && bits.Len(uint(limit)) == bits.Len(uint(u.reportedPace))) {
		return
	}
	u.reportedPace, u.reportedCause, u.paceReportedAt = limit, cause, now
	o.actions = append(o.actions, Action{Kind: ActionPace, Pace: PaceChange{Upstream: u.name, Limit: limit, Slots: u.slots, Cause: cause}})
}
