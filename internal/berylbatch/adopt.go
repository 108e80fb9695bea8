package berylbatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// adoptInterval is the time between two checks for jobs without a live owner.
	adoptInterval = 400 * time.Millisecond
	// adoptDelayPerRank is the delay between the first-ranked host's attempt to adopt a job and that of the next, which
	// takes over if the first can't.
	adoptDelayPerRank = 1500 * time.Millisecond
	// adoptedOwnerGrace is how long a host counts as up after it has become a job's owner, whatever the membership says.
	// Hosts that reach the store but not each other would otherwise adopt jobs from each other without end.
	adoptedOwnerGrace = 2500 * time.Millisecond
	// releaseTimeout bounds the release of jobs at a planned stop.
	releaseTimeout = 1500 * time.Millisecond
	// removalMargin is how long after the end of its retention a job is removed, since hosts' clocks differ.
	removalMargin = time.Minute
	// jobsPerRelease is the maximum number of jobs in one transaction. Each takes two entries (a check and a put), and the
	// store allows 32 in a transaction.
	jobsPerRelease = 15
)

// adoptLoop adopts jobs without a live owner and removes expired jobs until ctx ends.
func (m *Manager) adoptLoop(ctx context.Context) {
	orphanedSince := make(map[string]time.Time)
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, id := range m.adoptableJobs(now, orphanedSince) {
			m.adopt(ctx, id)
		}
		m.removeExpired(ctx, now)
	}
}

// adoptableJobs returns the IDs of the jobs that this host should adopt now. It keeps in orphanedSince when each job was
// first seen without a live owner.
func (m *Manager) adoptableJobs(now time.Time, orphanedSince map[string]time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil // a stopping host adopts no jobs, since it would have to release them at once
	}
	var ids []string
	config := m.Routes.Copy()
	for id, j := range m.jobs {
		owned := j.record.Owner != "" && m.Members.Alive(j.record.Owner, j.record.Boot) || j.hasNewOwner(now, m.Host)
		if m.owns(j) {
			owned = j.isRunningHere()
		}
		if !j.record.Open() || owned || j.unreadable && !m.owns(j) {
			delete(orphanedSince, id)
			continue
		}
		first, known := orphanedSince[id]
		if !known {
			first = now
			orphanedSince[id] = now
		}
		if j.record.ConfigVersion > 0 && !config.Covers(j.acceptance()) {
			continue // hosts that know the configuration of the job can run it
		}
		// A restarted host adopts its own jobs at once; other hosts wait according to their rank.
		if j.record.Owner == m.Host || now.Sub(first) >= time.Duration(m.Members.Rank(id))*adoptDelayPerRank {
			ids = append(ids, id)
		}
	}
	for id := range orphanedSince {
		if m.jobs[id] == nil {
			delete(orphanedSince, id)
		}
	}
	return ids
}

// hasNewOwner reports whether another host has become the owner so recently that it must have been up: it wrote to the store.
func (j *job) hasNewOwner(now time.Time, self string) bool {
	return j.record.Owner != "" && j.record.Owner != self && now.Sub(j.ownerSince) < adoptedOwnerGrace
}

// adopt makes this host the owner of a job and loads its unfinished items.
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
	ownedAlready, unreadable := m.owns(j), j.unreadable
	m.mu.Unlock()
	log := m.Log.WithFields(logrus.Fields{"job": id, "from": record.Owner, "revision": revision})
	if record.Account != "" {
		log = log.WithField("account", record.Account)
	}
	if unreadable {
		m.leaveToOthers(bounded, id, log)
		return
	}
	if ownedAlready {
		m.loadAdopted(bounded, id, log) // an earlier attempt to read the job has failed
		return
	}
	if record.Owner != "" {
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
	adoptedBefore := m.owns(j) && j.revision > revision // an earlier attempt took effect, but its answer was lost
	m.mu.Unlock()
	if result.Status != berylstore.Done && !adoptedBefore {
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

// loadAdopted reads an adopted job's items and results from the store and makes the items runnable. If that fails, the
// next round of adoptLoop tries again.
func (m *Manager) loadAdopted(ctx context.Context, id string, log *logrus.Entry) {
	spec, err := m.loadSpec(ctx, id)
	if errors.Is(err, errUnreadable) {
		m.leaveToOthers(ctx, id, log.WithError(err).WithField("key", specKey(id)))
		return
	}
	if err != nil || spec == nil {
		log.WithError(err).Warn("job: adopted, but its items can't be read yet")
		return
	}
	results, err := m.loadResults(ctx, id)
	if errors.Is(err, errUnreadable) {
		m.leaveToOthers(ctx, id, log.WithError(err).WithField("key", jobSegmentPrefix(id)))
		return
	}
	if err != nil {
		log.WithError(err).Warn("job: adopted, but its results can't be read yet")
		return
	}
	stored := m.readProgress(ctx, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil || !m.owns(j) || j.isRunningHere() {
		return
	}
	j.load(spec, results)
	resumed := j.restoreProgress(stored)
	j.notifyReaders()
	m.signal(m.wakeDispatch)
	log.WithFields(logrus.Fields{"results": len(results), "items": len(spec.Items), "in-progress": resumed}).Info("job: adopted")
}

// leaveToOthers gives back a job whose items or results this build can't decode, so that a host of a newer one can adopt it.
func (m *Manager) leaveToOthers(ctx context.Context, id string, log *logrus.Entry) {
	m.mu.Lock()
	j := m.jobs[id]
	if j == nil || !m.owns(j) {
		m.mu.Unlock()
		return
	}
	if !j.unreadable {
		j.unreadable = true
		log.Error("job: can't be decoded, left to other hosts")
	}
	record := j.record
	record.Owner, record.Boot = "", 0
	txn := berylstore.Txn{
		Checks: []berylstore.Check{{Key: recordKey(id), Revision: j.revision}},
		Puts:   []berylstore.Put{{Key: recordKey(id), Value: encode(&record)}},
	}
	m.mu.Unlock()
	result := m.commitWithTimeout(ctx, txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.Status == berylstore.Done {
		m.installRecord(berylstore.Item{Key: recordKey(id), Value: txn.Puts[0].Value, Revision: result.Revision})
	}
	for _, item := range result.Current {
		m.installRecord(item)
	}
}

// releaseJobs commits finished results, stores the items' progress and clears the owner of this host's jobs, so that
// other hosts adopt them before they notice that this host is down. Unless all is set, it keeps the jobs with items in
// flight or uncommitted results.
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
			return // jobs that are not released are adopted once other hosts see that this one is down
		}
	}
}

// nextRelease stops up to jobsPerRelease of this host's open jobs and returns their IDs and the transaction that clears
// their owner.
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

// removeExpired deletes one job whose retention is over from the store. A job with more segments than fit one transaction
// is deleted over several calls, its record last.
func (m *Manager) removeExpired(ctx context.Context, now time.Time) {
	m.mu.Lock()
	var expired *job
	for _, j := range m.jobs {
		if !j.record.Open() && now.After(j.record.submitted().Add(m.Retention+removalMargin)) && m.Members.Rank(j.id) == 0 {
			expired = j
			break
		}
	}
	if expired == nil {
		m.mu.Unlock()
		return
	}
	id, revision := expired.id, expired.revision
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := m.Store.List(bounded, jobSegmentPrefix(id), "")
	if err != nil {
		return
	}
	txn := berylstore.Txn{Checks: []berylstore.Check{{Key: recordKey(id), Revision: revision}}}
	// 28 segments, the check and the two other keys stay within the store's 32 entries for a transaction.
	for _, item := range page.Items[:min(len(page.Items), 28)] {
		txn.Deletes = append(txn.Deletes, item.Key)
	}
	if len(page.Items) <= 28 && !page.More {
		txn.Deletes = append(txn.Deletes, specKey(id), recordKey(id))
	}
	result := m.commitWithTimeout(bounded, txn)
	m.Log.WithFields(logrus.Fields{"job": id, "status": result.Status.String()}).Info("job: removed, its retention is over")
}
