package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// listEvery is the time for which finished items gather before they are listed. A listing costs the store one call,
	// and jobs are due in many seconds.
	listEvery = 900 * time.Millisecond
	// listSoon is that time where a job is whole or about to be due.
	listSoon = 150 * time.Millisecond
	// dueSoon is how long before a job's due time its items no longer wait for others.
	dueSoon = 2500 * time.Millisecond
	// jobsPerListing bounds the jobs in one change; each takes up to four of the store's 32 entries.
	jobsPerListing = 8
	// bytesPerListing bounds the results in one change, below the store's limit for a value.
	bytesPerListing = 512 << 10
	// loadTimeout bounds the reading of a job from the store.
	loadTimeout = 2 * time.Second
)

// segment is one listing of one job's results on its way to the store.
type segment struct {
	job    *job
	record Record
	// revision is the record's when the results were taken; the listing fails if it has changed since.
	revision int64
	from     int
	results  []Result
	done     bool
}

// commitLoop lists finished items until ctx ends.
func (d *Manager) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.commit:
		}
		if !pause(ctx, d.listDelay(time.Now())) {
			return
		}
		d.listFinished(ctx)
	}
}

// listDelay returns how long finished items may wait for others.
func (d *Manager) listDelay(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		if len(j.finished) == 0 || !j.running() {
			continue
		}
		route := d.routeOf(j)
		whole := len(j.results)+len(j.finished) == len(j.items)
		if whole || route != nil && now.Add(dueSoon).After(j.record.submitted().Add(route.CompletionTarget)) {
			return listSoon
		}
	}
	return listEvery
}

// listFinished lists all finished items; those that could not be listed are tried again later.
func (d *Manager) listFinished(ctx context.Context) bool {
	for {
		segments := d.nextSegments()
		if len(segments) == 0 {
			return true
		}
		if !d.commitSegments(ctx, segments) {
			d.nudge(d.commit)
			return false
		}
	}
}

// nextSegments takes the finished items of some jobs.
func (d *Manager) nextSegments() []segment {
	d.mu.Lock()
	defer d.mu.Unlock()
	var segments []segment
	size := 0
	for _, j := range d.jobs {
		if len(j.finished) == 0 || !j.running() {
			continue
		}
		s := segment{job: j, record: j.record, revision: j.revision, from: len(j.results)}
		for _, r := range j.finished {
			if len(s.results) > 0 && size+len(r.Text) > bytesPerListing {
				break
			}
			size += len(r.Text)
			s.results = append(s.results, r)
		}
		s.done = s.from+len(s.results) == len(j.items)
		segments = append(segments, s)
		if len(segments) == jobsPerListing || size > bytesPerListing {
			break
		}
	}
	return segments
}

// commitSegments writes listings in one change, and apart from each other when one of them is in conflict.
func (d *Manager) commitSegments(ctx context.Context, segments []segment) bool {
	var txn berylstore.Txn
	for _, s := range segments {
		key := recordKey(s.job.id)
		txn.Checks = append(txn.Checks,
			berylstore.Check{Key: key, Revision: s.revision},
			berylstore.Check{Key: segmentKey(s.job.id, s.from)})
		txn.Puts = append(txn.Puts, berylstore.Put{Key: segmentKey(s.job.id, s.from), Value: encode(s.results)})
		if s.done {
			s.record.Done = true
			txn.Puts = append(txn.Puts, berylstore.Put{Key: key, Value: encode(&s.record)})
		}
	}
	result := d.commitOnce(ctx, txn)
	switch result.Status {
	case berylstore.Done:
		d.listed(segments, result.Revision)
		return true
	case berylstore.Conflict:
		if len(segments) == 1 {
			return d.reload(ctx, segments[0].job.id)
		}
		ok := true
		for i := range segments {
			ok = d.commitSegments(ctx, segments[i:i+1]) && ok
		}
		return ok
	default:
		d.Log.WithFields(logrus.Fields{"jobs": len(segments), "status": result.Status.String()}).WithError(result.Err).Warn("job: results not listed, trying again")
		return false
	}
}

// listed notes results that last.
func (d *Manager) listed(segments []segment, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range segments {
		j := s.job
		if len(j.results) == s.from {
			j.listedUpTo(append(j.results[:s.from:s.from], s.results...))
		}
		if s.done && j.revision < revision {
			s.record.Done = true
			j.record, j.revision = s.record, revision
		}
		d.Log.WithFields(logrus.Fields{"job": j.id, "from": s.from, "results": len(s.results), "done": s.done, "revision": revision}).Info("job: results listed")
	}
}

// reload reads a job's record and results from the store, which are what counts. It reports whether it could.
func (d *Manager) reload(ctx context.Context, id string) bool {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	item, found, err := d.Store.Get(bounded, recordKey(id))
	if err != nil {
		return false
	}
	results, err := d.loadResults(bounded, id)
	if err != nil {
		d.Log.WithError(err).WithField("job", id).Warn("job: results can't be read")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !found {
		d.forget(id)
		return true
	}
	if j := d.take(item); j != nil {
		j.listedUpTo(results)
		d.Log.WithFields(logrus.Fields{"job": id, "results": len(results), "owned": d.owns(j), "revision": j.revision}).Info("job: read anew after a conflict")
	}
	return true
}

// loadResults reads a job's listed results.
func (d *Manager) loadResults(ctx context.Context, id string) ([]Result, error) {
	var results []Result
	after := ""
	for {
		page, err := d.Store.List(ctx, segmentsOf(id), after)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			part, err := decode[[]Result](item.Value)
			if err != nil {
				return nil, err
			}
			results = append(results, part...)
		}
		if !page.More || len(page.Items) == 0 {
			return results, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// loadSpec reads a job's specification.
func (d *Manager) loadSpec(ctx context.Context, id string) (*Spec, error) {
	item, found, err := d.Store.Get(ctx, specKey(id))
	if err != nil || !found {
		return nil, err
	}
	spec, err := decode[Spec](item.Value)
	return &spec, err
}
