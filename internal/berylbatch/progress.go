package berylbatch

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// progressPrefix begins the keys under which runs of hosts keep the progress of their items.
	progressPrefix = "berylroad/progress/"
	// progressInterval is the time between two records of progress, and so about the work that a lost host costs an item.
	// An item runs for some 5 s; the records of a failure domain cost the store one call together.
	progressInterval = 1500 * time.Millisecond
	// maxProgressBytes bounds one record, below the store's limit for a value.
	maxProgressBytes = 600 << 10
	// progressCacheTTL is for how long a record that was read serves further jobs of the same host.
	progressCacheTTL = 3 * time.Second
	// minProgressEvents is how many events make an item worth recording; what is less is made again as fast as it is read.
	minProgressEvents = 10
)

// progressKey names the progress of a host's run.
func progressKey(host string, boot uint64) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, host, boot)
}

// itemProgress is what of an item had arrived.
type itemProgress struct {
	// Job and Item name it.
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
	// Events counts the events, Last is the number of the last one and Text their data.
	Events int    `cbor:"3,keyasint"`
	Last   int64  `cbor:"4,keyasint"`
	Text   []byte `cbor:"5,keyasint"`
}

// progressCache is the last record that was read.
type progressCache struct {
	key    string
	readAt time.Time
	items  map[string][]itemProgress // by job
}

// progressLoop records the progress of running items until ctx ends.
func (m *Manager) progressLoop(ctx context.Context) {
	last := ""
	for {
		if !pause(ctx, progressInterval) {
			return
		}
		last = m.recordProgress(ctx, last, m.WriteProgress)
	}
}

// writeProgressAlone writes an item at once.
func (m *Manager) writeProgressAlone(ctx context.Context, put berylstore.Put) bool {
	return m.commitWithTimeout(ctx, berylstore.Txn{Puts: []berylstore.Put{put}}).Status == berylstore.Done
}

// recordProgress writes what has arrived of unfinished items, unless it is what was written last.
func (m *Manager) recordProgress(ctx context.Context, last string, record func(context.Context, berylstore.Put) bool) string {
	items, mark := m.snapshotProgress()
	if mark == last {
		return last
	}
	lease := m.Lease()
	if lease == 0 {
		return last // without a lease the record would stay for ever
	}
	if !record(ctx, berylstore.Put{Key: progressKey(m.Host, m.Boot), Value: encode(items), Lease: lease}) {
		m.Log.WithField("items", len(items)).Info("progress: not recorded")
		return last
	}
	return mark
}

// snapshotProgress returns what has arrived of unfinished items, and a mark that changes with it.
func (m *Manager) snapshotProgress() ([]itemProgress, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := []itemProgress{}
	size, events := 0, 0
	for _, j := range m.jobs {
		if !j.isRunningHere() || !j.record.Open() {
			continue
		}
		for _, it := range j.items {
			if it.ended || it.events < minProgressEvents || size+len(it.text) > maxProgressBytes {
				continue
			}
			size += len(it.text)
			events += it.events
			items = append(items, itemProgress{Job: j.id, Item: it.ID, Events: it.events, Last: it.last, Text: it.text[:len(it.text):len(it.text)]})
		}
	}
	return items, fmt.Sprint(len(items), "/", events)
}

// restoreProgress lets the items go on from what had arrived at the job's last owner.
func (j *job) restoreProgress(arrived []itemProgress) int {
	taken := 0
	for _, p := range arrived {
		for _, it := range j.items {
			if it.ID == p.Item && !it.ended {
				it.events, it.last, it.text = p.Events, p.Last, append([]byte(nil), p.Text...)
				taken++
			}
		}
	}
	return taken
}

// readProgress returns what had arrived of a job's items at its last owner. Where that can't be read they start anew.
func (m *Manager) readProgress(ctx context.Context, id string) []itemProgress {
	m.mu.Lock()
	j, cached := m.jobs[id], m.lastProgress
	if j == nil || j.record.PreviousOwner == "" {
		m.mu.Unlock()
		return nil
	}
	key := progressKey(j.record.PreviousOwner, j.record.PreviousBoot)
	m.mu.Unlock()
	if cached.key == key && time.Since(cached.readAt) < progressCacheTTL {
		return cached.items[id]
	}
	item, found, err := m.Store.Get(ctx, key)
	var list []itemProgress
	if err == nil && found {
		list, err = decode[[]itemProgress](item.Value)
	}
	if err != nil {
		m.Log.WithError(err).WithFields(logrus.Fields{"job": id, "key": key}).Warn("progress: can't be read, items start anew")
		return nil
	}
	items := make(map[string][]itemProgress)
	for _, p := range list {
		items[p.Job] = append(items[p.Job], p)
	}
	m.mu.Lock()
	m.lastProgress = progressCache{key: key, readAt: time.Now(), items: items}
	m.mu.Unlock()
	return items[id]
}
