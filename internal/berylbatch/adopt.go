package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// adoptEvery is how often jobs without a live owner are looked for.
	adoptEvery = 400 * time.Millisecond
	// rankDelay is how much later the next host in line tries to adopt a job, in case the one before it can't.
	rankDelay = 1500 * time.Millisecond
	// handOverTimeout bounds the giving back of jobs at a planned stop.
	handOverTimeout = 1500 * time.Millisecond
	// keepAfterRetention is how much longer than promised a job is kept, since hosts' clocks differ.
	keepAfterRetention = time.Minute
	// jobsPerHandOver bounds the jobs in one change; each takes two of the store's 32 entries.
	jobsPerHandOver = 15
)

// adoptLoop takes over the jobs of hosts that are gone and removes old ones until ctx ends.
func (d *Manager) adoptLoop(ctx context.Context) {
	orphaned := make(map[string]time.Time)
	ticker := time.NewTicker(adoptEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, id := range d.orphans(now, orphaned) {
			d.adopt(ctx, id)
		}
		d.removeOld(ctx, now)
	}
}

// orphans returns the jobs that are this host's to adopt now.
func (d *Manager) orphans(now time.Time, since map[string]time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return nil // they would only be given back
	}
	var ids []string
	for id, j := range d.jobs {
		owned := j.record.Owner != "" && d.Members.Alive(j.record.Owner, j.record.Boot)
		if d.owns(j) {
			owned = j.running()
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
		if j.record.Owner == d.Host || now.Sub(first) >= time.Duration(d.Members.Rank(id))*rankDelay {
			ids = append(ids, id)
		}
	}
	for id := range since {
		if d.jobs[id] == nil {
			delete(since, id)
		}
	}
	return ids
}

// adopt makes this host the owner of a job and runs what is left of it.
func (d *Manager) adopt(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	d.mu.Lock()
	j := d.jobs[id]
	if j == nil {
		d.mu.Unlock()
		return
	}
	record, revision := j.record, j.revision
	d.mu.Unlock()
	log := d.Log.WithFields(logrus.Fields{"job": id, "from": record.Owner, "revision": revision})
	if record.Owner != "" && !d.owns(j) {
		record.Last, record.LastBoot = record.Owner, record.Boot
	}
	record.Owner, record.Boot = d.Host, d.Boot
	record.Adoptions++
	value := encode(&record)
	result := d.commitOnce(bounded, berylstore.Txn{
		Checks: []berylstore.Check{{Key: recordKey(id), Revision: revision}},
		Puts:   []berylstore.Put{{Key: recordKey(id), Value: value}},
	})
	d.mu.Lock()
	for _, item := range result.Current {
		d.take(item)
	}
	mine := d.owns(j) && j.revision > revision // an earlier try whose answer was lost
	d.mu.Unlock()
	if result.Status != berylstore.Done && !mine {
		log.WithField("status", result.Status.String()).Info("job: not adopted")
		return
	}
	if result.Status == berylstore.Done {
		d.mu.Lock()
		d.take(berylstore.Item{Key: recordKey(id), Value: value, Revision: result.Revision})
		d.mu.Unlock()
	}
	d.loadOwned(bounded, id, log)
}

// loadOwned reads an adopted job; where it can't, the next round of adoption tries again.
func (d *Manager) loadOwned(ctx context.Context, id string, log *logrus.Entry) {
	spec, err := d.loadSpec(ctx, id)
	if err != nil || spec == nil {
		log.WithError(err).Warn("job: adopted, but its items can't be read yet")
		return
	}
	results, err := d.loadResults(ctx, id)
	if err != nil {
		log.WithError(err).Warn("job: adopted, but its results can't be read yet")
		return
	}
	arrived := d.readProgress(ctx, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	if j == nil || !d.owns(j) || j.running() {
		return
	}
	j.load(spec, results)
	taken := j.takeProgress(arrived)
	j.wakeReaders()
	d.nudge(d.wake)
	log.WithFields(logrus.Fields{"results": len(results), "items": len(spec.Items), "in-progress": taken}).Info("job: adopted")
}

// handOver lists what is finished and gives this host's jobs back, so that others need not wait for its death to be
// noticed. Unless all is set, it keeps those of which items are running.
func (d *Manager) handOver(all bool) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.listFinished(ctx)
	d.recordProgress(ctx, "", d.recordAlone)
	for {
		txn, ids := d.nextHandOver(all)
		if len(ids) == 0 {
			return
		}
		result := d.commitOnce(ctx, txn)
		d.Log.WithFields(logrus.Fields{"jobs": len(ids), "status": result.Status.String()}).Info("job: given back")
		if result.Status != berylstore.Done {
			return // others adopt them once this host is seen to be gone
		}
	}
}

// nextHandOver takes some of this host's open jobs out of its hands.
func (d *Manager) nextHandOver(all bool) (berylstore.Txn, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var txn berylstore.Txn
	var ids []string
	for id, j := range d.jobs {
		if !d.owns(j) || !j.record.Open() || len(ids) == jobsPerHandOver {
			continue
		}
		if !all && j.busy() {
			continue
		}
		record := j.record
		record.Owner, record.Boot = "", 0
		record.Last, record.LastBoot = d.Host, d.Boot
		txn.Checks = append(txn.Checks, berylstore.Check{Key: recordKey(id), Revision: j.revision})
		txn.Puts = append(txn.Puts, berylstore.Put{Key: recordKey(id), Value: encode(&record)})
		ids = append(ids, id)
		j.record = record
		j.stop()
	}
	return txn, ids
}

// removeOld removes one job that no caller may read any more.
func (d *Manager) removeOld(ctx context.Context, now time.Time) {
	d.mu.Lock()
	var old *job
	for _, j := range d.jobs {
		if !j.record.Open() && now.After(j.record.submitted().Add(d.Retention+keepAfterRetention)) && d.Members.Rank(j.id) == 0 {
			old = j
			break
		}
	}
	if old == nil {
		d.mu.Unlock()
		return
	}
	id, revision := old.id, old.revision
	d.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := d.Store.List(bounded, segmentsOf(id), "")
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
	result := d.commitOnce(bounded, txn)
	d.Log.WithFields(logrus.Fields{"job": id, "status": result.Status.String()}).Info("job: removed, its retention is over")
}
