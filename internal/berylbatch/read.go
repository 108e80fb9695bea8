package berylbatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// readBytes bounds one answer with results; the callers' limit is 1 MB with its framing.
	readBytes = 600 << 10
	// peerSlack is how much longer than asked for the host that runs a job may take to answer.
	peerSlack = 400 * time.Millisecond
)

// ReadRequest asks the host that runs a job for its results from a position on, or for an item's body.
type ReadRequest struct {
	// Job is the job's ID.
	Job string `cbor:"1,keyasint"`
	// From is the first position wanted.
	From int `cbor:"2,keyasint,omitempty"`
	// Wait is how long to wait for a result.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Item names the item whose body is wanted instead, if it is not empty.
	Item string `cbor:"4,keyasint,omitempty"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	// Known says that the asked host runs the job or has all of its results.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Results are the listed results from the position on.
	Results []Result `cbor:"2,keyasint,omitempty"`
	// Body is the item's body; Found says that there is such an item.
	Body  []byte `cbor:"3,keyasint,omitempty"`
	Found bool   `cbor:"4,keyasint,omitempty"`
}

// Page is a part of a job's results.
type Page struct {
	// Total counts the job's items.
	Total int
	// Results are those from the position that was asked for.
	Results []Result
}

// Read returns the listed results from a position on. It waits for the first one, no longer than the given time.
func (d *Manager) Read(ctx context.Context, id string, from int, wait time.Duration) (Page, *beryloutcome.Refusal) {
	record, _, refusal := d.lookUp(ctx, id)
	if refusal != nil {
		return Page{}, refusal
	}
	page := Page{Total: record.Total}
	if from >= record.Total {
		return page, nil
	}
	known, have := d.local(ctx, id, from, wait)
	page.Results = have
	if known || len(have) > 0 {
		return page, nil
	}
	if record.Owner != "" && record.Owner != d.Host {
		if d.askOwner(ctx, id, record.Owner, from, wait) {
			_, page.Results = d.local(ctx, id, from, 0)
			return page, nil
		}
	}
	if !d.fill(ctx, id) {
		return Page{}, storeAway()
	}
	_, page.Results = d.local(ctx, id, from, 0)
	return page, nil
}

// local returns the results that this host knows from a position on. Where it runs the job or knows all of them it waits
// for one, and known is true.
func (d *Manager) local(ctx context.Context, id string, from int, wait time.Duration) (known bool, results []Result) {
	end := time.Now().Add(wait)
	for {
		d.mu.Lock()
		j := d.jobs[id]
		if j == nil {
			d.mu.Unlock()
			return false, nil
		}
		known = j.running() || len(j.results) >= j.record.Total
		if from < len(j.results) {
			results = clip(j.results[from:])
		}
		open, changed := j.record.Open(), j.changed
		d.mu.Unlock()
		if len(results) > 0 || !known || !open || !waitFor(ctx, changed, time.Until(end)) {
			return known, results
		}
	}
}

// clip takes as many results as one answer may hold, at least one.
func clip(results []Result) []Result {
	size := 0
	for i, r := range results {
		size += len(r.Text)
		if size > readBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

func waitFor(ctx context.Context, changed <-chan struct{}, span time.Duration) bool {
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

// askOwner reads from the host that runs the job and keeps what it says. It reports whether the position is now known as
// well as the owner knows it.
func (d *Manager) askOwner(ctx context.Context, id, owner string, from int, wait time.Duration) bool {
	have := d.have(id)
	bounded, cancel := context.WithTimeout(ctx, wait+peerSlack)
	defer cancel()
	reply, err := d.Peers.ReadJob(bounded, owner, ReadRequest{Job: id, From: min(have, from), Wait: wait})
	if err != nil || !reply.Known {
		d.Log.WithFields(logrus.Fields{"job": id, "owner": owner}).WithError(err).Info("job: its owner does not answer, reading the store")
		return false
	}
	d.keep(id, min(have, from), reply.Results)
	return true
}

// have counts the results that this host knows.
func (d *Manager) have(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[id]; j != nil {
		return len(j.results)
	}
	return 0
}

// keep adds results that last to what this host knows.
func (d *Manager) keep(id string, from int, results []Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	if j == nil || from > len(j.results) || from+len(results) <= len(j.results) {
		return
	}
	j.listedUpTo(append(j.results[:from:from], results...))
}

// fill reads a job's listed results from the store.
func (d *Manager) fill(ctx context.Context, id string) bool {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	results, err := d.loadResults(bounded, id)
	if err != nil {
		d.Log.WithError(err).WithField("job", id).Warn("job: results can't be read")
		return false
	}
	d.keep(id, 0, results)
	return true
}

// HandleRead answers another host that was asked for a job that this one runs.
func (d *Manager) HandleRead(ctx context.Context, _ string, r ReadRequest) (ReadReply, error) {
	if r.Item != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		j := d.jobs[r.Job]
		if j == nil || j.spec == nil {
			return ReadReply{}, nil
		}
		body, found := j.spec.body(r.Item)
		return ReadReply{Known: true, Body: body, Found: found}, nil
	}
	if r.From < 0 {
		return ReadReply{}, errors.New("position below zero")
	}
	known, results := d.local(ctx, r.Job, r.From, r.Wait)
	return ReadReply{Known: known, Results: results}, nil
}

func (s *Spec) body(id string) ([]byte, bool) {
	for i := range s.Items {
		if s.Items[i].ID == id {
			return s.Items[i].Body, true
		}
	}
	return nil, false
}

// ItemBody returns an item's body as its caller sent it.
func (d *Manager) ItemBody(ctx context.Context, id, itemID string) ([]byte, *beryloutcome.Refusal) {
	record, _, refusal := d.lookUp(ctx, id)
	if refusal != nil {
		return nil, refusal
	}
	reply, err := d.HandleRead(ctx, "", ReadRequest{Job: id, Item: itemID})
	if (err != nil || !reply.Known) && record.Owner != "" && record.Owner != d.Host {
		bounded, cancel := context.WithTimeout(ctx, peerSlack)
		defer cancel()
		reply, err = d.Peers.ReadJob(bounded, record.Owner, ReadRequest{Job: id, Item: itemID})
	}
	if err != nil || !reply.Known {
		bounded, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		spec, err := d.loadSpec(bounded, id)
		if err != nil || spec == nil {
			d.Log.WithError(err).WithField("job", id).Warn("job: items can't be read")
			return nil, storeAway()
		}
		d.mu.Lock()
		if j := d.jobs[id]; j != nil && j.spec == nil {
			j.spec = spec
		}
		d.mu.Unlock()
		reply.Body, reply.Found = spec.body(itemID)
	}
	if !reply.Found {
		return nil, unknownJob()
	}
	return reply.Body, nil
}
