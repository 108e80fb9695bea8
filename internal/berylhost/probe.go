package berylhost

import "time"

// sendDueProbes sends the periodic probes: to a ring successor, to a partner and, while there are suspects, to a random
// member.
func (t *Table) sendDueProbes(now time.Time) {
	if isDue(now, &t.nextSuccessorProbe, successorInterval) {
		t.sendProbe(t.views.nextSuccessor(), purposeCheck)
	}
	if isDue(now, &t.nextWindowShift, windowInterval) {
		t.views.windowStart++
	}
	if isDue(now, &t.nextPartnerProbe, probeInterval) {
		t.sendProbe(t.views.nextPartner(), purposeCheck)
	}
	if len(t.suspects) > 0 && isDue(now, &t.nextExtraProbe, probeInterval) {
		// Failures are often correlated, so other hosts may be lost too.
		t.sendProbe(t.views.pickOneAlive(t.random), purposeCheck)
	}
}

// searchDownCandidates probes candidates that are not up, to find hosts that start late and to heal partitions.
//
// While there are candidates about which no update has arrived, it also requests whole tables: each sync doubles what
// the hosts of a fleet that starts together know of each other.
func (t *Table) searchDownCandidates(now time.Time) {
	if now.Before(t.searchUntil) && isDue(now, &t.nextSearch, searchInterval) && len(t.views.unknown) > 0 {
		t.syncNeeded = t.joined
		for range min(searchCount, len(t.views.unknown)) {
			t.sendProbe(t.views.nextUnknown(), purposeSearch)
		}
	}
	if isDue(now, &t.nextDownProbe, downProbeInterval) {
		t.removeExpired(now)
		t.sendProbe(t.views.randomDown(t.random), purposeSearch)
	}
}

// pushChanges sends a change of the live hosts, or a refutation by this host, to some members at once instead of waiting
// for the next probes.
func (t *Table) pushChanges(now time.Time) {
	if !t.pushNeeded || now.Before(t.nextPush) || t.Self.State == Left {
		return
	}
	t.pushNeeded = false
	t.nextPush = now.Add(pushInterval)
	for range min(pushCount, len(t.views.others)) {
		t.sendProbe(t.views.nextPartner(), purposeSearch)
	}
}

// isDue reports whether the time next has been reached, and if so advances next by the interval.
func isDue(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}

// removeExpired removes members that have not been up for forgetTimeout and that are not candidates.
func (t *Table) removeExpired(now time.Time) {
	for name, e := range t.entries {
		if e.candidate || e.State.isLive() || now.Sub(e.since) < forgetTimeout {
			continue
		}
		delete(t.entries, name)
		t.views.dirty = true
	}
}

// sendProbe requests a probe of a member. It does nothing if e is nil or too many calls are pending.
func (t *Table) sendProbe(e *entry, p purpose) {
	if e == nil || len(t.pending) >= maxPendingCalls {
		return
	}
	seq := t.addPending(&pendingCall{purpose: p, target: e.Name, incarnation: e.Incarnation})
	t.emit(SendProbe{Seq: seq, To: e.Member, Gossip: t.buildGossip(e.Name), Timeout: probeTimeout})
}

func (t *Table) addPending(p *pendingCall) uint64 {
	t.seq++
	t.pending[t.seq] = p
	return t.seq
}

func (t *Table) sendSync() {
	e := t.views.nextPartner()
	if e == nil {
		return
	}
	t.syncing = true
	seq := t.addPending(&pendingCall{purpose: purposeSync, target: e.Name})
	t.emit(SendSync{Seq: seq, To: e.Member, Self: t.Self, Timeout: syncTimeout})
}

func (t *Table) relayRequested(target Member) {
	seq := t.addPending(&pendingCall{purpose: purposeSearch, target: target.Name})
	t.emit(SendProbe{Seq: seq, To: target, Gossip: t.buildGossip(target.Name), Timeout: relayedProbeTimeout})
}

func (t *Table) syncRequested(now time.Time, e SyncRequested) {
	if e.Self.Name == e.From {
		t.merge(now, e.Self, true)
	}
	members := make([]Member, 0, len(t.views.known)+1)
	members = append(members, t.Self)
	for _, other := range t.views.known {
		members = append(members, other.Member)
	}
	t.emit(ReplySync{Members: members})
}

func (t *Table) gossipReceived(now time.Time, e GossipReceived) {
	t.mergeGossip(now, e.From, e.Gossip, maxUpdates)
	t.emit(Reply{Gossip: t.buildGossip(e.From)})
}

// mergeGossip applies a peer's gossip. Gossip whose own entry names another host than the authenticated peer is
// ignored.
func (t *Table) mergeGossip(now time.Time, from string, g Gossip, limit int) {
	if g.Self.Name != from || from == t.Self.Name {
		return
	}
	spread := limit <= maxUpdates
	t.merge(now, g.Self, spread)
	for _, m := range g.Updates[:min(limit, len(g.Updates))] {
		t.merge(now, m, spread)
	}
	if !t.joined {
		t.joined = true
		t.syncNeeded = true
		t.emit(Joined{})
	}
}

func (t *Table) acked(now time.Time, e Acked) {
	p := t.pending[e.Seq]
	if p == nil {
		return
	}
	delete(t.pending, e.Seq)
	limit := maxUpdates
	if p.purpose == purposeSync {
		limit = maxMembers
		t.syncing = false
		t.syncNeeded = false
	}
	if e.From != p.target {
		return
	}
	delete(t.pending, p.parentSeq)
	t.dropEarlierRun(now, e.Gossip.Self)
	t.mergeGossip(now, e.From, e.Gossip, limit)
}

func (t *Table) noReply(now time.Time, seq uint64) {
	p := t.pending[seq]
	if p == nil {
		return
	}
	delete(t.pending, seq)
	switch p.purpose {
	case purposeSync:
		t.syncing = false
	case purposeCheck:
		t.sendRelays(now, p)
	case purposeRelay:
		t.relayFailed(now, p.parentSeq)
	case purposeSearch:
	}
}

// sendRelays asks other members to probe a member that did not answer. If there are none, the member becomes suspect.
func (t *Table) sendRelays(now time.Time, p *pendingCall) {
	e := t.entries[p.target]
	if e == nil {
		return
	}
	parent := t.addPending(p)
	for _, via := range t.views.pickAlive(t.random, relayCount, p.target) {
		p.relays++
		seq := t.addPending(&pendingCall{purpose: purposeRelay, target: p.target, parentSeq: parent})
		t.emit(SendRelay{Seq: seq, Via: via.Member, Target: e.Member, Timeout: relayTimeout})
	}
	if p.relays == 0 {
		delete(t.pending, parent)
		t.markSuspect(now, p)
	}
}

func (t *Table) relayFailed(now time.Time, parent uint64) {
	p := t.pending[parent]
	if p == nil {
		return
	}
	p.relays--
	if p.relays > 0 {
		return
	}
	delete(t.pending, parent)
	t.markSuspect(now, p)
}

// dropEarlierRun declares the known run of a host dead when another run with a lower incarnation answers at the same
// address. This happens when the host's clock went back across its restart: the new run must learn of this to raise its
// incarnation.
func (t *Table) dropEarlierRun(now time.Time, answered Member) {
	e := t.entries[answered.Name]
	if e == nil || !e.State.isLive() || e.Boot == answered.Boot || e.PeerAddress != answered.PeerAddress {
		return
	}
	if supersedes(answered, e.Member) {
		return
	}
	m := e.Member
	m.State = Dead
	t.setState(now, e, m, true)
}

// markSuspect makes a member suspect that could not be reached, unless a newer update about it has arrived since the
// probe.
func (t *Table) markSuspect(now time.Time, p *pendingCall) {
	e := t.entries[p.target]
	if e == nil || !e.State.isLive() || e.Incarnation != p.incarnation {
		return
	}
	if e.State == Alive {
		m := e.Member
		m.State = Suspect
		t.setState(now, e, m, true)
	}
	if e.probeFailed {
		return
	}
	e.probeFailed = true
	e.rechecking = true
	e.nextRecheck = now
	e.deadline = earlier(e.deadline, e.since.Add(suspicionTimeout))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
