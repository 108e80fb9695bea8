package berylhost

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// views holds lists derived from the entries. They are rebuilt when the entries change.
type views struct {
	dirty        bool // true if hosts, runs or addresses have changed
	stateChanged bool // true if the state of a member has changed

	live    []Member // live members including this host, sorted by name
	others  []*entry // other live members, in a pseudo-random order that differs from host to host
	ring    []*entry // other live members, in ring order starting after this host
	unknown []*entry // candidates in state Unknown
	down    []*entry // candidates that are not live, including the unknown ones
	known   []*entry // all members not in state Unknown

	windowStart, partnerIndex, ringIndex, unknownIndex, knownIndex int
}

// refresh rebuilds the views after a step and emits ViewChanged if they changed.
func (t *Table) refresh() {
	v := &t.views
	if !v.dirty && !v.stateChanged {
		return
	}
	if v.dirty {
		t.rebuild()
	}
	t.rebuildLive()
	t.emit(ViewChanged{Members: v.dirty})
	v.dirty = false
	v.stateChanged = false
}

func (t *Table) rebuild() {
	v := &t.views
	v.others, v.ring, v.unknown, v.down, v.known = v.others[:0], v.ring[:0], v.unknown[:0], v.down[:0], v.known[:0]
	for _, e := range t.entries {
		if e.State != Unknown {
			v.known = append(v.known, e)
		}
		switch {
		case e.State.isLive():
			v.others = append(v.others, e)
			continue
		case !e.candidate:
			continue
		case e.State == Unknown:
			v.unknown = append(v.unknown, e)
		}
		v.down = append(v.down, e)
	}
	byName := func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) }
	for _, list := range [][]*entry{v.others, v.unknown, v.down, v.known} {
		slices.SortFunc(list, byName)
	}
	v.ring = buildRing(v.ring, t.Self, v.others)
	own := xxhash.Sum64String(t.Self.Name)
	slices.SortFunc(v.others, func(a, b *entry) int { return cmp.Compare(score(own, a.Name), score(own, b.Name)) })
	shuffle(t.random, v.known)
}

func (t *Table) rebuildLive() {
	live := make([]Member, 0, len(t.views.others)+1)
	if t.Self.State.isLive() {
		live = append(live, t.Self)
	}
	for _, e := range t.views.others {
		live = append(live, e.Member)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t.views.live = live
}

// Live returns the members that are alive or suspect, including this host, sorted by name. The slice must not be
// modified.
func (t *Table) Live() []Member {
	return t.views.live
}

func shuffle(r *rand.Rand, list []*entry) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// buildRing lists the other members in ring order, starting after this host.
//
// All hosts compute the same order. It spreads the members of each failure domain evenly, so that after the loss of a
// whole failure domain most other members still have a live predecessor that probes them.
func buildRing(list []*entry, self Member, others []*entry) []*entry {
	type ringPosition struct {
		*entry
		hash uint64
		at   float64
	}
	domains := map[string][]ringPosition{}
	for _, e := range append(slices.Clip(others), &entry{Member: self}) {
		domains[e.FailureDomain] = append(domains[e.FailureDomain], ringPosition{entry: e, hash: xxhash.Sum64String(e.Name)})
	}
	var positions []ringPosition
	for _, domain := range domains {
		slices.SortFunc(domain, func(a, b ringPosition) int { return cmp.Compare(a.hash, b.hash) })
		for i := range domain {
			domain[i].at = (float64(i) + 0.5) / float64(len(domain))
		}
		positions = append(positions, domain...)
	}
	slices.SortFunc(positions, func(a, b ringPosition) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	start := slices.IndexFunc(positions, func(p ringPosition) bool { return p.Name == self.Name })
	for i := 1; i < len(positions); i++ {
		list = append(list, positions[(start+i)%len(positions)].entry)
	}
	return list
}

// nextPartner returns the members of a window of partnerCount others in turn. The window shifts only every
// windowInterval, so that few new connections are needed.
func (v *views) nextPartner() *entry {
	if len(v.others) == 0 {
		return nil
	}
	v.partnerIndex++
	return v.others[(v.windowStart+v.partnerIndex%partnerCount)%len(v.others)]
}

// nextSuccessor returns the next successorCount alive members on the ring in turn.
func (v *views) nextSuccessor() *entry {
	var targets [successorCount]*entry
	count := 0
	for _, e := range v.ring {
		if e.State != Alive {
			continue
		}
		targets[count] = e
		count++
		if count == successorCount {
			break
		}
	}
	return nextInTurn(targets[:count], &v.ringIndex)
}

func (v *views) nextUnknown() *entry {
	return nextInTurn(v.unknown, &v.unknownIndex)
}

func (v *views) nextKnown() *entry {
	return nextInTurn(v.known, &v.knownIndex)
}

func (v *views) randomDown(r *rand.Rand) *entry {
	if len(v.down) == 0 {
		return nil
	}
	return v.down[r.IntN(len(v.down))]
}

// pickAlive returns up to count alive members, starting at a random position and leaving out the excluded one.
func (v *views) pickAlive(r *rand.Rand, count int, exclude string) []*entry {
	var picked []*entry
	if len(v.others) == 0 {
		return nil
	}
	start := r.IntN(len(v.others))
	for i := range v.others {
		e := v.others[(start+i)%len(v.others)]
		if e.Name == exclude || e.State != Alive {
			continue
		}
		picked = append(picked, e)
		if len(picked) == count {
			break
		}
	}
	return picked
}

// pickOneAlive returns a random alive member, or nil if there is none.
func (v *views) pickOneAlive(r *rand.Rand) *entry {
	picked := v.pickAlive(r, 1, "")
	if len(picked) == 0 {
		return nil
	}
	return picked[0]
}

func nextInTurn(list []*entry, at *int) *entry {
	if len(list) == 0 {
		return nil
	}
	*at++
	return list[*at%len(list)]
}
