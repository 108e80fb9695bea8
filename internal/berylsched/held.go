package berylsched

import (
	"context"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// reportEvery is the time between two reports of held permits.
	reportEvery = 3 * time.Second
	// reportFor is how long an owner gets reports after the last ask: some more than it takes to free what they leave out.
	reportFor = 10 * time.Second
)

// hold is a permit that this host holds.
type hold struct {
	berylpermit.HeldPermit
	// owner is the host that granted it, or empty when this host took it without an owner.
	owner string
	known *knowledge
	since time.Time
	stop  chan struct{}
	once  sync.Once
}

// holds is the table of the permits that this host holds; the zero value is empty.
type holds struct {
	mu   sync.Mutex
	byID map[berylpermit.ID]*hold
	// early remembers the orders to yield that have overtaken their permit: the youngest permit yields first, so this
	// is common.
	early recent
}

func (t *holds) add(h *hold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[berylpermit.ID]*hold)
	}
	t.byID[h.ID] = h
	if h.Class == berylpermit.Batch && t.early.has(h.ID) {
		h.once.Do(func() { close(h.stop) })
	}
}

// remove returns false if the permit was released before.
func (t *holds) remove(id berylpermit.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[id] == nil {
		return false
	}
	delete(t.byID, id)
	return true
}

// yield closes the channel of a batch permit; an unknown one was released before or is still on its way.
func (t *holds) yield(id berylpermit.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byID[id]
	if h == nil {
		t.early.add(id)
		return
	}
	if h.Class == berylpermit.Batch {
		h.once.Do(func() { close(h.stop) })
	}
}

// snapshot lists the held permits.
func (t *holds) snapshot(now time.Time) []berylpermit.HeldPermit {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]berylpermit.HeldPermit, 0, len(t.byID))
	for _, h := range t.byID {
		hp := h.HeldPermit
		hp.Age = now.Sub(h.since)
		list = append(list, hp)
	}
	return list
}

// hold enters a granted permit and returns what the caller gets.
func (s *Scheduler) hold(ask *berylpermit.Request, upstream, owner string) *berylpermit.Permit {
	h := &hold{owner: owner, since: time.Now(), stop: make(chan struct{})}
	h.HeldPermit = berylpermit.HeldPermit{ID: ask.ID, Upstream: upstream, Class: ask.Class, Long: ask.Long}
	s.holds.add(h)
	h.known = s.table.Load().knowledge(upstream)
	h.known.own.Add(1)
	return &berylpermit.Permit{
		ID:       ask.ID,
		Upstream: upstream,
		Class:    ask.Class,
		Yield:    h.stop,
		Release:  func(r berylpermit.Report) { s.release(h, r) },
	}
}

// release gives a permit back to the owner that granted it and to the one that counts it now.
func (s *Scheduler) release(h *hold, report berylpermit.Report) {
	if !s.holds.remove(h.ID) {
		return
	}
	h.known.own.Add(-1)
	r := berylpermit.Release{ID: h.ID, Upstream: h.Upstream, Report: report}
	if h.owner != "" {
		s.outbox.send(h.owner, parcel{release: &r})
	}
	p := s.table.Load().places[h.Upstream]
	if p != nil && p.owner != "" && p.owner != h.owner {
		s.outbox.send(p.owner, parcel{release: &r})
	}
}

// reportHeld reports held permits to their owners now and then, and at once to those that have become their owners, until
// ctx ends.
func (s *Scheduler) reportHeld(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	t := s.table.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sendHeld(now, s.owners(now))
		case <-t.stale:
			last := t
			t = s.table.Load()
			s.sendHeld(time.Now(), s.newOwners(last, t))
		}
	}
}

// owners lists the hosts that own the upstreams of held permits, and those asked a moment ago, which may count permits that
// this host does not know of.
func (s *Scheduler) owners(now time.Time) map[string]bool {
	owners := s.peers.askedSince(now.Add(-reportFor))
	t := s.table.Load()
	for _, hp := range s.holds.snapshot(now) {
		if p := t.places[hp.Upstream]; p != nil && p.owner != "" {
			owners[p.owner] = true
		}
	}
	return owners
}

// newOwners lists the hosts that own the upstreams of held permits by one table and did not by the last. All others know of
// them: while hosts come and go there may be tens of tables a second.
func (s *Scheduler) newOwners(last, next *table) map[string]bool {
	owners := make(map[string]bool)
	for _, hp := range s.holds.snapshot(time.Now()) {
		p := next.places[hp.Upstream]
		if p == nil || p.owner == "" {
			continue
		}
		if old := last.places[hp.Upstream]; old == nil || old.owner != p.owner {
			owners[p.owner] = true
		}
	}
	return owners
}

// sendHeld reports all held permits to each of the hosts.
func (s *Scheduler) sendHeld(now time.Time, owners map[string]bool) {
	if len(owners) == 0 {
		return
	}
	held := berylpermit.HeldReport{Host: s.Host, Boot: s.Boot, Permits: s.holds.snapshot(now)}
	for host := range owners {
		s.outbox.send(host, parcel{held: &held})
	}
}
