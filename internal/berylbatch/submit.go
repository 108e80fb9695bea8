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
	// retryInterval is the time between two attempts of a transaction whose outcome is not known.
	retryInterval = 100 * time.Millisecond
	// storeRetryAfter is the Retry-After of a refusal while the store is unreachable.
	storeRetryAfter = 300 * time.Millisecond
)

// Submission is a job as a caller submits it.
type Submission struct {
	// ID is chosen by the caller; a second submission with the same ID has no effect.
	ID string
	// Account is the name of the client account that submits the job, or empty if there are no accounts.
	Account string
	// Route is the route that the job was sent to, and ConfigVersion the version of the configuration that has it.
	Route         *berylroute.Route
	ConfigVersion int64
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

		ConfigVersion: s.ConfigVersion,
	}
	for i := range s.Items {
		record.Tokens += s.Items[i].Tokens
	}
	log := m.Log.WithFields(logrus.Fields{"job": s.ID, "items": record.Total, "tokens": record.Tokens, "config-version": s.ConfigVersion})
	if m.isStopping() {
		record.Owner, record.Boot = "", 0 // another host adopts the job at once
	}
	if m.isKnown(s.ID) {
		log.Info("job: submitted again, already accepted")
		return nil
	}
	return m.accept(ctx, &s, &record, log)
}

// commitWithTimeout commits one transaction within commitTimeout, without retries.
func (m *Manager) commitWithTimeout(ctx context.Context, txn berylstore.Txn) berylstore.Result {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return m.Store.Commit(bounded, txn)
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
