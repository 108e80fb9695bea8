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
	// progressEvery is the time between two records of progress, and so about the work that a lost host costs an item.
	// An item runs for some 5 s; the records of a failure domain cost the store one call together.
	progressEvery = 1500 * time.Millisecond
	// progressBytes bounds one record, below the store's limit for a value.
	progressBytes = 600 << 10
	// progressMemory is for how long a record that was read serves further jobs of the same host.
	progressMemory = 3 * time.Second
	// leastProgress is how many events make an item worth recording; what is less is made again as fast as it is read.
	leastProgress = 10
)

// progressKey names the progress of a host's run.
func progressKey(host string, boot uint64) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, host, boot)
}

// progress is what of an item had arrived.
type progress struct {
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
	key   string
	at    time.Time
	items map[string][]progress // by job
}

// progressLoop records the progress of running items until ctx ends.
func (d *Manager) progressLoop(ctx context.Context) {
	last := ""
	for {
		if !pause(ctx, progressEvery) {
			return
		}
		last = d.recordProgress(ctx, last, d.WriteProgress)
	}
}

// recordAlone writes an item at once.
func (d *Manager) recordAlone(ctx context.Context, put berylstore.Put) bool {
	return d.commitOnce(ctx, berylstore.Txn{Puts: []berylstore.Put{put}}).Status == berylstore.Done
}

// recordProgress writes what has arrived of unfinished items, unless it is what was written last.
func (d *Manager) recordProgress(ctx context.Context, last string, record func(context.Context, berylstore.Put) bool) string {
	items, mark := d.progress()
	if mark == last {
		return last
	}
	lease := d.Lease()
	if lease == 0 {
		return last // without a lease the record would stay for ever
	}
	if !record(ctx, berylstore.Put{Key: progressKey(d.Host, d.Boot), Value: encode(items), Lease: lease}) {
		d.Log.WithField("items", len(items)).Info("progress: not recorded")
		return last
	}
	return mark
}

// progress returns what has arrived of unfinished items, and a mark that changes with it.
func (d *Manager) progress() ([]progress, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := []progress{}
	size, events := 0, 0
	for _, j := range d.jobs {
		if !j.running() || !j.record.Open() {
			continue
		}
		for _, it := range j.items {
			if it.ended || it.events < leastProgress || size+len(it.text) > progressBytes {
				continue
			}
			size += len(it.text)
			events += it.events
			items = append(items, progress{Job: j.id, Item: it.ID, Events: it.events, Last: it.last, Text: it.text[:len(it.text):len(it.text)]})
		}
	}
	return items, fmt.Sprint(len(items), "/", events)
}

// takeProgress lets the items go on from what had arrived at the job's last owner.
func (j *job) takeProgress(arrived []progress) int {
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
func (d *Manager) readProgress(ctx context.Context, id string) []progress {
	d.mu.Lock()
	j, cached := d.jobs[id], d.cache
	if j == nil || j.record.Last == "" {
		d.mu.Unlock()
		return nil
	}
	key := progressKey(j.record.Last, j.record.LastBoot)
	d.mu.Unlock()
	if cached.key == key && time.Since(cached.at) < progressMemory {
		return cached.items[id]
	}
	item, found, err := d.Store.Get(ctx, key)
	var list []progress
	if err == nil && found {
		list, err = decode[[]progress](item.Value)
	}
	if err != nil {
		d.Log.WithError(err).WithFields(logrus.Fields{"job": id, "key": key}).Warn("progress: can't be read, items start anew")
		return nil
	}
	items := make(map[string][]progress)
	for _, p := range list {
		items[p.Job] = append(items[p.Job], p)
	}
	d.mu.Lock()
	d.cache = progressCache{key: key, at: time.Now(), items: items}
	d.mu.Unlock()
	return items[id]
}
