package berylhost

import "time"

// merge takes one piece of news.
func (t *Table) merge(now time.Time, m Member) {
	if !m.valid() {
		return
	}
	if m.Name == t.Self.Name {
		t.mergeSelf(m)
		return
	}
	e := t.entries[m.Name]
	if e == nil {
		if e = t.add(now, m.Name); e == nil {
			return
		}
	}
	if newer(m, e.Member) {
		t.set(now, e, m)
	}
}

// mergeSelf refutes what others wrongly believe of this host.
func (t *Table) mergeSelf(m Member) {
	if t.Self.State == Left || m.Incarnation < t.Self.Incarnation {
		return
	}
	if m.Boot > t.Self.Boot && m.State.live() {
		if !t.replaced {
			t.replaced = true
			t.do(Replaced{By: m})
		}
		return
	}
	if m.Boot == t.Self.Boot && m.State == Alive && m.Incarnation == t.Self.Incarnation {
		return
	}
	t.replaced = false
	t.Self.Incarnation = m.Incarnation + 1
	t.news.add(t.Self.Name)
}

// set gives a member a new state and spreads it.
func (t *Table) set(now time.Time, e *entry, m Member) {
	from := e.Member
	e.Member = m
	if from.State != m.State {
		e.since = now
		t.do(Turned{Member: m, From: from.State})
	}
	delete(t.suspects, m.Name)
	if m.State == Suspect {
		t.suspects[m.Name] = e
	}
	moved := from.State.live() != m.State.live() || from.PeerAddress != m.PeerAddress || from.Boot != m.Boot
	t.views.dirty = t.views.dirty || moved
	t.views.changed = t.views.changed || from.State != m.State
	t.news.add(m.Name)
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
