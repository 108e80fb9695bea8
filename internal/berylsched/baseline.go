package berylsched

import (
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// acquireAlone grants a permit without any owner: the two baselines know neither slots nor classes nor other hosts.
func (s *Scheduler) acquireAlone(t *table, ask berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	ask.ID = s.nextID()
	p := nextInTurn(t, &ask)
	if t.routing == berylconf.RoutingLocalLeast {
		p = leastLocal(t, &ask)
	}
	if p == nil {
		return nil, notRun(0)
	}
	return s.hold(&ask, p.upstream, ""), nil
}

func allowed(p *place, ask *berylpermit.Request) bool {
	return !p.leaving && p.slots > 0 && !avoids(ask, p.upstream)
}

// nextInTurn returns the target's upstreams one after the other.
func nextInTurn(t *table, ask *berylpermit.Request) *place {
	places := t.targets[ask.Target]
	for i := range places {
		p := places[(ask.ID.Seq+uint64(i))%uint64(len(places))]
		if allowed(p, ask) {
			return p
		}
	}
	return nil
}

// leastLocal returns the upstream with the fewest calls of this host for its slots.
func leastLocal(t *table, ask *berylpermit.Request) *place {
	var best *place
	var least float64
	for _, p := range t.targets[ask.Target] {
		if !allowed(p, ask) {
			continue
		}
		load := float64(p.known.own.Load()+1) / float64(p.slots)
		if best == nil || load < least {
			best, least = p, load
		}
	}
	return best
}
