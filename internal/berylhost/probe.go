package berylhost

import "time"

// probeDue sends the probes of this moment, to a ring successor and to a partner.
func (t *Table) probeDue(now time.Time) {
	if due(now, &t.nextRing, ringInterval) {
		t.probe(t.views.nextSuccessor(), toCheck)
	}
	if due(now, &t.nextWindow, windowInterval) {
		t.views.atWindow++
	}
	if due(now, &t.nextProbe, probeInterval) {
		t.probe(t.views.nextPartner(), toCheck)
	}
	if len(t.suspects) > 0 && due(now, &t.nextHasty, probeInterval) {
		t.probe(t.views.pickOne(t.random), toCheck) // where one host is lost, there may be others
	}
}

// seekDue probes candidates that are not up, so that late ones and healed partitions are found.
//
// While new candidates are unknown it also pulls whole tables, which doubles what a fleet that starts together knows.
func (t *Table) seekDue(now time.Time) {
	if now.Before(t.seekUntil) && due(now, &t.nextSeek, seekInterval) && len(t.views.unknown) > 0 {
		t.needSync = t.joined
		for range min(seekCount, len(t.views.unknown)) {
			t.probe(t.views.nextUnknown(), toSeek)
		}
	}
	if due(now, &t.nextDead, seekDeadInterval) {
		t.forget(now)
		t.probe(t.views.nextGone(t.random), toSeek)
	}
}

// pushDue tells some members at once of a change of the live hosts, so that it does not wait for the next probes.
func (t *Table) pushDue(now time.Time) {
	if !t.urgent || now.Before(t.nextPush) || t.Self.State == Left {
		return
	}
	t.urgent = false
	t.nextPush = now.Add(urgentInterval)
	for range min(urgentCount, len(t.views.others)) {
		t.probe(t.views.nextPartner(), toSeek)
	}
}

// due says whether the time has come, and sets the next one.
func due(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}

// forget drops members that are gone and that no list names any more.
func (t *Table) forget(now time.Time) {
	for name, e := range t.entries {
		if e.candidate || e.State.live() || now.Sub(e.since) < forgetTimeout {
			continue
		}
		delete(t.entries, name)
		t.views.dirty = true
	}
}

// probe sends a probe; nil is no member.
func (t *Table) probe(e *entry, p purpose) {
	if e == nil || len(t.pending) >= maxPending {
		return
	}
	seq := t.await(&pending{purpose: p, target: e.Name, incarnation: e.Incarnation})
	t.do(SendProbe{Seq: seq, To: e.Member, Gossip: t.gossip(e.Name), Timeout: probeTimeout})
}

func (t *Table) await(p *pending) uint64 {
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
	seq := t.await(&pending{purpose: toSync, target: e.Name})
	t.do(SendSync{Seq: seq, To: e.Member, Self: t.Self, Timeout: syncTimeout})
}

func (t *Table) relayAsked(target Member) {
	seq := t.await(&pending{purpose: toSeek, target: target.Name})
	t.do(SendProbe{Seq: seq, To: target, Gossip: t.gossip(target.Name), Timeout: relayProbe})
}

func (t *Table) syncAsked(now time.Time, e SyncAsked) {
	if e.Self.Name == e.From {
		t.merge(now, e.Self, true)
	}
	members := make([]Member, 0, len(t.views.known)+1)
	members = append(members, t.Self)
	for _, other := range t.views.known {
		members = append(members, other.Member)
	}
	t.do(ReplySync{Members: members})
}

func (t *Table) heard(now time.Time, e Heard) {
	t.take(now, e.From, e.Gossip, maxNews)
	t.do(Reply{Gossip: t.gossip(e.From)})
}

// take merges a peer's gossip; a peer that speaks for another host in Self is not believed.
func (t *Table) take(now time.Time, from string, g Gossip, limit int) {
	if g.Self.Name != from || from == t.Self.Name {
		return
	}
	spread := limit <= maxNews
	t.merge(now, g.Self, spread)
	for _, m := range g.News[:min(limit, len(g.News))] {
		t.merge(now, m, spread)
	}
	if !t.joined {
		t.joined = true
		t.needSync = true
		t.do(Joined{})
	}
}

func (t *Table) acked(now time.Time, e Acked) {
	p := t.pending[e.Seq]
	if p == nil {
		return
	}
	delete(t.pending, e.Seq)
	limit := maxNews
	if p.purpose == toSync {
		limit = maxMembers
		t.syncing = false
		t.needSync = false
	}
	if e.From != p.target {
		return
	}
	delete(t.pending, p.parent)
	t.dropEarlierRun(now, e.Gossip.Self)
	t.take(now, e.From, e.Gossip, limit)
}

func (t *Table) missed(now time.Time, seq uint64) {
	p := t.pending[seq]
	if p == nil {
		return
	}
	delete(t.pending, seq)
	switch p.purpose {
	case toSync:
		t.syncing = false
	case toCheck:
		t.askRelays(now, p)
	case toRelay:
		t.relayMissed(now, p.parent)
	case toSeek:
	}
}

// askRelays has a member that missed a probe probed by others, or suspects it when there are none.
func (t *Table) askRelays(now time.Time, p *pending) {
	e := t.entries[p.target]
	if e == nil {
		return
	}
	parent := t.await(p)
	for _, via := range t.views.pick(t.random, relayCount, p.target) {
		p.relays++
		seq := t.await(&pending{purpose: toRelay, target: p.target, parent: parent})
		t.do(SendRelay{Seq: seq, Via: via.Member, Target: e.Member, Timeout: relayTimeout})
	}
	if p.relays == 0 {
		delete(t.pending, parent)
		t.suspect(now, p)
	}
}

func (t *Table) relayMissed(now time.Time, parent uint64) {
	p := t.pending[parent]
	if p == nil {
		return
	}
	p.relays--
	if p.relays > 0 {
		return
	}
	delete(t.pending, parent)
	t.suspect(now, p)
}

// dropEarlierRun declares a run dead when another run with older news has answered at its address: the clock of that host
// has gone back over its restart, and it needs to hear of this to raise its incarnation.
func (t *Table) dropEarlierRun(now time.Time, answered Member) {
	e := t.entries[answered.Name]
	if e == nil || !e.State.live() || e.Boot == answered.Boot || e.PeerAddress != answered.PeerAddress {
		return
	}
	if newer(answered, e.Member) {
		return
	}
	m := e.Member
	m.State = Dead
	t.set(now, e, m, true)
}

// suspect marks a member that nobody reached, unless it has been heard of anew meanwhile.
func (t *Table) suspect(now time.Time, p *pending) {
	e := t.entries[p.target]
	if e == nil || !e.State.live() || e.Incarnation != p.incarnation {
		return
	}
	if e.State == Alive {
		m := e.Member
		m.State = Suspect
		t.set(now, e, m, true)
	}
	if e.missed {
		return
	}
	e.missed = true
	e.doubted = true
	e.recheck = now
	e.deadline = earlier(e.deadline, e.since.Add(suspicionTimeout))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
