package berylsched

import (
	"math/rand/v2"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// affinityUpstreams is how many upstreams share the prompts of one prefix.
	affinityUpstreams = 2
	// affinityBound is how much fuller than the mean an upstream may be and still be preferred for its cache.
	affinityBound = 1.25
)

// candidate is an owner that may be asked.
type candidate struct {
	host string
	// room is the share of its slots that are free for the class, by what is known.
	room float64
	// preferred marks the owner of an upstream that holds the prompt's prefix.
	preferred bool
	order     int
}

// route lists the owners to ask, best first, and sets the upstreams that the ask prefers. It leaves out the hosts that
// did not answer a moment ago.
func (s *Scheduler) route(now time.Time, t *table, ask *berylpermit.Ask) []string {
	places := t.targets[ask.Target]
	prefer := s.affine(now, places, ask)
	if len(prefer) > 0 {
		ask.Prefer = prefer
	}
	list := s.candidates(now, places, ask)
	slices.SortFunc(list, compareCandidates)
	hosts := make([]string, 0, len(list))
	for _, c := range list {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// candidates gathers the owners of the usable upstreams of a target.
func (s *Scheduler) candidates(now time.Time, places []*place, ask *berylpermit.Ask) []candidate {
	var list []candidate
	slots := make(map[string]int)
	used := make(map[string]int)
	for _, p := range places {
		if p.leaving || p.owner == "" || avoids(ask, p.upstream) || s.peers.suspected(now, p.owner) {
			continue
		}
		if _, ok := slots[p.owner]; !ok {
			list = append(list, candidate{host: p.owner, order: rand.Int()})
		}
		l := s.loadOf(now, p)
		slots[p.owner] += l.Slots
		used[p.owner] += min(usedSlots(&l, ask.Class), l.Slots)
	}
	for i := range list {
		c := &list[i]
		if slots[c.host] > 0 {
			c.room = 1 - float64(used[c.host])/float64(slots[c.host])
		}
		c.preferred = len(ask.Prefer) > 0 && c.room > 0 && ownerOf(places, ask.Prefer[0]) == c.host
	}
	return list
}

func ownerOf(places []*place, upstream string) string {
	for _, p := range places {
		if p.upstream == upstream {
			return p.owner
		}
	}
	return ""
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

// compareCandidates puts the preferred owner first, then the one with most room.
func compareCandidates(a, b candidate) int {
	if a.preferred != b.preferred {
		return order(a.preferred)
	}
	if a.room != b.room {
		return order(a.room > b.room)
	}
	return a.order - b.order
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// loadOf returns what is known of an upstream; an unknown one counts as free but for this host's own calls.
func (s *Scheduler) loadOf(now time.Time, p *place) berylpermit.Load {
	if l, ok := s.loads.get(now, p.upstream); ok {
		return l
	}
	return berylpermit.Load{Upstream: p.upstream, Slots: p.slots, Online: s.local.get(p.upstream)}
}

// affine returns the upstreams that share the ask's prefix, the one to try first in front, bounded by load.
func (s *Scheduler) affine(now time.Time, places []*place, ask *berylpermit.Ask) []string {
	if ask.PrefixHash == 0 {
		return nil
	}
	var best [affinityUpstreams]*place
	var weights [affinityUpstreams]uint64
	online, slots := 0, 0
	for _, p := range places {
		l := s.loadOf(now, p)
		if p.leaving || p.owner == "" || l.Straggler || avoids(ask, p.upstream) {
			continue
		}
		online += l.Online
		slots += l.Slots
		rankIn(best[:], weights[:], p, mix(p.hash^ask.PrefixHash))
	}
	mean := float64(online+1) / float64(max(slots, 1))
	var names []string
	for _, p := range best {
		if p == nil {
			break
		}
		l := s.loadOf(now, p)
		if float64(l.Online) < max(affinityBound*mean*float64(l.Slots), 1) {
			names = append(names, p.upstream)
		}
	}
	return names
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
