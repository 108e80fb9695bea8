package berylbatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// maxReadBytes bounds the text in one page of results, in bytes; the callers' limit is 1 MB including the framing.
	maxReadBytes = 600 << 10
	// peerReadMargin is how much longer than the requested wait the job's owner may take to answer.
	peerReadMargin = 400 * time.Millisecond
)

// ReadRequest asks a job's owner for results from a position on, for an item's body or for the tokens that wait.
type ReadRequest struct {
	// Job is the ID of the job to read.
	Job string `cbor:"1,keyasint"`
	// From is the position of the first result to return.
	From int `cbor:"2,keyasint,omitempty"`
	// Wait is how long to wait for a result.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Item, if not empty, is the ID of an item whose body is to be returned instead of results.
	Item string `cbor:"4,keyasint,omitempty"`
	// Waiting, if not empty, holds the IDs of jobs whose waiting tokens are to be returned instead of results. Job is empty then, so
	// that a host that does not know this field answers that it does not know the job.
	Waiting []string `cbor:"5,keyasint,omitempty"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	// Known is set if the host that answers runs the job or has all of its results.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Results are the committed results from the requested position on.
	Results []Result `cbor:"2,keyasint,omitempty"`
	// Body is the item's body; Found is set if there is such an item.
	Body  []byte `cbor:"3,keyasint,omitempty"`
	Found bool   `cbor:"4,keyasint,omitempty"`
	// Waiting holds the tokens of the items without a result, committed or not, by job. Jobs that the host does not run are absent.
	Waiting map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// Page is a part of a job's results.
type Page struct {
	// Total is the number of the job's items.
	Total int
	// Results are the results from the requested position on.
	Results []Result
}

// Read returns the committed results from a position on. If there are none, it waits for the first, at most for the given
// time.
func (m *Manager) Read(ctx context.Context, account, id string, from int, wait time.Duration) (Page, *beryloutcome.Refusal) {
	record, _, refusal := m.lookUp(ctx, account, id)
	if refusal != nil {
		return Page{}, refusal
	}
	page := Page{Total: record.Total}
	if from >= record.Total {
		return page, nil
	}
	known, results := m.localResults(ctx, id, from, wait)
	page.Results = results
	if known || len(results) > 0 {
		return page, nil
	}
	if record.Owner != "" && record.Owner != m.Host {
		if results, ok := m.readFromOwner(ctx, id, record.Owner, from, wait); ok {
			page.Results = results
			return page, nil
		}
	}
	if !m.loadFromStore(ctx, id) {
		return Page{}, storeUnavailable()
	}
	_, page.Results = m.localResults(ctx, id, from, 0)
	return page, nil
}

// localResults returns the results that this host has seen from a position on. If this host runs the job or has all
// results, known is true and localResults waits for a result while there is none.
func (m *Manager) localResults(ctx context.Context, id string, from int, wait time.Duration) (known bool, results []Result) {
	end := time.Now().Add(wait)
	for {
		m.mu.Lock()
		j := m.jobs[id]
		if j == nil {
			m.mu.Unlock()
			return false, nil
		}
		known = j.isRunningHere() || len(j.results) >= j.record.Total
		if from < len(j.results) {
			results = limitResults(j.results[from:])
		}
		open, changed := j.record.Open(), j.changed
		m.mu.Unlock()
		if len(results) > 0 || !known || !open || !waitForChange(ctx, changed, time.Until(end)) {
			return known, results
		}
	}
}

// limitResults returns the leading results that fit one answer, at least one.
func limitResults(results []Result) []Result {
	size := 0
	for i, r := range results {
		size += len(r.Text)
		if size > maxReadBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// waitForChange reports whether changed was closed within the given time and before the end of ctx.
func waitForChange(ctx context.Context, changed <-chan struct{}, span time.Duration) bool {
	if span <= 0 {
		return false
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// readFromOwner reads the results from a position on from the job's owner, and adds them to this host's view if that has all
// before. It reports whether the owner answered and knows the job.
func (m *Manager) readFromOwner(ctx context.Context, id, owner string, from int, wait time.Duration) ([]Result, bool) {
	bounded, cancel := context.WithTimeout(ctx, wait+peerReadMargin)
	defer cancel()
	reply, err := m.Peers.ReadJob(bounded, owner, ReadRequest{Job: id, From: from, Wait: wait})
	if err != nil || !reply.Known {
		m.Log.WithFields(logrus.Fields{"job": id, "owner": owner}).WithError(err).Info("job: its owner does not answer, reading the store")
		return nil, false
	}
	m.mergeResults(id, from, reply.Results)
	return reply.Results, true
}

// mergeResults adds committed results that start at a position to this host's view of the job. It ignores results that
// would leave a gap or add nothing.
func (m *Manager) mergeResults(id string, from int, results []Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil || from > len(j.results) || from+len(results) <= len(j.results) {
		return
	}
	j.setCommitted(append(j.results[:from:from], results...))
}

// loadFromStore reads a job's committed results from the store into this host's view and reports whether it could.
func (m *Manager) loadFromStore(ctx context.Context, id string) bool {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	results, err := m.loadResults(bounded, id)
	if err != nil {
		m.Log.WithError(err).WithField("job", id).Warn("job: results can't be read")
		return false
	}
	m.mergeResults(id, 0, results)
	return true
}

// HandleRead answers a ReadRequest of another host.
func (m *Manager) HandleRead(ctx context.Context, _ string, r ReadRequest) (ReadReply, error) {
	if len(r.Waiting) > 0 {
		return ReadReply{Waiting: m.waitingOf(r.Waiting)}, nil
	}
	if r.Item != "" {
		m.mu.Lock()
		defer m.mu.Unlock()
		j := m.jobs[r.Job]
		if j == nil || j.spec == nil {
			return ReadReply{}, nil
		}
		body, found := j.spec.itemBody(r.Item)
		return ReadReply{Known: true, Body: body, Found: found}, nil
	}
	if r.From < 0 {
		return ReadReply{}, errors.New("negative result position")
	}
	known, results := m.localResults(ctx, r.Job, r.From, r.Wait)
	return ReadReply{Known: known, Results: results}, nil
}

func (s *Spec) itemBody(id string) ([]byte, bool) {
	for i := range s.Items {
		if s.Items[i].ID == id {
			return s.Items[i].Body, true
		}
	}
	return nil, false
}

// ItemBody returns an item's request body as its caller sent it.
func (m *Manager) ItemBody(ctx context.Context, account, id, itemID string) ([]byte, *beryloutcome.Refusal) {
	record, _, refusal := m.lookUp(ctx, account, id)
	if refusal != nil {
		return nil, refusal
	}
	reply, err := m.HandleRead(ctx, "", ReadRequest{Job: id, Item: itemID})
	if (err != nil || !reply.Known) && record.Owner != "" && record.Owner != m.Host {
		bounded, cancel := context.WithTimeout(ctx, peerReadMargin)
		defer cancel()
		reply, err = m.Peers.ReadJob(bounded, record.Owner, ReadRequest{Job: id, Item: itemID})
	}
	if err != nil || !reply.Known {
		bounded, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		spec, err := m.loadSpec(bounded, id)
		if err != nil || spec == nil {
			m.Log.WithError(err).WithField("job", id).Warn("job: items can't be read")
			return nil, storeUnavailable()
		}
		m.mu.Lock()
		if j := m.jobs[id]; j != nil && j.spec == nil {
			j.spec = spec
		}
		m.mu.Unlock()
		reply.Body, reply.Found = spec.itemBody(itemID)
	}
	if !reply.Found {
		return nil, unknownJob()
	}
	return reply.Body, nil
}
