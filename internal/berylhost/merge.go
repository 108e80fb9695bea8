package berylhost

import "time"

// merge takes one piece of news, and spreads it if it is new here and did not come with a whole table.
func (t *Table) merge(now time.Time, m Member, spread bool) {
	if !m.isValid() {
		return
	}
	if m.Name == t.Self.Name {
		t.mergeSelf(now, m)
		return
	}
	e := t.entries[m.Name]
	if e == nil {
		if e = t.addEntry(now, m.Name); e == nil {
			return
		}
	}
	if !supersedes(m, e.Member) {
		return
	}
	if m.State == Dead && e.State.isLive() {
		t.mergeDead(now, e, m, spread)
		return
	}
	t.setState(now, e, m, spread)
}

// mergeDead takes the news that a live member is dead.
//
// Whoever says so may have been cut off or asleep, so a member that has not been suspect for a while may refute it first.
func (t *Table) mergeDead(now time.Time, e *entry, m Member, spread bool) {
	if e.State == Suspect && now.Sub(e.since) >= reportedDeathTimeout {
		t.setState(now, e, m, spread)
		return
	}
	if e.State == Alive || m.Incarnation > e.Incarnation {
		m.State = Suspect
		t.setState(now, e, m, spread)
	}
	e.deadline = earlier(e.deadline, e.since.Add(reportedDeathTimeout))
	if !e.rechecking {
		e.rechecking = true
		e.nextRecheck = now
	}
}

// mergeSelf refutes what others wrongly believe of this host.
func (t *Table) mergeSelf(now time.Time, m Member) {
	if t.Self.State == Left || m.Incarnation < t.Self.Incarnation {
		return
	}
	if m.Boot > t.Self.Boot && m.State.isLive() {
		if t.laterRunAt.IsZero() {
			t.laterRunAt = now
		}
		return
	}
	if m.Boot == t.Self.Boot && m.State == Alive && m.Incarnation == t.Self.Incarnation {
		return
	}
	t.laterRunAt = time.Time{}
	t.Self.Incarnation = m.Incarnation + 1
	t.views.stateChanged = true
	t.pushNeeded = true
	t.news.add(t.Self.Name)
}

// setState gives a member a new state.
func (t *Table) setState(now time.Time, e *entry, m Member, spread bool) {
	from := e.Member
	e.Member = m
	if from.Incarnation != m.Incarnation || from.State != m.State {
		e.since = now
		e.deadline = now.Add(reportedSuspicionTimeout)
		e.probeFailed = false
		e.rechecking = false
	}
	if from.State != m.State {
		t.emit(StateChanged{Member: m, From: from.State})
	}
	delete(t.suspects, m.Name)
	if m.State == Suspect {
		t.suspects[m.Name] = e
	}
	moved := from.State.isLive() != m.State.isLive() || from.PeerAddress != m.PeerAddress || from.Boot != m.Boot
	t.views.dirty = t.views.dirty || moved
	t.views.stateChanged = t.views.stateChanged || from.State != m.State
	if spread {
		t.pushNeeded = t.pushNeeded || moved
		t.news.add(m.Name)
	}
}

// buildGossip picks what to tell a member: first what it must know of itself, then fresh news, then some of the rest in turn.
func (t *Table) buildGossip(to string) Gossip {
	g := Gossip{Self: t.Self, News: make([]Member, 0, maxNews)}
	if e := t.entries[to]; e != nil && e.State > Alive {
		g.News = append(g.News, e.Member)
	}
	for _, name := range t.news.pick(maxNews-len(g.News), t.retransmitLimit()) {
		if e := t.entries[name]; e != nil && name != to {
			g.News = append(g.News, e.Member)
		}
	}
	for range min(maxBackfill, maxNews-len(g.News), len(t.views.known)) {
		g.News = append(g.News, t.views.nextKnown().Member)
	}
	return g
}
