package berylbatch

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
	"berylroad.example/berylroad/internal/berylversion"
)

const (
	// progressPrefix is the key prefix under which each host run stores the progress of its items.
	progressPrefix = "berylroad/progress/"
	// progressInterval is the time between two writes of progress, and so about the work that an item loses when its host
	// is lost. An item runs for about 5 s. The writes of all hosts of a failure domain cost the store one call together.
	progressInterval = 1500 * time.Millisecond
	// maxProgressBytes bounds the text in one write of progress, in bytes, below the store's limit for a value.
	maxProgressBytes = 600 << 10
	// progressCacheTTL is how long progress that was read from the store is reused for further jobs of the same host run.
	progressCacheTTL = 3 * time.Second
	// minProgressEvents is the number of events from which an item's progress is stored; fewer are generated again as fast
	// as they could be read from the store.
	minProgressEvents = 10
)

// progressKey returns the key of the progress of a host run.
func progressKey(host string, boot uint64) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, host, boot)
}

// itemProgress is the part of an unfinished item's answer that has been received.
type itemProgress struct {
	// Job and Item are the IDs of the job and the item.
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
	// Events is the number of events received, Last the ID of the last one and Text their data.
	Events int    `cbor:"3,keyasint"`
	Last   int64  `cbor:"4,keyasint"`
	Text   []byte `cbor:"5,keyasint"`
	// Version is the software version, and Service the service, of the upstream that sent the text.
	Version string `cbor:"6,keyasint,omitempty"`
	Service string `cbor:"7,keyasint,omitempty"`
}

// progressCache holds the result of the last read of progress from the store, which covers all jobs of one host run.
type progressCache struct {
	key    string
	readAt time.Time
	items  map[string][]itemProgress // by job ID
}

// progressLoop stores the progress of unfinished items until ctx ends.
func (m *Manager) progressLoop(ctx context.Context) {
	last := ""
	for {
		if !pause(ctx, progressInterval) {
			return
		}
		last = m.recordProgress(ctx, last, m.WriteProgress)
	}
}

// writeProgressAlone writes a key to the store in a transaction of its own.
func (m *Manager) writeProgressAlone(ctx context.Context, put berylstore.Put) bool {
	return m.commitWithTimeout(ctx, berylstore.Txn{Puts: []berylstore.Put{put}}).Status == berylstore.Done
}

// recordProgress stores the progress of unfinished items, unless its fingerprint is that of the last write. It returns the
// fingerprint of what the store now holds.
func (m *Manager) recordProgress(ctx context.Context, last string, write func(context.Context, berylstore.Put) bool) string {
	items, fingerprint := m.snapshotProgress()
	if fingerprint == last {
		return last
	}
	lease := m.Lease()
	if lease == 0 {
		return last // without a lease the key would stay in the store forever
	}
	if !write(ctx, berylstore.Put{Key: progressKey(m.Host, m.Boot), Value: encode(items), Lease: lease}) {
		m.Log.WithField("items", len(items)).Info("progress: not recorded")
		return last
	}
	return fingerprint
}

// snapshotProgress returns the progress of unfinished items, and a fingerprint that changes when they progress.
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
			items = append(items, itemProgress{Job: j.id, Item: it.ID, Events: it.events, Last: it.last, Text: it.text[:len(it.text):len(it.text)], Version: it.origin.Version, Service: it.origin.Service})
		}
	}
	return items, fmt.Sprint(len(items), "/", events)
}

// restoreProgress lets the items resume from the progress that the job's previous owner stored. It returns the number of
// items that resume.
func (j *job) restoreProgress(stored []itemProgress) int {
	resumed := 0
	for _, p := range stored {
		for _, it := range j.items {
			if it.ID == p.Item && !it.ended {
				it.events, it.last, it.text = p.Events, p.Last, append([]byte(nil), p.Text...)
				it.origin = berylversion.Origin{Service: p.Service, Version: p.Version}
				resumed++
			}
		}
	}
	return resumed
}

// readProgress returns the progress of a job's items that its previous owner stored. If it can't be read, it returns nil
// and the items start over.
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
	var stored []itemProgress
	if err == nil && found {
		stored, err = decode[[]itemProgress](item.Value)
	}
	if err != nil {
		m.Log.WithError(err).WithFields(logrus.Fields{"job": id, "key": key}).Warn("progress: can't be read, items start anew")
		return nil
	}
	items := make(map[string][]itemProgress)
	for _, p := range stored {
		items[p.Job] = append(items[p.Job], p)
	}
	m.mu.Lock()
	m.lastProgress = progressCache{key: key, readAt: time.Now(), items: items}
	m.mu.Unlock()
	return items[id]
}
