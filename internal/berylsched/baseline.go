package berylsched

import (
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// acquireWithoutOwner grants a permit without asking an owner, under the two routing modes that serve as baselines for
// comparison. They ignore slot limits, priority classes and the load from other hosts.
func (s *Scheduler) acquireWithoutOwner(t *table, req berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	req.ID = s.nextID()
	p := roundRobin(t, &req)
	if t.routing == berylconf.RoutingLocalLeast {
		p = leastLoadedLocally(t, &req)
	}
	if p == nil {
		return nil, notRunRefusal(0)
	}
	return s.addHeld(&req, p.upstream, ""), nil
}

// isEligible reports whether the request may be granted the upstream, whatever its load.
func isEligible(p *placement, req *berylpermit.Request) bool {
	return !p.leaving && p.slots > 0 && !avoids(req, p.upstream)
}

// roundRobin returns the target's eligible upstreams in turn, by the sequence number of the request.
func roundRobin(t *table, req *berylpermit.Request) *placement {
	placements := t.targets[req.Target]
	for i := range placements {
		p := placements[(req.ID.Seq+uint64(i))%uint64(len(placements))]
		if isEligible(p, req) {
			return p
		}
	}
	return nil
}

// leastLoadedLocally returns the eligible upstream with the fewest calls from this host in relation to its slots.
func leastLoadedLocally(t *table, req *berylpermit.Request) *placement {
	var best *placement
	var least float64
	for _, p := range t.targets[req.Target] {
		if !isEligible(p, req) {
			continue
		}
		load := float64(p.view.ownPermits.Load()+1) / float64(p.slots)
		if best == nil || load < least {
			best, least = p, load
		}
	}
	return best
}
