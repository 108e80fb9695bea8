package berylbatch

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// commitTimeout bounds one transaction in the store, which answers within milliseconds when it is healthy.
	commitTimeout = 800 * time.Millisecond
	// acceptRetryTime is how long this host retries an acceptance whose outcome is not known. After that it answers
	// that the outcome is not known, so that the caller can try again at a host that reaches the store.
	acceptRetryTime = time.Second
	// retryInterval is the time between two attempts of a transaction whose outcome is not known.
	retryInterval = 100 * time.Millisecond
	// storeRetryAfter is the Retry-After of a refusal while the store is unreachable.
	storeRetryAfter = 300 * time.Millisecond
	// quotaRetryAfter is the Retry-After of a job over the route's token limit: about the time of one item.
	quotaRetryAfter = 2 * time.Second
)

// Submission is a job as a caller submits it.
type Submission struct {
	// ID is chosen by the caller; a second submission with the same ID has no effect.
	ID string
	// Account is the name of the client account that submits the job, or empty if there are no accounts.
	Account string
	// Route is the route that the job was sent to.
	Route *berylroute.Route
	// Host and Path are the HTTP host and path that the caller used.
	Host, Path string
	// Items are in the caller's order.
	Items []Item
}

// Submit accepts a job or returns a refusal. A nil refusal means that the job is durable: it survives the loss of this
// host.
func (m *Manager) Submit(ctx context.Context, s Submission) *beryloutcome.Refusal {
	record := Record{
		Owner:     m.Host,
		Boot:      m.Boot,
		Host:      s.Host,
		Path:      s.Path,
		Route:     s.Route.Name,
		Total:     len(s.Items),
		Submitted: time.Now().UnixMilli(),
		Account:   s.Account,
	}
	for i := range s.Items {
		record.Tokens += s.Items[i].Tokens
	}
	log := m.Log.WithFields(logrus.Fields{"job": s.ID, "items": record.Total, "tokens": record.Tokens})
	if m.isStopping() {
		record.Owner, record.Boot = "", 0 // another host adopts the job at once
	}
	if m.isKnown(s.ID) {
		log.Info("job: submitted again, already accepted")
		return nil
	}
	if waiting := m.openTokens(s.Route); s.Route.MaxWaitingTokens > 0 && waiting+record.Tokens > s.Route.MaxWaitingTokens {
		log.WithFields(logrus.Fields{"waiting-tokens": waiting, "limit": s.Route.MaxWaitingTokens}).Warn("job: refused, too many tokens wait")
		return &beryloutcome.Refusal{
			Status:     http.StatusTooManyRequests,
			Code:       beryloutcome.CodeOverLimit,
			Message:    "too many tokens wait on this route; no part of the job runs: send it again later",
			RetryAfter: quotaRetryAfter,
		}
	}
	spec := &Spec{Items: s.Items}
	value := encode(&record)
	txn := berylstore.Txn{
		Checks: []berylstore.Check{{Key: recordKey(s.ID)}},
		Puts:   []berylstore.Put{{Key: recordKey(s.ID), Value: value}, {Key: specKey(s.ID), Value: encode(spec)}},
	}
	return m.accept(ctx, s.ID, txn, value, spec, log)
}

// accept writes a new job to the store. After an attempt with an unknown outcome it retries until it is certain whether
// the job is stored, or until acceptRetryTime is over. It never tells the caller that the job won't run while an earlier
// write may still take effect.
func (m *Manager) accept(ctx context.Context, id string, txn berylstore.Txn, value []byte, spec *Spec, log *logrus.Entry) *beryloutcome.Refusal {
	mayBeStored := false
	began := time.Now()
	for {
		result := m.commitWithTimeout(ctx, txn)
		switch result.Status {
		case berylstore.Done:
			m.startAccepted(id, berylstore.Item{Key: recordKey(id), Value: value, Revision: result.Revision}, spec)
			log.WithField("revision", result.Revision).Info("job: accepted")
			return nil
		case berylstore.Conflict:
			m.mu.Lock()
			for _, item := range result.Current {
				m.installRecord(item)
			}
			j := m.jobs[id]
			if j != nil && m.owns(j) && !j.isRunningHere() && mayBeStored {
				j.load(spec, nil) // an earlier attempt has taken effect although its answer was lost
			}
			m.mu.Unlock()
			log.Info("job: already accepted")
			return nil
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

// commitWithTimeout commits one transaction within commitTimeout, without retries.
func (m *Manager) commitWithTimeout(ctx context.Context, txn berylstore.Txn) berylstore.Result {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return m.Store.Commit(bounded, txn)
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

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

func (m *Manager) isKnown(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jobs[id] != nil
}

// openTokens returns the sum of the tokens of the open jobs that belong to a route, under whatever name it accepted them.
func (m *Manager) openTokens(route *berylroute.Route) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := int64(0)
	for _, j := range m.jobs {
		if !j.record.Open() {
			continue
		}
		if r := m.routeOf(j); j.record.Route == route.Name || r != nil && r.Name == route.Name {
			sum += j.record.Tokens
		}
	}
	return sum
}

// Cancel cancels a job of an account. A nil refusal means that the cancellation is durable, so that every host stops the job's items.
func (m *Manager) Cancel(ctx context.Context, account, id string) *beryloutcome.Refusal {
	for {
		record, revision, refusal := m.lookUp(ctx, account, id)
		if refusal != nil {
			return refusal
		}
		if !record.Open() {
			return nil
		}
		record.Cancelled = true
		value := encode(&record)
		result := m.commitWithTimeout(ctx, berylstore.Txn{
			Checks: []berylstore.Check{{Key: recordKey(id), Revision: revision}},
			Puts:   []berylstore.Put{{Key: recordKey(id), Value: value}},
		})
		m.mu.Lock()
		if result.Status == berylstore.Done {
			m.installRecord(berylstore.Item{Key: recordKey(id), Value: value, Revision: result.Revision})
		}
		for _, item := range result.Current {
			m.installRecord(item)
		}
		m.mu.Unlock()
		if result.Status == berylstore.Done {
			return nil
		}
		m.Log.WithFields(logrus.Fields{"job": id, "status": result.Status.String()}).WithError(result.Err).Warn("job: cancellation not written, trying again")
		if !pause(ctx, retryInterval) {
			return storeUnavailable()
		}
	}
}

// lookUp returns the record of a job that the account may see, and its revision. It reads the store if this host has not seen
// the record. To other accounts the job is unknown.
func (m *Manager) lookUp(ctx context.Context, account, id string) (Record, int64, *beryloutcome.Refusal) {
	record, revision, refusal := m.findRecord(ctx, id)
	if refusal == nil && !record.VisibleTo(account) {
		m.Log.WithFields(logrus.Fields{"job": id, "account": account}).Info("job: belongs to another account")
		return Record{}, 0, unknownJob()
	}
	return record, revision, refusal
}

func (m *Manager) findRecord(ctx context.Context, id string) (Record, int64, *beryloutcome.Refusal) {
	m.mu.Lock()
	if j := m.jobs[id]; j != nil {
		defer m.mu.Unlock()
		return j.record, j.revision, nil
	}
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, found, err := m.Store.Get(bounded, recordKey(id))
	if err != nil {
		m.Log.WithError(err).WithField("job", id).Warn("job: not known here and the store can't be reached")
		return Record{}, 0, storeUnavailable()
	}
	if !found {
		m.Log.WithField("job", id).Info("job: unknown")
		return Record{}, 0, unknownJob()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.installRecord(item)
	if j == nil {
		return Record{}, 0, storeUnavailable()
	}
	return j.record, j.revision, nil
}

func storeUnavailable() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "the store of the jobs can't be reached; send the call again",
		RetryAfter: storeRetryAfter,
	}
}

func unknownJob() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusNotFound,
		Code:    beryloutcome.CodeNotFound,
		Message: "there is no such job",
	}
}

// pause waits for the given time; it returns false if ctx ends first.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
