package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// judgeEvery is the time between two comparisons of a target's upstreams.
	judgeEvery = 250 * time.Millisecond
	// peerFresh is how long the word of another owner counts.
	peerFresh = 5 * time.Second
	// normLeast is how many upstreams must be known for a median to mean anything.
	normLeast = 3
)

// peerWord is what another owner has said of an upstream.
type peerWord struct {
	berylpermit.Load
	at time.Time
}

// PeerLoads takes what other owners say of their upstreams, to tell stragglers by the fleet's median.
func (o *Owner) PeerLoads(now time.Time, loads []berylpermit.Load) []Action {
	o.begin(now)
	for _, l := range loads {
		if u := o.upstreams[l.Upstream]; u != nil && !u.owned {
			u.peer = peerWord{Load: l, at: now}
		}
	}
	return o.actions
}

// Loads describes the owned upstreams, for other hosts; its result is a copy.
func (o *Owner) Loads() []berylpermit.Load {
	var loads []berylpermit.Load
	for _, u := range o.ups {
		if u.owned && len(u.targets) > 0 {
			loads = append(loads, u.load(o.now, u.targets[0]))
		}
	}
	return loads
}

// inherit starts a new ownership with what the last owner has said of the upstream.
func (u *upstream) inherit(now time.Time) {
	if u.peer.Straggler && now.Sub(u.peer.at) < peerFresh {
		u.health.setAside(now, slowBackoff, slowBackoffMost)
	}
}

// judge compares the target's owned upstreams with the median of all of them.
func (t *target) judge(now time.Time) {
	if now.Sub(t.judged) < judgeEvery {
		return
	}
	t.judged = now
	total, aside := t.measure(now)
	for _, u := range t.ups {
		if u.targets[0] != t {
			continue
		}
		was := u.health.aside
		u.health.judge(now, t.norm, 2*(aside+1) <= total)
		if u.health.aside && !was {
			aside++
		}
	}
}

// measure recomputes the norm; it returns how many upstreams there are and how many of them are set aside.
func (t *target) measure(now time.Time) (total, aside int) {
	firsts, gaps := t.firsts[:0], t.gaps[:0]
	for _, u := range t.all {
		l, known := u.word(now)
		if !known {
			continue
		}
		total++
		if l.Straggler {
			aside++
		}
		if l.TimeToFirstToken > 0 {
			firsts = append(firsts, l.TimeToFirstToken)
		}
		if l.InterTokenLatency > 0 {
			gaps = append(gaps, l.InterTokenLatency)
		}
	}
	t.norm = norm{first: median(firsts), gap: median(gaps)}
	t.firsts, t.gaps = firsts, gaps
	return total, aside
}

// norm returns what the upstream's calls are compared with.
func (u *upstream) norm() norm {
	if len(u.targets) == 0 {
		return norm{}
	}
	return u.targets[0].norm
}

// word returns what is known of an upstream here or by its owner.
func (u *upstream) word(now time.Time) (berylpermit.Load, bool) {
	if !u.owned {
		return u.peer.Load, now.Sub(u.peer.at) < peerFresh
	}
	return berylpermit.Load{
		Straggler:         u.health.aside,
		TimeToFirstToken:  u.health.first.mean,
		InterTokenLatency: u.health.gap.mean,
	}, true
}

// median returns the lower median, or zero when too little is known; it sorts the list.
func median(list []time.Duration) time.Duration {
	if len(list) < normLeast {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
