package berylhost

import "time"

// merge takes one piece of news, and spreads it if it is new here and did not come with a whole table.
func (t *Table) merge(now time.Time, m Member, spread bool) {
	if !m.valid() {
		return
	}
	if m.Name == t.Self.Name {
		t.mergeSelf(now, m)
		return
	}
	e := t.entries[m.Name]
	if e == nil {
		if e = t.add(now, m.Name); e == nil {
			return
		}
	}
	if !newer(m, e.Member) {
		return
	}
	if m.State == Dead && e.State.live() {
		t.mergeDeath(now, e, m, spread)
		return
	}
	t.set(now, e, m, spread)
}

// mergeDeath takes the news that a live member is dead.
//
// Whoever says so may have been cut off or asleep, so a member that has not been suspect for a while may refute it first.
func (t *Table) mergeDeath(now time.Time, e *entry, m Member, spread bool) {
	if e.State == Suspect && now.Sub(e.since) >= burialTimeout {
		t.set(now, e, m, spread)
		return
	}
	if e.State == Alive || m.Incarnation > e.Incarnation {
		m.State = Suspect
		t.set(now, e, m, spread)
	}
	e.deadline = earlier(e.deadline, e.since.Add(burialTimeout))
	if !e.doubted {
		e.doubted = true
		e.recheck = now
	}
}

// mergeSelf refutes what others wrongly believe of this host.
func (t *Table) mergeSelf(now time.Time, m Member) {
	if t.Self.State == Left || m.Incarnation < t.Self.Incarnation {
		return
	}
	if m.Boot > t.Self.Boot && m.State.live() {
		if t.rivalAt.IsZero() {
			t.rivalAt = now
		}
		return
	}
	if m.Boot == t.Self.Boot && m.State == Alive && m.Incarnation == t.Self.Incarnation {
		return
	}
	t.rivalAt = time.Time{}
	t.Self.Incarnation = m.Incarnation + 1
	t.views.changed = true
	t.urgent = true
	t.news.add(t.Self.Name)
}

// set gives a member a new state.
func (t *Table) set(now time.Time, e *entry, m Member, spread bool) {
	from := e.Member
	e.Member = m
	if from.Incarnation != m.Incarnation || from.State != m.State {
		e.since = now
		e.deadline = now.Add(hearsayTimeout)
		e.missed = false
		e.doubted = false
	}
	if from.State != m.State {
		t.do(Turned{Member: m, From: from.State})
	}
	delete(t.suspects, m.Name)
	if m.State == Suspect {
		t.suspects[m.Name] = e
	}
	moved := from.State.live() != m.State.live() || from.PeerAddress != m.PeerAddress || from.Boot != m.Boot
	t.views.dirty = t.views.dirty || moved
	t.views.changed = t.views.changed || from.State != m.State
	if spread {
		t.urgent = t.urgent || moved
		t.news.add(m.Name)
	}
}

// gossip picks what to tell a member: first what it must know of itself, then fresh news, then some of the rest in turn.
func (t *Table) gossip(to string) Gossip {
	g := Gossip{Self: t.Self, News: make([]Member, 0, maxNews)}
	if e := t.entries[to]; e != nil && e.State > Alive {
		g.News = append(g.News, e.Member)
	}
	for _, name := range t.news.pick(maxNews-len(g.News), t.spread()) {
		if e := t.entries[name]; e != nil && name != to {
			g.News = append(g.News, e.Member)
		}
	}
	for range min(maxFillers, maxNews-len(g.News), len(t.views.known)) {
		g.News = append(g.News, t.views.nextKnown().Member)
	}
	return g
}
