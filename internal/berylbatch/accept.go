package berylbatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// acceptRetryTime is how long this host retries an acceptance whose outcome is not known. After that it answers
	// that the outcome is not known, so that the caller can try again at a host that reaches the store.
	acceptRetryTime = time.Second
	// conflictRetryTime is how long this host tries to accept a job while other hosts keep writing the same guard.
	conflictRetryTime = 2 * time.Second
	// maxConflictPause bounds the random pause after repeated conflicts, in the order of one transaction.
	maxConflictPause = 40 * time.Millisecond
	// quotaRetryAfter is the Retry-After of a job over the route's token limit: about the time of one item.
	quotaRetryAfter = 2 * time.Second
)

// accept writes a new job to the store. On a route with a limit, the transaction checks and rewrites the guards, and after a conflict
// accept counts the waiting tokens again. After an attempt with an unknown outcome it retries until it is certain whether the job is
// stored, or until acceptRetryTime is over. It never tells the caller that the job won't run while an earlier write may still take
// effect.
func (m *Manager) accept(ctx context.Context, s *Submission, record *Record, log *logrus.Entry) *beryloutcome.Refusal {
	spec, value, entry := &Spec{Items: s.Items}, encode(record), record.guardEntry(s.ID)
	var guards []guardUse
	if s.Route.MaxWaitingTokens > 0 {
		defer m.takeGuardTurn(ctx, guardKey(s.Route.Name, s.Account))()
		guards = m.guardsFor(s.Route, s.Account)
	}
	mayBeStored, conflicts, began := false, 0, time.Now()
	for {
		if len(guards) > 0 && !mayBeStored {
			if isListed(guards, s.ID) {
				log.Info("job: already accepted")
				return nil
			}
			if count, fits := m.fits(ctx, s, record.Tokens, guards); !fits {
				if count.unsure && conflicts == 0 && m.isStored(ctx, s.ID) {
					log.Info("job: already accepted")
					return nil
				}
				log.WithFields(logrus.Fields{
					"route": s.Route.Name, "account": s.Account, "waiting-tokens": count.tokens, "waiting-jobs": count.jobs,
					"limit": s.Route.MaxWaitingTokens, "conflicts": conflicts,
				}).Warn("job: refused, too many tokens wait")
				return tooManyTokens()
			}
		}
		result := m.commitWithTimeout(ctx, acceptance(s.ID, value, spec, entry, guards))
		switch result.Status {
		case berylstore.Done:
			m.startAccepted(s.ID, berylstore.Item{Key: recordKey(s.ID), Value: value, Revision: result.Revision}, spec)
			m.storeGuards(guards, entry, result.Revision)
			log.WithFields(logrus.Fields{"revision": result.Revision, "conflicts": conflicts}).Info("job: accepted")
			return nil
		case berylstore.Conflict:
			if len(guards) == 0 || slices.ContainsFunc(result.Current, func(item berylstore.Item) bool { return item.Key == recordKey(s.ID) }) {
				m.installAccepted(s.ID, result.Current, spec, mayBeStored)
				log.Info("job: already accepted")
				return nil
			}
			// A guard has changed since the attempts before, so their checks can't hold any more: the job is not stored.
			mayBeStored = false
			conflicts++
			if !m.learnGuards(guards, s.Account, result.Current) {
				return storeUnavailable()
			}
			if time.Since(began) < conflictRetryTime && pauseAfterConflict(ctx, conflicts) {
				continue
			}
			log.WithField("conflicts", conflicts).Warn("job: refused, other hosts keep accepting jobs of the same account")
			return storeUnavailable()
		case berylstore.Unknown:
			mayBeStored = true
			log.WithError(result.Err).Warn("job: outcome of the acceptance not known, trying again")
		default:
			if !mayBeStored {
				log.WithError(result.Err).Warn("job: refused, the store is away")
				return storeUnavailable()
			}
		}
		if time.Since(began) > acceptRetryTime || !pause(ctx, retryInterval) {
			log.Warn("job: outcome of the acceptance not known in time")
			return &beryloutcome.Refusal{
				Status:  http.StatusGatewayTimeout,
				Code:    beryloutcome.CodeUnknown,
				Message: "it is not known whether the job was accepted; send it again under the same ID",
			}
		}
	}
}

// acceptance returns the transaction that stores a new job and lists it in the guards.
func acceptance(id string, record []byte, spec *Spec, entry guardEntry, guards []guardUse) berylstore.Txn {
	txn := berylstore.Txn{
		Checks: []berylstore.Check{{Key: recordKey(id)}},
		Puts:   []berylstore.Put{{Key: recordKey(id), Value: record}, {Key: specKey(id), Value: encode(spec)}},
	}
	for i := range guards {
		txn.Checks = append(txn.Checks, berylstore.Check{Key: guards[i].key, Revision: guards[i].revision})
		txn.Puts = append(txn.Puts, berylstore.Put{Key: guards[i].key, Value: encode(guards[i].with(entry))})
	}
	return txn
}

// isListed reports whether one of the guards lists a job, which has been accepted then.
func isListed(guards []guardUse, id string) bool {
	return slices.ContainsFunc(guards, func(u guardUse) bool {
		return slices.ContainsFunc(u.jobs, func(e guardEntry) bool { return e.ID == id })
	})
}

// pauseAfterConflict waits before the next attempt, after the first conflict not at all. It returns false if ctx ends first.
func pauseAfterConflict(ctx context.Context, conflicts int) bool {
	if conflicts == 1 {
		return ctx.Err() == nil
	}
	return pause(ctx, rand.N(min(time.Duration(conflicts)*5*time.Millisecond, maxConflictPause)))
}

// installAccepted installs the record of a job that was accepted before. If an attempt of this host has taken effect although its
// answer was lost, it makes the job's items runnable.
func (m *Manager) installAccepted(id string, current []berylstore.Item, spec *Spec, mayBeOurs bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range current {
		if item.Key == recordKey(id) {
			m.installRecord(item)
		}
	}
	if j := m.jobs[id]; j != nil && m.owns(j) && !j.isRunningHere() && mayBeOurs {
		j.load(spec, nil)
	}
}

// startAccepted installs a newly accepted job and makes its items runnable if this host owns it.
func (m *Manager) startAccepted(id string, record berylstore.Item, spec *Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.installRecord(record)
	if m.owns(j) && !j.isRunningHere() {
		j.load(spec, nil)
	}
	m.signal(m.wakeDispatch)
}

func tooManyTokens() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       beryloutcome.CodeOverLimit,
		Message:    "too many tokens wait on this route; no part of the job runs: send it again later",
		RetryAfter: quotaRetryAfter,
	}
}
