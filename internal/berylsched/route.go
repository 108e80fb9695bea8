package berylsched

import (
	"math"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// affinityFanout is how many upstreams share the prompts of one prefix.
	affinityFanout = 2
	// affinityMaxLoadRatio is how much fuller than the mean an upstream may be and still be preferred for its cache.
	affinityMaxLoadRatio = 1.25
	// capacitySteps is in how many steps owners are told apart by their room; within a step a host keeps to those that come
	// first in an order of its own, so that it needs few connections to owners and upstreams.
	capacitySteps = 4
	// localCapacityBonus is by how many steps fuller this host's own upstreams may be and still go first, since asking takes no
	// hop.
	localCapacityBonus = 1
)

// candidate is an owner that may be asked.
type candidate struct {
	host string
	// capacity is the share of its slots that are free for the class, by what is known, in steps; zero is none.
	capacity int
	// tier puts owners of this region that have room first, then those of other regions that have, then the rest.
	tier int
	// hasAffinity marks the owner of the upstream that holds the prompt's prefix.
	hasAffinity bool
	// tieBreak orders equal candidates differently for each host, so that those with the same knowledge do not all ask the same
	// owner.
	tieBreak uint64
}

// rankOwners lists the owners to ask, best first, and sets the upstreams that the ask prefers; it also says whether the first is
// believed to have room. It leaves out the hosts that did not answer a moment ago.
func (s *Scheduler) rankOwners(now time.Time, t *table, req *berylpermit.Request) ([]string, bool) {
	shares := t.shares[req.Target]
	first := ""
	if best := affinityPlacements(now, shares, req); len(best) > 0 {
		first = best[0].owner
		req.Prefer = req.Prefer[:0:0]
		for _, p := range best {
			req.Prefer = append(req.Prefer, p.upstream)
		}
	}
	list := make([]candidate, 0, len(shares))
	for _, sh := range shares {
		if s.peers.isSuspect(now, sh.host) {
			continue
		}
		c := candidate{host: sh.host, tieBreak: sh.tieBreak, capacity: int(math.Ceil(sh.freeShare(now, req) * capacitySteps))}
		c.hasAffinity = sh.host == first && c.capacity > 0
		c.tier = tier(sh.otherRegion, c.capacity)
		if sh.host == s.Host {
			c.capacity += localCapacityBonus
		}
		list = append(list, c)
	}
	slices.SortFunc(list, compareCandidates)
	hosts := make([]string, 0, len(list))
	for _, c := range list {
		if !slices.Contains(hosts, c.host) {
			hosts = append(hosts, c.host)
		}
	}
	return hosts, len(list) > 0 && list[0].capacity > 0
}

func tier(far bool, room int) int {
	if room <= 0 {
		return 2
	}
	if far {
		return 1
	}
	return 0
}

// freeShare returns which share of the owner's slots work of the ask's class can have.
func (sh *ownerShare) freeShare(now time.Time, req *berylpermit.Request) float64 {
	slots, used := 0, 0
	for _, p := range sh.placements {
		if avoids(req, p.upstream) {
			continue
		}
		l := p.currentLoad(now)
		slots += l.Slots
		used += min(usedSlots(&l, req.Class), l.Slots)
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(used)/float64(slots)
}

// usedSlots counts the slots that work of the class cannot have.
func usedSlots(l *berylpermit.Load, class berylpermit.Class) int {
	if l.Straggler {
		return l.Slots
	}
	if class == berylpermit.Batch {
		return l.Online + l.Batch
	}
	return l.Online
}

// compareCandidates goes by tier, and there puts the preferred owner first, then the one with most room.
func compareCandidates(a, b candidate) int {
	if a.tier != b.tier {
		return compareFirst(a.tier < b.tier)
	}
	if a.hasAffinity != b.hasAffinity {
		return compareFirst(a.hasAffinity)
	}
	if a.capacity != b.capacity {
		return compareFirst(a.capacity > b.capacity)
	}
	return compareFirst(a.tieBreak < b.tieBreak)
}

func compareFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// affinityPlacements returns the upstreams that share the ask's prefix, the one to try first in front, but none that is far fuller
// than the others.
func affinityPlacements(now time.Time, shares []ownerShare, req *berylpermit.Request) []*placement {
	if req.PrefixHash == 0 {
		return nil
	}
	var best [affinityFanout]*placement
	var weights [affinityFanout]uint64
	online, slots := 0, 0
	for _, sh := range shares {
		for _, p := range sh.placements {
			l := p.currentLoad(now)
			if l.Straggler || p.otherRegion || avoids(req, p.upstream) {
				continue
			}
			online += l.Online
			slots += l.Slots
			insertRanked(best[:], weights[:], p, splitMix64(p.hash^req.PrefixHash))
		}
	}
	mean := float64(online+1) / float64(max(slots, 1))
	return slices.DeleteFunc(best[:], func(p *placement) bool {
		if p == nil {
			return true
		}
		l := p.currentLoad(now)
		return float64(l.Online) >= max(affinityMaxLoadRatio*mean*float64(l.Slots), 1)
	})
}

// insertRanked keeps the places with the highest weights, in order.
func insertRanked(best []*placement, weights []uint64, p *placement, weight uint64) {
	for i := range best {
		if best[i] == nil || weight > weights[i] {
			best[i], p = p, best[i]
			weights[i], weight = weight, weights[i]
		}
		if p == nil {
			return
		}
	}
}
