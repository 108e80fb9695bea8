package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// waitingReadTimeout bounds the question to the owners of jobs before a refusal.
	waitingReadTimeout = 300 * time.Millisecond
	// waitingReportFresh is how long an owner is not asked again. Together with waitingReadTimeout it stays below the second within
	// which tokens that no longer wait have to count as such.
	waitingReportFresh = 500 * time.Millisecond
	// waitingReportTTL is how long an owner's answer is used. The tokens that wait only become fewer while the job keeps its owner.
	waitingReportTTL = 5 * time.Second
	// storedCheckInterval is the least time between two reads of records before refusals, which bounds their price.
	storedCheckInterval = 100 * time.Millisecond
	// maxWaitingReports is the number of reports above which the expired ones are dropped.
	maxWaitingReports = 1024
)

// waitingReport is what the owner of a job has said of its waiting tokens.
type waitingReport struct {
	owner  string
	at     time.Time
	tokens int64
	// answered is false if the owner did not answer, or does not run the job; the job then counts with all its tokens.
	answered bool
}

// waitingCount is the sum of the waiting tokens on a route.
type waitingCount struct {
	tokens int64
	jobs   int
	// stale holds the IDs of the jobs that count with more than their owner may say now, by owner, and staleTokens their sum.
	stale       map[string][]string
	staleTokens int64
	// unsure is set if jobs count with all their tokens because their owners have not said otherwise.
	unsure bool
}

// waitsOn reports whether a job belongs to a route, under whatever name the route accepted it, and to an account. Without accounts,
// the jobs of all callers belong together. The caller holds mu.
func (m *Manager) waitsOn(j *job, route *berylroute.Route, account string) bool {
	if config := m.Routes.Get(); j.record.Account != account && (account != "" || config != nil && config.Accounts != nil) {
		return false
	}
	if j.record.Route == route.Name {
		return true
	}
	r := m.routeOf(j)
	return r != nil && r.Name == route.Name
}

// countWaiting returns the waiting tokens of an account on a route: those of the open jobs that this host knows and of the jobs in the
// guards that it does not know.
func (m *Manager) countWaiting(route *berylroute.Route, account string, guards []guardUse) waitingCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	count := waitingCount{stale: make(map[string][]string)}
	for id, j := range m.jobs {
		switch {
		case !j.record.Open() || !m.waitsOn(j, route, account):
		case j.isRunningHere():
			count.add(j.waitingTokens())
		default:
			count.addReported(m, id, j.record.Owner, j.record.Tokens, j.ownerSince, now)
		}
	}
	counted := make(map[string]bool)
	for i := range guards {
		for _, e := range guards[i].jobs {
			if m.jobs[e.ID] == nil && !counted[e.ID] {
				counted[e.ID] = true
				count.addReported(m, e.ID, e.Owner, e.Tokens, time.Time{}, now)
			}
		}
	}
	return count
}

func (c *waitingCount) add(tokens int64) {
	c.jobs++
	c.tokens += tokens
}

// addReported adds a job that this host does not run; owner has owned it since the given time.
func (c *waitingCount) addReported(m *Manager, id, owner string, tokens int64, since, now time.Time) {
	report, known := m.waitingReports[id]
	known = known && report.owner == owner && !report.at.Before(since) && now.Sub(report.at) < waitingReportTTL
	if known && report.answered {
		tokens = min(tokens, report.tokens)
	} else {
		c.unsure = true
	}
	c.add(tokens)
	if owner != "" && owner != m.Host && (!known || now.Sub(report.at) >= waitingReportFresh) {
		c.stale[owner] = append(c.stale[owner], id)
		c.staleTokens += tokens
	}
}

// waitingTokens returns the tokens of the items without a result; the caller holds Manager.mu.
func (j *job) waitingTokens() int64 {
	sum := int64(0)
	for _, it := range j.items {
		if !it.ended {
			sum += it.Tokens
		}
	}
	return sum
}

// fits reports whether a job's tokens fit the route's limit beside those that wait. Before it denies that, it asks the owners of the
// account's jobs, unless the job would not fit whatever they answered.
func (m *Manager) fits(ctx context.Context, s *Submission, tokens int64, guards []guardUse) (waitingCount, bool) {
	limit := s.Route.MaxWaitingTokens
	count := m.countWaiting(s.Route, s.Account, guards)
	if count.tokens+tokens <= limit {
		return count, true
	}
	if len(count.stale) == 0 || count.tokens-count.staleTokens+tokens > limit {
		return count, false
	}
	m.askOwners(ctx, count.stale)
	count = m.countWaiting(s.Route, s.Account, guards)
	return count, count.tokens+tokens <= limit
}

// askOwners asks the owners of jobs for the tokens that still wait and keeps their answers.
func (m *Manager) askOwners(ctx context.Context, jobs map[string][]string) {
	bounded, cancel := context.WithTimeout(ctx, waitingReadTimeout)
	defer cancel()
	var group conc.WaitGroup
	for owner, ids := range jobs {
		group.Go(func() {
			reply, err := m.Peers.ReadJob(bounded, owner, ReadRequest{Waiting: ids})
			if err != nil {
				m.Log.WithFields(logrus.Fields{"owner": owner, "jobs": len(ids)}).WithError(err).Info("job: its owner does not say which tokens wait")
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.dropWaitingReports()
			for _, id := range ids {
				tokens, answered := reply.Waiting[id]
				m.waitingReports[id] = waitingReport{owner: owner, at: time.Now(), tokens: max(tokens, 0), answered: err == nil && answered}
			}
		})
	}
	group.Wait()
}

// dropWaitingReports drops expired reports if there are many; the caller holds mu.
func (m *Manager) dropWaitingReports() {
	if len(m.waitingReports) < maxWaitingReports {
		return
	}
	for id, report := range m.waitingReports {
		if time.Since(report.at) > waitingReportTTL {
			delete(m.waitingReports, id)
		}
	}
}

// waitingOf answers another host's question for the waiting tokens of jobs. It leaves out the jobs that it does not run, unless it
// knows that they have ended.
func (m *Manager) waitingOf(ids []string) map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := make(map[string]int64)
	for _, id := range ids {
		switch j := m.jobs[id]; {
		case j == nil:
		case !j.record.Open():
			waiting[id] = 0
		case j.isRunningHere():
			waiting[id] = j.waitingTokens()
		}
	}
	return waiting
}

// isStored reports whether the store has the record of a job that is about to be refused. The job may be sent again because the host
// that accepted it was lost, and that host's other jobs count with all their tokens then. It returns false without a read if the last
// one was within storedCheckInterval.
func (m *Manager) isStored(ctx context.Context, id string) bool {
	m.mu.Lock()
	recent := time.Since(m.lastStoredCheck) < storedCheckInterval
	if !recent {
		m.lastStoredCheck = time.Now()
	}
	m.mu.Unlock()
	if recent {
		return false
	}
	_, _, refusal := m.findRecord(ctx, id)
	return refusal == nil
}
