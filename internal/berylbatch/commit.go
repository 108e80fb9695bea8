package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// commitDelay is how long finished results are collected before they are committed together. A commit costs the store
	// one call, and jobs are due only after many seconds.
	commitDelay = 900 * time.Millisecond
	// urgentCommitDelay replaces commitDelay when a job is complete, its due time is near, or its route is gone, so that no other host
	// could run its items again.
	urgentCommitDelay = 150 * time.Millisecond
	// dueSoonMargin is how long before a job's due time urgentCommitDelay applies.
	dueSoonMargin = 2500 * time.Millisecond
	// jobsPerCommit is the maximum number of jobs in one transaction. Each takes up to four entries, and the store allows 32
	// in a transaction.
	jobsPerCommit = 8
	// bytesPerCommit bounds the text in one transaction, in bytes, below the store's limit for a value.
	bytesPerCommit = 512 << 10
	// loadTimeout bounds reading a job from the store.
	loadTimeout = 2 * time.Second
)

// segment is a group of one job's finished results that are to be committed together.
type segment struct {
	job    *job
	record Record
	// revision is the record's revision when the results were collected; the commit fails if it has changed since.
	revision int64
	// from is the position of the first result in the job's results.
	from    int
	results []Result
	// completesJob is set if every item of the job has a committed result after this commit.
	completesJob bool
}

// commitLoop commits finished results until ctx ends.
func (m *Manager) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wakeCommit:
		}
		if !pause(ctx, m.nextCommitDelay(time.Now())) {
			return
		}
		m.commitFinished(ctx)
	}
}

// nextCommitDelay returns how long finished results are collected before the next commit.
func (m *Manager) nextCommitDelay(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		if len(j.finished) == 0 || !j.isRunningHere() {
			continue
		}
		route := m.routeOf(j)
		complete := len(j.results)+len(j.finished) == len(j.items)
		if complete || route == nil || now.Add(dueSoonMargin).After(j.record.submitted().Add(route.CompletionTarget)) {
			return urgentCommitDelay
		}
	}
	return commitDelay
}

// commitFinished commits all finished results. It returns false after a failed commit, which commitLoop then retries.
func (m *Manager) commitFinished(ctx context.Context) bool {
	for {
		segments := m.nextSegments()
		if len(segments) == 0 {
			return true
		}
		if !m.commitSegments(ctx, segments) {
			m.signal(m.wakeCommit)
			return false
		}
	}
}

// nextSegments collects finished results for one transaction, within the limits on jobs and bytes.
func (m *Manager) nextSegments() []segment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var segments []segment
	size := 0
	for _, j := range m.jobs {
		if len(j.finished) == 0 || !j.isRunningHere() {
			continue
		}
		s := segment{job: j, record: j.record, revision: j.revision, from: len(j.results)}
		for _, r := range j.finished {
			if len(s.results) > 0 && size+len(r.Text) > bytesPerCommit {
				break
			}
			size += len(r.Text)
			s.results = append(s.results, r)
		}
		s.completesJob = s.from+len(s.results) == len(j.items)
		segments = append(segments, s)
		if len(segments) == jobsPerCommit || size > bytesPerCommit {
			break
		}
	}
	return segments
}

// commitSegments writes segments in one transaction. After a conflict it commits each segment on its own, and reloads the
// job of a segment that conflicts on its own.
func (m *Manager) commitSegments(ctx context.Context, segments []segment) bool {
	var txn berylstore.Txn
	for _, s := range segments {
		key := recordKey(s.job.id)
		txn.Checks = append(txn.Checks,
			berylstore.Check{Key: key, Revision: s.revision},
			berylstore.Check{Key: segmentKey(s.job.id, s.from)})
		txn.Puts = append(txn.Puts, berylstore.Put{Key: segmentKey(s.job.id, s.from), Value: encode(s.results)})
		if s.completesJob {
			s.record.Done = true
			txn.Puts = append(txn.Puts, berylstore.Put{Key: key, Value: encode(&s.record)})
		}
	}
	result := m.commitWithTimeout(ctx, txn)
	switch result.Status {
	case berylstore.Done:
		m.markCommitted(segments, result.Revision)
		return true
	case berylstore.Conflict:
		if len(segments) == 1 {
			return m.reload(ctx, segments[0].job.id)
		}
		ok := true
		for i := range segments {
			ok = m.commitSegments(ctx, segments[i:i+1]) && ok
		}
		return ok
	default:
		m.Log.WithFields(logrus.Fields{"jobs": len(segments), "status": result.Status.String()}).WithError(result.Err).Warn("job: results not listed, trying again")
		return false
	}
}

// markCommitted applies a successful commit to this host's view of the jobs.
func (m *Manager) markCommitted(segments []segment, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range segments {
		j := s.job
		if len(j.results) == s.from {
			j.setCommitted(append(j.results[:s.from:s.from], s.results...))
		}
		if s.completesJob && j.revision < revision {
			s.record.Done = true
			j.record, j.revision = s.record, revision
		}
		m.Log.WithFields(logrus.Fields{"job": j.id, "from": s.from, "results": len(s.results), "done": s.completesJob, "revision": revision}).Info("job: results listed")
	}
}

// reload replaces this host's view of a job by the record and results in the store, which are authoritative. It reports
// whether it could read them.
func (m *Manager) reload(ctx context.Context, id string) bool {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	item, found, err := m.Store.Get(bounded, recordKey(id))
	if err != nil {
		return false
	}
	results, err := m.loadResults(bounded, id)
	if err != nil {
		m.Log.WithError(err).WithField("job", id).Warn("job: results can't be read")
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !found {
		m.dropJob(id)
		return true
	}
	if j := m.installRecord(item); j != nil {
		j.setCommitted(results)
		m.Log.WithFields(logrus.Fields{"job": id, "results": len(results), "owned": m.owns(j), "revision": j.revision}).Info("job: reloaded after a conflict")
	}
	return true
}

// loadResults reads a job's committed results from the store.
func (m *Manager) loadResults(ctx context.Context, id string) ([]Result, error) {
	var results []Result
	after := ""
	for {
		page, err := m.Store.List(ctx, jobSegmentPrefix(id), after)
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

// loadSpec reads a job's specification from the store; it returns nil if there is none.
func (m *Manager) loadSpec(ctx context.Context, id string) (*Spec, error) {
	item, found, err := m.Store.Get(ctx, specKey(id))
	if err != nil || !found {
		return nil, err
	}
	spec, err := decode[Spec](item.Value)
	return &spec, err
}
