package berylroute

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// lapseGrace is how long an upstream whose announcement vanished around an outage of the store may take to come back.
// The platform promises about two seconds from the store's return.
const lapseGrace = 2200 * time.Millisecond

// outageMemory is how long after the store's return a vanished announcement counts as lapsed in the outage.
const outageMemory = 2200 * time.Millisecond

// Upstream is one replica as it announces itself.
type Upstream struct {
	// ID names this run of the replica.
	ID string
	// Service is what it serves.
	Service string
	// Address is its IP address and port.
	Address string
	// FailureDomain is where it stands.
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving marks a replica that gets no new work.
	Leaving bool
	// StartedAtMillis tells one run under the same ID from the next, in milliseconds of Unix time.
	StartedAtMillis int64
}

// Registry is the upstreams that this host knows; its zero value knows none.
type Registry struct {
	// Log takes a line for each upstream seen, leaving or gone.
	Log logrus.FieldLogger

	mu        sync.Mutex
	upstreams map[string]Upstream
	lapsed    map[string]time.Time // until when a vanished upstream is kept
	moved     bool                 // something has changed since the last publication
	published atomic.Pointer[snapshot]
	changed   chan struct{}
}

// snapshot is the fleet at one moment; it is never changed.
type snapshot struct {
	upstreams map[string]Upstream
	leaving   map[string][]string // IDs by service
}

// All returns the upstreams by ID; the map must not be changed.
func (f *Registry) All() map[string]Upstream {
	if p := f.published.Load(); p != nil {
		return p.upstreams
	}
	return nil
}

// LeavingIDs returns the IDs of a service's upstreams that get no new work; the slice must not be changed.
func (f *Registry) LeavingIDs(service string) []string {
	if p := f.published.Load(); p != nil {
		return p.leaving[service]
	}
	return nil
}

// Get returns the upstream of that ID.
func (f *Registry) Get(id string) (Upstream, bool) {
	u, ok := f.All()[id]
	return u, ok
}

// Changed returns a channel that is closed at the next change.
func (f *Registry) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// ReplaceAll takes the whole list. Upstreams that are missing from it after an outage of the store are kept for a moment.
func (f *Registry) ReplaceAll(now, regained time.Time, list []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		f.set(u)
	}
	for id := range f.upstreams {
		if !listed[id] {
			f.vanish(now, regained, id)
		}
	}
	f.publish()
}

// Change is one change of an upstream's announcement.
type Change struct {
	// Upstream is what it announces; where it is gone only its ID is set.
	Upstream Upstream
	// Removed says that its announcement was removed or names no upstream to use.
	Removed bool
}

// Apply takes changes in order and publishes what they come to at once; regained is when the store last came back from an
// outage.
func (f *Registry) Apply(now, regained time.Time, changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			f.vanish(now, regained, c.Upstream.ID)
		} else {
			f.set(c.Upstream)
		}
	}
	f.publish()
}

// Put takes one upstream's announcement.
func (f *Registry) Put(u Upstream) {
	f.Apply(time.Time{}, time.Time{}, []Change{{Upstream: u}})
}

// Remove takes the removal of an announcement; regained is when the store last came back from an outage.
func (f *Registry) Remove(now, regained time.Time, id string) {
	f.Apply(now, regained, []Change{{Upstream: Upstream{ID: id}, Removed: true}})
}

// ExpireLapsed drops the upstreams that have not come back in time.
func (f *Registry) ExpireLapsed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, until := range f.lapsed {
		if now.After(until) {
			f.drop(id, "lapsed in an outage of the store and did not come back")
		}
	}
	f.publish()
}

func (f *Registry) set(u Upstream) {
	if f.upstreams == nil {
		f.upstreams = make(map[string]Upstream)
		f.lapsed = make(map[string]time.Time)
	}
	delete(f.lapsed, u.ID)
	old, known := f.upstreams[u.ID]
	if known && old == u {
		return
	}
	f.upstreams[u.ID] = u
	f.moved = true
	log := f.Log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "failure-domain": u.FailureDomain, "address": u.Address, "slots": u.Slots})
	switch {
	case u.Leaving && !old.Leaving:
		log.Info("upstream: leaving")
	case !known:
		log.Info("upstream: seen")
	case u.StartedAtMillis != old.StartedAtMillis:
		log.Info("upstream: started anew")
	}
}

func (f *Registry) vanish(now, regained time.Time, id string) {
	u, known := f.upstreams[id]
	if !known {
		return
	}
	if !u.Leaving && !regained.IsZero() && now.Sub(regained) < outageMemory {
		if _, waiting := f.lapsed[id]; !waiting {
			f.lapsed[id] = regained.Add(lapseGrace)
			f.Log.WithField("upstream", id).Info("upstream: lapsed around an outage of the store, kept for a moment")
		}
		return
	}
	f.drop(id, "its announcement was removed")
}

func (f *Registry) drop(id, reason string) {
	delete(f.upstreams, id)
	delete(f.lapsed, id)
	f.moved = true
	f.Log.WithFields(logrus.Fields{"upstream": id, "reason": reason}).Info("upstream: gone")
}

// publish tells of what has moved, if anything has: upstreams write again and again what is known of them.
func (f *Registry) publish() {
	if !f.moved {
		return
	}
	f.moved = false
	next := &snapshot{upstreams: maps.Clone(f.upstreams), leaving: make(map[string][]string)}
	for _, u := range f.upstreams {
		if u.Leaving {
			next.leaving[u.Service] = append(next.leaving[u.Service], u.ID)
		}
	}
	f.published.Store(next)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// IDs returns the IDs of all upstreams, sorted.
func (f *Registry) IDs() []string {
	return slices.Sorted(maps.Keys(f.All()))
}
