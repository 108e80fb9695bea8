package berylsched

import (
	"math"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// affinityFanout is the number of upstreams over which the prompts with one prefix are spread.
	affinityFanout = 2
	// affinityMaxLoadRatio is the multiple of the mean load from which an upstream is no longer preferred for its prefix
	// cache.
	affinityMaxLoadRatio = 1.25
	// capacitySteps is the number of steps to which the free capacity of owners is rounded. Among owners of the same step
	// each host always prefers the same ones, so that it needs few connections to owners and upstreams.
	capacitySteps = 4
	// localCapacityBonus is the number of steps that is added to the capacity of this host's own upstreams, since a request
	// to the local owner takes no network round trip.
	localCapacityBonus = 1
)

// candidate is an owner to which a request may be sent.
type candidate struct {
	host string
	// capacity is the share of the owner's slots that is free for the request's class by the known loads, in steps; zero
	// means none.
	capacity int
	// tier is 0 for owners in this region with free capacity, 1 for those in other regions, 2 for owners without capacity.
	tier int
	// hasAffinity marks the owner of the upstream that is most likely to have the prompt's prefix in its cache.
	hasAffinity bool
	// tieBreak orders otherwise equal candidates differently on each host, so that hosts that know the same loads do not
	// all choose the same owner.
	tieBreak uint64
}

// rankOwners lists the owners of the target, best first, without hosts that have recently failed to answer. It also
// reports whether the first one seems to have free capacity, and sets req.Prefer to the upstreams with prefix affinity.
func (s *Scheduler) rankOwners(now time.Time, t *table, req *berylpermit.Request) ([]string, bool) {
	shares := t.shares[req.Target]
	affinityHost := ""
	if best := affinityPlacements(now, shares, req); len(best) > 0 {
		affinityHost = best[0].owner
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
		c.hasAffinity = sh.host == affinityHost && c.capacity > 0
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

// tier returns the candidate tier of an owner by its region and capacity.
func tier(otherRegion bool, capacity int) int {
	if capacity <= 0 {
		return 2
	}
	if otherRegion {
		return 1
	}
	return 0
}

// freeShare returns the share of the owner's slots that the request's class can use, from 0 to 1.
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

// usedSlots counts the slots that work of the class can't use. Online work can use slots with batch work by preemption. No
// work can use more slots than the upstream's limit admits requests.
func usedSlots(l *berylpermit.Load, class berylpermit.Class) int {
	if l.Straggler {
		return l.Slots
	}
	used := l.Online
	if class == berylpermit.Batch {
		used += l.Batch
	}
	if l.Limit.Limited {
		used = max(used, l.Slots-l.Admitted)
	}
	return used
}

// compareCandidates orders by tier, then affinity, then capacity.
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

// compareFirst returns the result of a comparison in which the first operand comes first or, if false, last.
func compareFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// affinityPlacements returns the upstreams that rank highest for the request's prefix by rendezvous hashing, best first.
// It leaves out those whose load is over affinityMaxLoadRatio.
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

// insertRanked inserts a placement into the list of those with the highest weights, if it belongs there.
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
