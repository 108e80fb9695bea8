package berylsched

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"berylroad.example/berylroad/internal/berylpermit"
)

// limitReportInterval is the least time between two reports of an upstream's limit by one host. A host reports again only
// while the owner's loads differ from what the answers say.
const limitReportInterval = 100 * time.Millisecond

// knownLimit is the limit of one upstream as this host knows it from answers and from its owner. The zero value is without
// a limit.
type knownLimit struct {
	// limited mirrors limit.Limited, so that the usual case without any limit takes no lock.
	limited atomic.Bool

	mu         sync.Mutex
	limit      rateLimit
	reportedAt time.Time
	// unowned bounds the permits that this host grants itself.
	unowned *rate.Limiter
}

// learn applies the limit in a load that the owner reports.
func (k *knownLimit) learn(now time.Time, l berylpermit.Limit) {
	if !l.Limited && !k.limited.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.Known = true
	k.limit.state(now, l, now.Add(-loadLimitDelay))
	k.limited.Store(k.limit.Limited)
}

// observe applies what an answer says to a call sent at sentAt. It reports whether the owner, which by its loads holds
// the upstream to believed, has to be told.
func (k *knownLimit) observe(now time.Time, l berylpermit.Limit, sentAt time.Time, believed berylpermit.Limit) bool {
	agreed := l.Limited == believed.Limited && l.PerSecond == believed.PerSecond
	if agreed && !l.Limited && !k.limited.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.limit.state(now, l, sentAt)
	k.limited.Store(k.limit.Limited)
	if !changed && (agreed || now.Sub(k.reportedAt) < limitReportInterval) {
		return false
	}
	k.reportedAt = now
	return true
}

// get returns the limit.
func (k *knownLimit) get() berylpermit.Limit {
	if !k.limited.Load() {
		return berylpermit.Limit{Known: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limit.Limit
}

// mayGrantUnowned takes a token for a permit that this host grants itself, and reports whether there was one. Each of the
// fleet's hosts may use an equal part of the limit.
func (k *knownLimit) mayGrantUnowned(now time.Time, hosts int) bool {
	if !k.limited.Load() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	share := k.limit.PerSecond / float64(max(hosts, 1))
	if k.unowned == nil {
		k.unowned = rate.NewLimiter(rate.Limit(share), 1)
		k.unowned.AllowN(now, 1)
	}
	k.unowned.SetLimitAt(now, rate.Limit(share))
	return k.unowned.AllowN(now, 1)
}

// ownerLimit returns the limit to which the owner holds the upstream by its last load, or none if that load is too old.
func (v *loadView) ownerLimit(now time.Time) berylpermit.Limit {
	if l := v.reported.Load(); l != nil && now.Sub(l.receivedAt) < loadTTL {
		return l.Limit
	}
	return berylpermit.Limit{}
}

// reportLimit tells the owner of an upstream what an answer says about its limit, unless the owner knows.
func (s *Scheduler) reportLimit(h *heldPermit, l berylpermit.Limit) {
	now := time.Now()
	if !h.view.limit.observe(now, l, h.grantedAt, h.view.ownerLimit(now)) {
		return
	}
	s.sendLimit(s.table.Load(), berylpermit.LimitReport{Upstream: h.Upstream, Limit: l, SentAge: now.Sub(h.grantedAt)})
}

// sendLimit sends a report to the owner of its upstream and to this host's Owner, which may take the upstream over.
func (s *Scheduler) sendLimit(t *table, r berylpermit.LimitReport) {
	s.counters.limitReports.Inc()
	_ = s.HandleLimit(s.Host, r) // never fails
	if p := t.placements[r.Upstream]; p != nil && p.owner != "" && p.owner != s.Host {
		s.outbox.send(p.owner, message{limit: &r})
	}
}

// sendLimits reports the known limits of the upstreams whose owner has changed between two tables to their new owners.
func (s *Scheduler) sendLimits(last, next *table) {
	for name, p := range next.placements {
		l := p.view.limit.get()
		if previous := last.placements[name]; l.Limited && p.owner != "" && (previous == nil || previous.owner != p.owner) {
			s.sendLimit(next, berylpermit.LimitReport{Upstream: name, Limit: l, SentAge: loadLimitDelay})
		}
	}
}

// logLimit logs a new limit of an owned upstream.
func (s *Scheduler) logLimit(c LimitChange) {
	log := s.Log.WithField("upstream", c.Upstream)
	if !c.Limit.Limited {
		log.Info("upstream: limit ended")
		return
	}
	log.WithFields(logrus.Fields{"limit": c.Limit.PerSecond}).Info("upstream: limit named")
}
