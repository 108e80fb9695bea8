package berylsched

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"berylroad.example/berylroad/internal/berylpermit"
)

// statementInterval is the least time between two reports of an upstream's answers by one host. A host reports again only
// while the owner's loads differ from what the answers say.
const statementInterval = 100 * time.Millisecond

// knownStatement is what this host knows of one upstream from its answers and, of its limit, from its owner. In the zero
// value there is no limit and the upstream has not said that it leaves.
type knownStatement struct {
	// limited mirrors limit.Limited, so that the usual case without any limit takes no lock.
	limited atomic.Bool

	mu         sync.Mutex
	limit      rateLimit
	leavingRun int64 // the run that has said that it leaves, or zero
	reportedAt time.Time
	// unowned bounds the permits that this host grants itself.
	unowned *rate.Limiter
}

// learn applies the limit in a load that the owner reports.
func (k *knownStatement) learn(now time.Time, l berylpermit.Limit) {
	if !l.Limited && !k.limited.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.Known = true
	k.limit.state(now, l, now.Add(-loadLimitDelay))
	k.limited.Store(k.limit.Limited)
}

// observe applies what an answer says to a call sent at sentAt. It reports whether the owner, which by its last load knows
// believed, has to be told.
func (k *knownStatement) observe(now time.Time, s berylpermit.Statement, sentAt time.Time, believed berylpermit.Load) bool {
	agreed := s.Limit.Limited == believed.Limit.Limited && s.Limit.PerSecond == believed.Limit.PerSecond
	if s.Leaving && (s.Run == 0 || believed.LeavingRun != s.Run) {
		agreed = false
	}
	if agreed && !s.Leaving && !s.Limit.Limited && !k.limited.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.limit.state(now, s.Limit, sentAt)
	k.limited.Store(k.limit.Limited)
	if s.Leaving && s.Run != 0 && k.leavingRun != s.Run {
		k.leavingRun, changed = s.Run, true
	}
	if !changed && (agreed || now.Sub(k.reportedAt) < statementInterval) {
		return false
	}
	k.reportedAt = now
	return true
}

// get returns what an owner that knows nothing of the upstream has to be told, and whether there is anything.
func (k *knownStatement) get() (berylpermit.Statement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := berylpermit.Statement{Leaving: k.leavingRun != 0, Run: k.leavingRun}
	if k.limit.Limited {
		s.Limit = k.limit.Limit
	}
	return s, s.Leaving || s.Limit.Limited
}

// mayGrantUnowned takes a token for a permit that this host grants itself, and reports whether there was one. Each of the
// fleet's hosts may use an equal part of the limit.
func (k *knownStatement) mayGrantUnowned(now time.Time, hosts int) bool {
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

// lastLoad returns the last load that the owner reported, or an empty one if it is too old.
func (v *loadView) lastLoad(now time.Time) berylpermit.Load {
	if l := v.reported.Load(); l != nil && now.Sub(l.receivedAt) < loadTTL {
		return l.Load
	}
	return berylpermit.Load{}
}

// reportStatement applies what an answer says on this host, and tells the owner of the upstream unless the owner knows.
func (s *Scheduler) reportStatement(h *heldPermit, st berylpermit.Statement) {
	if st.Leaving {
		s.markLeaving(h.Upstream, st.Run, true)
	}
	now := time.Now()
	if !h.view.statement.observe(now, st, h.grantedAt, h.view.lastLoad(now)) {
		return
	}
	s.sendStatement(s.table.Load(), berylpermit.StatementReport{Upstream: h.Upstream, Statement: st, SentAge: now.Sub(h.grantedAt)})
}

// sendStatement sends a report to the owner of its upstream and to this host's Owner, which may take the upstream over.
func (s *Scheduler) sendStatement(t *table, r berylpermit.StatementReport) {
	s.counters.statements.Inc()
	_ = s.HandleStatement(s.Host, r) // never fails
	if p := t.placements[r.Upstream]; p != nil && p.owner != "" && p.owner != s.Host {
		s.outbox.send(p.owner, message{statement: &r})
	}
}

// sendStatements reports what is known of the upstreams whose owner has changed between two tables to their new owners.
func (s *Scheduler) sendStatements(last, next *table) {
	for name, p := range next.placements {
		previous := last.placements[name]
		if p.owner == "" || previous != nil && previous.owner == p.owner {
			continue
		}
		if st, known := p.view.statement.get(); known {
			s.sendStatement(next, berylpermit.StatementReport{Upstream: name, Statement: st, SentAge: loadLimitDelay})
		}
	}
}

// recordLeaving marks the upstreams that have said that they leave by the loads of their owners.
func (s *Scheduler) recordLeaving(loads []berylpermit.Load) {
	for i := range loads {
		if loads[i].LeavingRun != 0 {
			s.markLeaving(loads[i].Upstream, loads[i].LeavingRun, false)
		}
	}
}

// markLeaving passes on that a run of an upstream has said that it leaves.
func (s *Scheduler) markLeaving(upstream string, run int64, answered bool) {
	if s.OnLeaving != nil {
		s.OnLeaving(upstream, run, answered)
	}
}

// ReportStatement applies what an answer of an upstream says, whether this host owns the upstream or not. That the upstream
// leaves is only passed on in its loads: the next configuration lists it as leaving.
func (o *Owner) ReportStatement(now time.Time, r berylpermit.StatementReport) []Action {
	o.beginEvent(now)
	u := o.upstreams[r.Upstream]
	if u == nil {
		return o.actions
	}
	if r.Statement.Leaving {
		u.leavingRun = r.Statement.Run
	}
	if !u.limit.state(now, r.Statement.Limit, now.Add(-r.SentAge)) || !u.owned {
		return o.actions
	}
	o.actions = append(o.actions, Action{Kind: ActionLimit, Limit: LimitChange{Upstream: u.name, Limit: u.limit.Limit}})
	for _, t := range u.targets {
		t.refreshThroughput(now, o)
	}
	o.dispatchUpstream(now, u)
	return o.actions
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
