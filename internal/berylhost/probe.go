package berylhost

import "time"

// probeDue sends the probes of this moment: one to a ring successor and one to a random member, each once an interval.
func (t *Table) probeDue(now time.Time) {
	if due(now, &t.nextRing, probeInterval) {
		t.probe(t.views.nextSuccessor(), toCheck)
	}
	if due(now, &t.nextProbe, probeInterval) {
		t.probe(t.views.nextRandom(t.random), toCheck)
	}
}

// seekDue probes candidates that are not up, so that late ones and healed partitions are found.
func (t *Table) seekDue(now time.Time) {
	if due(now, &t.nextSeek, seekInterval) {
		count := 1
		if !t.joined {
			count = seekCount
		}
		for range min(count, len(t.views.unknown)) {
			t.probe(t.views.nextUnknown(), toSeek)
		}
	}
	if due(now, &t.nextDead, seekDeadInterval) {
		t.forget(now)
		t.probe(t.views.nextGone(t.random), toSeek)
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
	e := t.views.nextRandom(t.random)
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
		t.merge(now, e.Self)
	}
	members := make([]Member, 0, len(t.entries)+1)
	members = append(members, t.Self)
	for _, other := range t.entries {
		if other.State != Unknown {
			members = append(members, other.Member)
		}
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
	t.merge(now, g.Self)
	for _, m := range g.News[:min(limit, len(g.News))] {
		t.merge(now, m)
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

// suspect marks a member that nobody reached, unless it has been heard of anew meanwhile.
func (t *Table) suspect(now time.Time, p *pending) {
	e := t.entries[p.target]
	if e == nil || e.State != Alive || e.Incarnation != p.incarnation {
		return
	}
	m := e.Member
	m.State = Suspect
	t.set(now, e, m)
}
