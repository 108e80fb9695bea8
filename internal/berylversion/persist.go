package berylversion

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// Prefix is the key prefix of the records in the store; the rest of a key is the service.
	Prefix = "berylroad/versions/"
	// sharedWait is how long a watch of the records waits if it also serves other hosts.
	sharedWait = time.Second
	// persistInterval is the time between two looks at what has to be written, if no upstream changes.
	persistInterval = 200 * time.Millisecond
	// rankDelay is how long a host waits, for each host that ranks before it, for another one to change a record.
	rankDelay = 700 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

// record is what the store holds for one service.
type record struct {
	Versions []Listed `cbor:"1,keyasint"`
}

// proposal is a change of a record that this host has to write.
type proposal struct {
	service  string
	revision int64
	listed   []Listed
}

// persist writes the records that have to change until ctx ends.
func (v *Versions) persist(ctx context.Context) {
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		upstreamsChanged := v.Upstreams.Changed()
		for _, p := range v.due(time.Now()) {
			v.write(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-upstreamsChanged:
		case <-ticker.C:
		}
	}
}

// due returns the changes that this host has to write. The host that ranks first writes them, the others do so in turn if
// it does not.
func (v *Versions) due(now time.Time) []proposal {
	if v.follower.LastCurrent().IsZero() {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, service := range v.Upstreams.Services() {
		v.see(now, service)
	}
	var list []proposal
	for _, service := range v.table.Services() {
		listed, changed := v.table.Proposal(now, service)
		if !changed {
			delete(v.proposedAt, service)
			continue
		}
		if v.proposedAt[service].IsZero() {
			v.proposedAt[service] = now
		}
		if now.Sub(v.proposedAt[service]) >= rankDelay*time.Duration(v.Rank(Prefix+service)) {
			list = append(list, proposal{service: service, revision: v.records[service], listed: listed})
		}
	}
	return list
}

// write writes a record unless it has changed in the store.
func (v *Versions) write(ctx context.Context, p proposal) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := cbor.Marshal(record{Versions: p.listed})
	if err != nil {
		panic(err) // The encoding cannot fail, because record contains only strings and numbers.
	}
	key := Prefix + p.service
	result := v.Store.Commit(ctx, berylstore.Txn{
		Checks: []berylstore.Check{{Key: key, Revision: p.revision}},
		Puts:   []berylstore.Put{{Key: key, Value: value}},
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	log := v.Log.WithFields(logrus.Fields{"service": p.service, "versions": describe(p.listed)})
	switch {
	case result.Status == berylstore.Done:
		log.WithField("revision", result.Revision).Info("versions: record written")
		v.install(p.service, p.listed, result.Revision)
	case result.Status == berylstore.Conflict && len(result.Current) > 0:
		v.installItem(result.Current[0])
	default:
		log.WithError(result.Err).WithField("status", result.Status.String()).Warn("versions: record not written, trying again")
	}
}

// install takes in a record, unless a later one is known. The caller holds mu.
func (v *Versions) install(service string, listed []Listed, revision int64) {
	if revision <= v.records[service] {
		return
	}
	v.records[service] = revision
	v.table.Install(service, listed)
}

// installItem takes in an item of the store. The caller holds mu.
func (v *Versions) installItem(item berylstore.Item) {
	var r record
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		v.Log.WithError(err).WithField("key", item.Key).Error("versions: record can't be read")
		return
	}
	service := serviceOf(item.Key)
	if item.Revision > v.records[service] {
		v.Log.WithFields(logrus.Fields{"service": service, "versions": describe(r.Versions), "revision": item.Revision}).Info("versions: record installed")
	}
	v.install(service, r.Versions, item.Revision)
}

// reset takes in all records of the store. Records are never deleted.
func (v *Versions) reset(items []berylstore.Item, _ int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, item := range items {
		v.installItem(item)
	}
}

// apply takes in changes of the records.
func (v *Versions) apply(events []berylstore.Event, _ int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			v.installItem(e.Item)
		}
	}
}
