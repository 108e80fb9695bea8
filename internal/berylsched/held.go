package berylsched

import (
	"context"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// reportInterval is the time between two reports of held permits to an owner.
	reportInterval = 3 * time.Second
	// reportDuration is how long an owner gets reports after the last request to it. It covers several reports, because an
	// owner frees a permit only after maxMissedReports reports without it.
	reportDuration = 10 * time.Second
)

// heldPermit is a permit that this host holds, with what is needed to release it.
type heldPermit struct {
	berylpermit.HeldPermit
	// owner is the host that granted the permit, or empty when this host granted it itself without an owner.
	owner     string
	view      *loadView
	grantedAt time.Time
	// yield is closed, once, when the permit must be given back.
	yield     chan struct{}
	yieldOnce sync.Once
}

// heldPermits are the permits that this host holds. The zero value is ready to use.
type heldPermits struct {
	mu   sync.Mutex
	byID map[berylpermit.ID]*heldPermit
	// earlyYields holds the IDs of permits whose yield arrived before the grant. This is common, since the youngest permit
	// is preempted first.
	earlyYields recentIDs
}

// add stores a held permit; if its yield has arrived before, it is told to yield at once.
func (t *heldPermits) add(h *heldPermit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[berylpermit.ID]*heldPermit)
	}
	t.byID[h.ID] = h
	if h.Class == berylpermit.Batch && t.earlyYields.has(h.ID) {
		h.yieldOnce.Do(func() { close(h.yield) })
	}
}

// remove returns false if the permit has already been released.
func (t *heldPermits) remove(id berylpermit.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[id] == nil {
		return false
	}
	delete(t.byID, id)
	return true
}

// yield closes the yield channel of a batch permit. An unknown ID is remembered, because the grant may still be on its
// way; it may also have been released already.
func (t *heldPermits) yield(id berylpermit.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byID[id]
	if h == nil {
		t.earlyYields.add(id)
		return
	}
	if h.Class == berylpermit.Batch {
		h.yieldOnce.Do(func() { close(h.yield) })
	}
}

// snapshot returns a copy of the held permits with their current age.
func (t *heldPermits) snapshot(now time.Time) []berylpermit.HeldPermit {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]berylpermit.HeldPermit, 0, len(t.byID))
	for _, h := range t.byID {
		hp := h.HeldPermit
		hp.Age = now.Sub(h.grantedAt)
		list = append(list, hp)
	}
	return list
}

// addHeld records a granted permit and returns the Permit for the caller of Acquire.
func (s *Scheduler) addHeld(req *berylpermit.Request, upstream, owner string) *berylpermit.Permit {
	h := &heldPermit{owner: owner, grantedAt: time.Now(), yield: make(chan struct{})}
	h.HeldPermit = berylpermit.HeldPermit{ID: req.ID, Upstream: upstream, Class: req.Class, Long: req.Long, Account: req.Account}
	s.held.add(h)
	h.view = s.table.Load().viewOf(upstream)
	h.view.ownPermits.Add(1)
	return &berylpermit.Permit{
		ID:          req.ID,
		GrantedBy:   owner,
		Upstream:    upstream,
		Class:       req.Class,
		Yield:       h.yield,
		Release:     func(r berylpermit.Report) { s.release(h, r) },
		OnStatement: func(st berylpermit.Statement) { s.reportStatement(h, st) },
	}
}

// release gives a permit back to the owner that granted it and, if ownership has changed since, to the current owner.
func (s *Scheduler) release(h *heldPermit, report berylpermit.Report) {
	if !s.held.remove(h.ID) {
		return
	}
	h.view.ownPermits.Add(-1)
	if !s.isEvidence(h.Upstream, &report) {
		report = berylpermit.Report{Kind: report.Kind}
		s.counters.ownFaults.Inc()
	}
	r := berylpermit.Release{ID: h.ID, Upstream: h.Upstream, Report: report}
	if h.owner != "" {
		s.outbox.send(h.owner, message{release: &r})
	}
	p := s.table.Load().placements[h.Upstream]
	if p != nil && p.owner != "" && p.owner != h.owner {
		s.outbox.send(p.owner, message{release: &r})
	}
}

// isEvidence reports whether the end of a call says anything about its upstream: that it was faulty, or how fast it is. A call
// that got no whole answer says nothing while this host may not reach upstreams.
func (s *Scheduler) isEvidence(upstream string, report *berylpermit.Report) bool {
	if s.Paths == nil || report.Kind == beryloutcome.Answered || report.Refused && !report.Fault {
		return true
	}
	if report.Fault {
		return s.Paths.BlamesUpstream(upstream)
	}
	return s.Paths.IsReachable()
}

// reportHeld reports held permits to their owners every reportInterval, and to new owners as soon as the table changes,
// until ctx ends.
func (s *Scheduler) reportHeld(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	t := s.table.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sendHeldReports(now, s.reportTargets(now))
		case <-t.replaced:
			last := t
			t = s.table.Load()
			s.sendHeldReports(time.Now(), s.changedOwners(last, t))
			s.sendStatements(last, t)
		}
	}
}

// reportTargets lists the owners of the upstreams of held permits, and the hosts sent a request within reportDuration.
// The latter may count permits for this host whose grant was lost; a report lets them free these.
func (s *Scheduler) reportTargets(now time.Time) map[string]bool {
	owners := s.peers.requestedSince(now.Add(-reportDuration))
	t := s.table.Load()
	for _, hp := range s.held.snapshot(now) {
		if p := t.placements[hp.Upstream]; p != nil && p.owner != "" {
			owners[p.owner] = true
		}
	}
	return owners
}

// changedOwners lists the owners of the upstreams of held permits that did not own them by the last table. The others
// already know of the permits: while hosts come and go there may be tens of tables per second, and a report of each to
// all owners would be too many messages.
func (s *Scheduler) changedOwners(last, next *table) map[string]bool {
	owners := make(map[string]bool)
	for _, hp := range s.held.snapshot(time.Now()) {
		p := next.placements[hp.Upstream]
		if p == nil || p.owner == "" {
			continue
		}
		if previous := last.placements[hp.Upstream]; previous == nil || previous.owner != p.owner {
			owners[p.owner] = true
		}
	}
	return owners
}

// sendHeldReports sends a report of all held permits to each of the hosts.
func (s *Scheduler) sendHeldReports(now time.Time, owners map[string]bool) {
	if len(owners) == 0 {
		return
	}
	held := berylpermit.HeldReport{Host: s.Host, Boot: s.Boot, Permits: s.held.snapshot(now)}
	for host := range owners {
		s.outbox.send(host, message{held: &held})
	}
}
