package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// adoptInterval is how often jobs without a live owner are looked for.
	adoptInterval = 400 * time.Millisecond
	// adoptDelayPerRank is how much later the next host in line tries to adopt a job, in case the one before it can't.
	adoptDelayPerRank = 1500 * time.Millisecond
	// releaseTimeout bounds the giving back of jobs at a planned stop.
	releaseTimeout = 1500 * time.Millisecond
	// removalMargin is how much longer than promised a job is kept, since hosts' clocks differ.
	removalMargin = time.Minute
	// jobsPerRelease bounds the jobs in one change; each takes two of the store's 32 entries.
	jobsPerRelease = 15
)

// adoptLoop takes over the jobs of hosts that are gone and removes old ones until ctx ends.
func (m *Manager) adoptLoop(ctx context.Context) {
	orphaned := make(map[string]time.Time)
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, id := range m.adoptableJobs(now, orphaned) {
			m.adopt(ctx, id)
		}
		m.removeExpired(ctx, now)
	}
}

// adoptableJobs returns the jobs that are this host's to adopt now.
func (m *Manager) adoptableJobs(now time.Time, since map[string]time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil // they would only be given back
	}
	var ids []string
	for id, j := range m.jobs {
		owned := j.record.Owner != "" && m.Members.Alive(j.record.Owner, j.record.Boot)
		if m.owns(j) {
			owned = j.isRunningHere()
		}
		if !j.record.Open() || owned {
			delete(since, id)
			continue
		}
		first, known := since[id]
		if !known {
			first = now
			since[id] = now
		}
		// A host that has come back takes its own jobs up again, without waiting in line.
		if j.record.Owner == m.Host || now.Sub(first) >= time.Duration(m.Members.Rank(id))*adoptDelayPerRank {
			ids = append(ids, id)
		}
	}
	for id := range since {
		if m.jobs[id] == nil {
			delete(since, id)
		}
	}
	return ids
}

// adopt makes this host the owner of a job and runs what is left of it.
func (m *Manager) adopt(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	m.mu.Lock()
	j := m.jobs[id]
	if j == nil {
		m.mu.Unlock()
		return
	}
	record, revision := j.record, j.revision
	m.mu.Unlock()
	log := m.Log.WithFields(logrus.Fields{"job": id, "from": record.Owner, "revision": revision})
	if record.Owner != "" && !m.owns(j) {
		record.PreviousOwner, record.PreviousBoot = record.Owner, record.Boot
	}
	record.Owner, record.Boot = m.Host, m.Boot
	record.Adoptions++
	value := encode(&record)
	result := m.commitWithTimeout(bounded, berylstore.Txn{
		Checks: []berylstore.Check{{Key: recordKey(id), Revision: revision}},
		Puts:   []berylstore.Put{{Key: recordKey(id), Value: value}},
	})
	m.mu.Lock()
	for _, item := range result.Current {
		m.installRecord(item)
	}
	mine := m.owns(j) && j.revision > revision // an earlier try whose answer was lost
	m.mu.Unlock()
	if result.Status != berylstore.Done && !mine {
		log.WithField("status", result.Status.String()).Info("job: not adopted")
		return
	}
	if result.Status == berylstore.Done {
		m.mu.Lock()
		m.installRecord(berylstore.Item{Key: recordKey(id), Value: value, Revision: result.Revision})
		m.mu.Unlock()
	}
	m.loadAdopted(bounded, id, log)
}

// loadAdopted reads an adopted job; where it can't, the next round of adoption tries again.
func (m *Manager) loadAdopted(ctx context.Context, id string, log *logrus.Entry) {
	spec, err := m.loadSpec(ctx, id)
	if err != nil || spec == nil {
		log.WithError(err).Warn("job: adopted, but its items can't be read yet")
		return
	}
	results, err := m.loadResults(ctx, id)
	if err != nil {
		log.WithError(err).Warn("job: adopted, but its results can't be read yet")
		return
	}
	arrived := m.readProgress(ctx, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil || !m.owns(j) || j.isRunningHere() {
		return
	}
	j.load(spec, results)
	taken := j.restoreProgress(arrived)
	j.notifyReaders()
	m.signal(m.wakeDispatch)
	log.WithFields(logrus.Fields{"results": len(results), "items": len(spec.Items), "in-progress": taken}).Info("job: adopted")
}

// releaseJobs lists what is finished and gives this host's jobs back, so that others need not wait for its death to be
// noticed. Unless all is set, it keeps those of which items are running.
func (m *Manager) releaseJobs(all bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	m.commitFinished(ctx)
	m.recordProgress(ctx, "", m.writeProgressAlone)
	for {
		txn, ids := m.nextRelease(all)
		if len(ids) == 0 {
			return
		}
		result := m.commitWithTimeout(ctx, txn)
		m.Log.WithFields(logrus.Fields{"jobs": len(ids), "status": result.Status.String()}).Info("job: given back")
		if result.Status != berylstore.Done {
			return // others adopt them once this host is seen to be gone
		}
	}
}

// nextRelease takes some of this host's open jobs out of its hands.
func (m *Manager) nextRelease(all bool) (berylstore.Txn, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var txn berylstore.Txn
	var ids []string
	for id, j := range m.jobs {
		if !m.owns(j) || !j.record.Open() || len(ids) == jobsPerRelease {
			continue
		}
		if !all && j.hasUncommittedWork() {
			continue
		}
		record := j.record
		record.Owner, record.Boot = "", 0
		record.PreviousOwner, record.PreviousBoot = m.Host, m.Boot
		txn.Checks = append(txn.Checks, berylstore.Check{Key: recordKey(id), Revision: j.revision})
		txn.Puts = append(txn.Puts, berylstore.Put{Key: recordKey(id), Value: encode(&record)})
		ids = append(ids, id)
		j.record = record
		j.stop()
	}
	return txn, ids
}

// removeExpired removes one job that no caller may read any more.
func (m *Manager) removeExpired(ctx context.Context, now time.Time) {
	m.mu.Lock()
	var old *job
	for _, j := range m.jobs {
		if !j.record.Open() && now.After(j.record.submitted().Add(m.Retention+removalMargin)) && m.Members.Rank(j.id) == 0 {
			old = j
			break
		}
	}
	if old == nil {
		m.mu.Unlock()
		return
	}
	id, revision := old.id, old.revision
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := m.Store.List(bounded, jobSegmentPrefix(id), "")
	if err != nil {
		return
	}
	txn := berylstore.Txn{Checks: []berylstore.Check{{Key: recordKey(id), Revision: revision}}}
	for _, item := range page.Items[:min(len(page.Items), 28)] {
		txn.Deletes = append(txn.Deletes, item.Key)
	}
	if len(page.Items) <= 28 && !page.More {
		txn.Deletes = append(txn.Deletes, specKey(id), recordKey(id))
	}
	result := m.commitWithTimeout(bounded, txn)
	m.Log.WithFields(logrus.Fields{"job": id, "status": result.Status.String()}).Info("job: removed, its retention is over")
}
