package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// evaluateInterval is the time between two comparisons of a target's upstreams.
	evaluateInterval = 250 * time.Millisecond
	// peerLoadTTL is how long the word of another owner counts.
	peerLoadTTL = 5 * time.Second
	// minMedianSamples is how many upstreams must be known for a median to mean anything.
	minMedianSamples = 3
)

// peerLoad is what another owner has said of an upstream.
type peerLoad struct {
	berylpermit.Load
	receivedAt time.Time
}

// RecordPeerLoads takes what other owners say of their upstreams, to tell stragglers by the fleet's median.
func (o *Owner) RecordPeerLoads(now time.Time, loads []berylpermit.Load) []Action {
	o.beginEvent(now)
	for _, l := range loads {
		if u := o.upstreams[l.Upstream]; u != nil && !u.owned {
			u.peerLoad = peerLoad{Load: l, receivedAt: now}
		}
	}
	return o.actions
}

// Loads describes the owned upstreams, for other hosts; its result is a copy.
func (o *Owner) Loads() []berylpermit.Load {
	var loads []berylpermit.Load
	for _, u := range o.sortedUpstreams {
		if u.owned && len(u.targets) > 0 {
			loads = append(loads, u.load(o.now, u.targets[0]))
		}
	}
	return loads
}

// inheritHealth starts a new ownership with what the last owner has said of the upstream.
func (u *upstream) inheritHealth(now time.Time) {
	if u.peerLoad.Straggler && now.Sub(u.peerLoad.receivedAt) < peerLoadTTL {
		u.health.eject(now, minSlowBackoff, maxSlowBackoff)
	}
}

// evaluate compares the target's owned upstreams with the median of all of them.
func (t *target) evaluate(now time.Time) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	total, ejected := t.updateMedians(now)
	for _, u := range t.owned {
		if u.targets[0] != t {
			continue
		}
		wasEjected := u.health.ejected
		u.health.evaluate(now, t.medians, 2*(ejected+1) <= total)
		if u.health.ejected && !wasEjected {
			ejected++
		}
	}
}

// updateMedians recomputes the norm; it returns how many upstreams there are and how many of them are set aside.
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

// medians returns what the upstream's calls are compared with.
func (u *upstream) medians() latencyMedians {
	if len(u.targets) == 0 {
		return latencyMedians{}
	}
	return u.targets[0].medians
}

// latestLoad returns what is known of an upstream here or by its owner.
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

// median returns the lower median, or zero when too little is known; it sorts the list.
func median(list []time.Duration) time.Duration {
	if len(list) < minMedianSamples {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
