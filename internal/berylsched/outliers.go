package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// evaluateInterval is the least time between two evaluations of a target's upstreams.
	evaluateInterval = 250 * time.Millisecond
	// peerLoadTTL is the age from which the load reported by another owner is ignored.
	peerLoadTTL = 5 * time.Second
	// minMedianSamples is the least number of upstreams from which a median is computed.
	minMedianSamples = 3
)

// peerLoad is a load reported by another owner.
type peerLoad struct {
	berylpermit.Load
	receivedAt time.Time
}

// RecordPeerLoads stores the loads that other owners report, so that stragglers are found by the median of all of a
// target's upstreams, not just of those owned here.
func (o *Owner) RecordPeerLoads(now time.Time, loads []berylpermit.Load) []Action {
	o.beginEvent(now)
	for _, l := range loads {
		if u := o.upstreams[l.Upstream]; u != nil && !u.owned {
			u.peerLoad = peerLoad{Load: l, receivedAt: now}
			u.limit.state(now, l.Limit, now.Add(-loadLimitDelay))
			if l.LeavingRun != 0 {
				u.leavingRun = l.LeavingRun
			}
		}
	}
	return o.actions
}

// Loads returns the loads of the owned upstreams, for other hosts. The result is a copy.
func (o *Owner) Loads() []berylpermit.Load {
	var loads []berylpermit.Load
	for _, u := range o.sortedUpstreams {
		if u.owned && len(u.targets) > 0 {
			loads = append(loads, u.load(o.now, u.targets[0]))
		}
	}
	return loads
}

// inheritHealth ejects a newly owned upstream if the previous owner has recently reported it as a straggler.
func (u *upstream) inheritHealth(now time.Time) {
	if u.peerLoad.Straggler && now.Sub(u.peerLoad.receivedAt) < peerLoadTTL {
		u.health.eject(now, causeLastOwner, minSlowBackoff, maxSlowBackoff)
	}
}

// evaluate compares the target's owned upstreams with the medians of all its upstreams, every evaluateInterval. At most
// half of a target's upstreams are ejected for slowness. An upstream with several targets is evaluated by its first one.
func (t *target) evaluate(now time.Time, o *Owner) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	t.refreshMissing(now, o)
	t.relaxPaces(now)
	total, ejected := t.updateMedians(now)
	for _, u := range t.owned {
		if u.targets[0] != t {
			continue
		}
		wasEjected := u.health.ejected
		u.health.evaluate(now, t.medians, 2*(ejected+1) <= total)
		o.reportHealth(u, wasEjected, "")
		if u.health.ejected && !wasEjected {
			ejected++
		}
	}
}

// updateMedians recomputes the target's medians. It returns the number of upstreams with a known load and how many of
// them are ejected.
func (t *target) updateMedians(now time.Time) (total, ejected int) {
	firstTokenSamples, interTokenSamples := t.firstTokenSamples[:0], t.interTokenSamples[:0]
	for _, u := range t.all {
		l, known := u.latestLoad(now)
		if !known {
			continue
		}
		total++
		if l.Straggler {
			ejected++
		}
		if l.TimeToFirstToken > 0 {
			firstTokenSamples = append(firstTokenSamples, l.TimeToFirstToken)
		}
		if l.InterTokenLatency > 0 {
			interTokenSamples = append(interTokenSamples, l.InterTokenLatency)
		}
	}
	t.medians = latencyMedians{timeToFirstToken: median(firstTokenSamples), interTokenLatency: median(interTokenSamples)}
	t.firstTokenSamples, t.interTokenSamples = firstTokenSamples, interTokenSamples
	return total, ejected
}

// medians returns the medians of the upstream's first target, with which its calls are compared.
func (u *upstream) medians() latencyMedians {
	if len(u.targets) == 0 {
		return latencyMedians{}
	}
	return u.targets[0].medians
}

// latestLoad returns the upstream's latencies as measured here or reported by its owner, and whether they are known.
func (u *upstream) latestLoad(now time.Time) (berylpermit.Load, bool) {
	if !u.owned {
		return u.peerLoad.Load, now.Sub(u.peerLoad.receivedAt) < peerLoadTTL
	}
	return berylpermit.Load{
		Straggler:         u.health.ejected,
		TimeToFirstToken:  u.health.timeToFirstToken.mean,
		InterTokenLatency: u.health.interTokenLatency.mean,
	}, true
}

// median returns the lower median, or zero for fewer than minMedianSamples values. It sorts the list.
func median(list []time.Duration) time.Duration {
	if len(list) < minMedianSamples {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
