package berylhost

import "time"

// merge applies an update about one member. If spread is true, an update that this host did not have is gossiped on;
// updates from a whole table are not.
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

// mergeDead applies an update that declares a member dead which this host sees as live.
//
// The reporting host may itself have been cut off or paused. A member that this host has not suspected for at least
// reportedDeathTimeout therefore becomes suspect first, so that it can refute the report.
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

// mergeSelf handles an update about this host. It refutes a wrong state by raising the incarnation, and records when
// a run with a higher Boot was first reported.
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
	t.updates.add(t.Self.Name)
}

// setState replaces what is known of a member, resets its timers if the state or incarnation has changed, and queues the
// update for gossip if spread is true.
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
	membersChanged := from.State.isLive() != m.State.isLive() || from.PeerAddress != m.PeerAddress || from.Boot != m.Boot
	t.views.dirty = t.views.dirty || membersChanged
	t.views.stateChanged = t.views.stateChanged || from.State != m.State
	if spread {
		t.pushNeeded = t.pushNeeded || membersChanged
		t.updates.add(m.Name)
	}
}

// buildGossip selects the updates for a member: first the member's own entry if it is not seen as alive, so that it can
// refute that, then queued updates, then some of the other members in turn.
func (t *Table) buildGossip(to string) Gossip {
	g := Gossip{Self: t.Self, Updates: make([]Member, 0, maxUpdates)}
	if e := t.entries[to]; e != nil && e.State > Alive {
		g.Updates = append(g.Updates, e.Member)
	}
	for _, name := range t.updates.pick(maxUpdates-len(g.Updates), t.retransmitLimit()) {
		if e := t.entries[name]; e != nil && name != to {
			g.Updates = append(g.Updates, e.Member)
		}
	}
	for range min(maxBackfill, maxUpdates-len(g.Updates), len(t.views.known)) {
		g.Updates = append(g.Updates, t.views.nextKnown().Member)
	}
	return g
}
