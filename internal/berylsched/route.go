package berylsched

import (
	"math"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// affinityUpstreams is how many upstreams share the prompts of one prefix.
	affinityUpstreams = 2
	// affinityBound is how much fuller than the mean an upstream may be and still be preferred for its cache.
	affinityBound = 1.25
	// roomSteps is in how many steps owners are told apart by their room; within a step a host keeps to those that come
	// first in an order of its own, so that it needs few connections to owners and upstreams.
	roomSteps = 4
	// localBonus is by how many steps fuller this host's own upstreams may be and still go first, since asking takes no
	// hop.
	localBonus = 1
)

// candidate is an owner that may be asked.
type candidate struct {
	host string
	// room is the share of its slots that are free for the class, by what is known, in steps; zero is none.
	room int
	// tier puts owners of this region that have room first, then those of other regions that have, then the rest.
	tier int
	// preferred marks the owner of the upstream that holds the prompt's prefix.
	preferred bool
	// tie orders equal candidates differently for each host, so that those with the same knowledge do not all ask the same
	// owner.
	tie uint64
}

// route lists the owners to ask, best first, and sets the upstreams that the ask prefers; it also says whether the first is
// believed to have room. It leaves out the hosts that did not answer a moment ago.
func (s *Scheduler) route(now time.Time, t *table, ask *berylpermit.Request) ([]string, bool) {
	shares := t.shares[ask.Target]
	first := ""
	if best := affine(now, shares, ask); len(best) > 0 {
		first = best[0].owner
		ask.Prefer = ask.Prefer[:0:0]
		for _, p := range best {
			ask.Prefer = append(ask.Prefer, p.upstream)
		}
	}
	list := make([]candidate, 0, len(shares))
	for _, sh := range shares {
		if s.peers.suspected(now, sh.host) {
			continue
		}
		c := candidate{host: sh.host, tie: sh.tie, room: int(math.Ceil(sh.room(now, ask) * roomSteps))}
		c.preferred = sh.host == first && c.room > 0
		c.tier = tier(sh.far, c.room)
		if sh.host == s.Host {
			c.room += localBonus
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
	return hosts, len(list) > 0 && list[0].room > 0
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

// room returns which share of the owner's slots work of the ask's class can have.
func (sh *share) room(now time.Time, ask *berylpermit.Request) float64 {
	slots, used := 0, 0
	for _, p := range sh.places {
		if avoids(ask, p.upstream) {
			continue
		}
		l := p.fresh(now)
		slots += l.Slots
		used += min(usedSlots(&l, ask.Class), l.Slots)
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
		return order(a.tier < b.tier)
	}
	if a.preferred != b.preferred {
		return order(a.preferred)
	}
	if a.room != b.room {
		return order(a.room > b.room)
	}
	return order(a.tie < b.tie)
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// affine returns the upstreams that share the ask's prefix, the one to try first in front, but none that is far fuller
// than the others.
func affine(now time.Time, shares []share, ask *berylpermit.Request) []*place {
	if ask.PrefixHash == 0 {
		return nil
	}
	var best [affinityUpstreams]*place
	var weights [affinityUpstreams]uint64
	online, slots := 0, 0
	for _, sh := range shares {
		for _, p := range sh.places {
			l := p.fresh(now)
			if l.Straggler || p.far || avoids(ask, p.upstream) {
				continue
			}
			online += l.Online
			slots += l.Slots
			rankIn(best[:], weights[:], p, mix(p.hash^ask.PrefixHash))
		}
	}
	mean := float64(online+1) / float64(max(slots, 1))
	return slices.DeleteFunc(best[:], func(p *place) bool {
		if p == nil {
			return true
		}
		l := p.fresh(now)
		return float64(l.Online) >= max(affinityBound*mean*float64(l.Slots), 1)
	})
}

// rankIn keeps the places with the highest weights, in order.
func rankIn(best []*place, weights []uint64, p *place, weight uint64) {
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
