package berylquarantine

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// Prefix is the key prefix of the verdicts in the store.
	Prefix = "berylroad/quarantine/"
	// sharedWait is how long a watch of the verdicts waits if it also serves other hosts. A host that hears nothing from the
	// others must know a verdict within 3 s.
	sharedWait = time.Second
	// persistInterval is the time between two attempts to write to the store.
	persistInterval = 500 * time.Millisecond
	// foreignWriteDelay is how long a host waits, for itself and each host that ranks before it, for another host to write a
	// verdict before it does.
	foreignWriteDelay = 3 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

func encode(v Verdict) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // The encoding cannot fail, because Verdict contains only strings and numbers.
	}
	return data
}

// persist writes new verdicts to the store and deletes lifted ones until ctx ends.
func (q *Quarantine) persist(ctx context.Context) {
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case <-ticker.C:
		}
		now := time.Now()
		for _, v := range q.unwritten(now) {
			q.write(ctx, v)
		}
		q.expireVerdicts(now)
		for _, key := range q.undeleted() {
			q.delete(ctx, key)
		}
	}
}

// unwritten returns the verdicts that this host has to write. One of another host is written when that host has not done so in
// time, for example since it was lost.
func (q *Quarantine) unwritten(now time.Time) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []Verdict
	for key, v := range q.verdicts.byKey {
		if v.revision != 0 {
			continue
		}
		if q.own[key] || now.Sub(v.knownSince) >= foreignWriteDelay && now.Sub(v.knownSince) >= foreignWriteDelay*time.Duration(1+q.Rank(Prefix+key)) {
			due = append(due, v.Verdict)
		}
	}
	return due
}

// write writes a verdict unless the store holds one with its key.
func (q *Quarantine) write(ctx context.Context, v Verdict) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := v.Key()
	result := q.Store.Commit(ctx, berylstore.Txn{
		Checks: []berylstore.Check{{Key: Prefix + key}},
		Puts:   []berylstore.Put{{Key: Prefix + key, Value: encode(v)}},
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case result.Status == berylstore.Done:
		if held := q.verdicts.byKey[key]; held != nil {
			held.revision = max(held.revision, result.Revision)
		}
		q.Log.WithFields(logrus.Fields{"quarantine": key, "revision": result.Revision}).Info("quarantine: verdict written")
	case result.Status == berylstore.Conflict && len(result.Current) > 0:
		q.install(result.Current[0], time.Now())
	default:
		q.Log.WithError(result.Err).WithFields(logrus.Fields{"quarantine": key, "status": result.Status.String()}).Warn("quarantine: verdict not written, trying again")
	}
}

// expireVerdicts drops the verdicts whose time is over. The host that ranks first deletes them from the store.
func (q *Quarantine) expireVerdicts(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range q.verdicts.list() {
		if !v.expired(now) {
			continue
		}
		key := v.Key()
		q.remove(key)
		q.Log.WithField("quarantine", key).Info("quarantine: verdict expired")
		if q.Rank(Prefix+key) == 0 {
			q.lifted[key] = true
		}
	}
}

// undeleted returns the keys of the verdicts that this host has to delete from the store.
func (q *Quarantine) undeleted() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.lifted))
}

// delete deletes a lifted verdict from the store.
func (q *Quarantine) delete(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result := q.Store.Commit(ctx, berylstore.Txn{Deletes: []string{Prefix + key}})
	q.mu.Lock()
	defer q.mu.Unlock()
	if result.Status != berylstore.Done {
		q.Log.WithError(result.Err).WithFields(logrus.Fields{"quarantine": key, "status": result.Status.String()}).Warn("quarantine: verdict not deleted, trying again")
		return
	}
	delete(q.lifted, key)
	q.Log.WithFields(logrus.Fields{"quarantine": key, "revision": result.Revision}).Info("quarantine: verdict deleted")
}

// reset takes in all verdicts in the store. Those that were there and are not any more have been lifted.
func (q *Quarantine) reset(items []berylstore.Item, asOf int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, Prefix)] = true
		q.install(item, now)
	}
	for _, v := range q.verdicts.list() {
		if key := v.Key(); v.revision != 0 && v.revision <= asOf && !listed[key] {
			q.remove(key)
		}
	}
}

// apply takes in changes of the verdicts in the store.
func (q *Quarantine) apply(events []berylstore.Event, _ int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, e := range events {
		if e.Deleted {
			q.remove(strings.TrimPrefix(e.Key, Prefix))
			continue
		}
		q.install(e.Item, now)
	}
}

// install takes in a verdict from the store, unless this host has lifted it. The caller holds mu.
func (q *Quarantine) install(item berylstore.Item, now time.Time) {
	var v Verdict
	err := cbor.Unmarshal(item.Value, &v)
	key := strings.TrimPrefix(item.Key, Prefix)
	if err == nil {
		err = v.check()
	}
	if err == nil && v.Key() != key {
		err = errors.Newf("the verdict belongs to the key %s", v.Key())
	}
	if err != nil {
		q.Log.WithError(err).WithField("key", item.Key).Error("quarantine: verdict can't be read")
		return
	}
	if q.lifted[key] || v.expired(now) {
		return
	}
	if q.verdicts.put(v, item.Revision, now) {
		q.logInstalled(&v, item.Revision)
	}
}

func (q *Quarantine) logInstalled(v *Verdict, revision int64) {
	q.Log.WithFields(logrus.Fields{
		"quarantine": v.Key(), "prompt-parts": strings.Join(v.Parts, ","), "passed-by": v.Host, "trials": v.Trials, "revision": revision,
	}).Warn("quarantine: verdict installed")
}
