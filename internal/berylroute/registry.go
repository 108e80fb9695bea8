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

// outageWindow is how long after the store's return a vanished announcement counts as lapsed in the outage.
const outageWindow = 2200 * time.Millisecond

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
	dirty     bool                 // something has changed since the last publication
	published atomic.Pointer[snapshot]
	changed   chan struct{}
}

// snapshot is the fleet at one moment; it is never changed.
type snapshot struct {
	upstreams map[string]Upstream
	leaving   map[string][]string // IDs by service
}

// All returns the upstreams by ID; the map must not be changed.
func (r *Registry) All() map[string]Upstream {
	if p := r.published.Load(); p != nil {
		return p.upstreams
	}
	return nil
}

// LeavingIDs returns the IDs of a service's upstreams that get no new work; the slice must not be changed.
func (r *Registry) LeavingIDs(service string) []string {
	if p := r.published.Load(); p != nil {
		return p.leaving[service]
	}
	return nil
}

// Get returns the upstream of that ID.
func (r *Registry) Get(id string) (Upstream, bool) {
	u, ok := r.All()[id]
	return u, ok
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// ReplaceAll takes the whole list. Upstreams that are missing from it after an outage of the store are kept for a moment.
func (r *Registry) ReplaceAll(now, regained time.Time, list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.set(u)
	}
	for id := range r.upstreams {
		if !listed[id] {
			r.removeOrKeep(now, regained, id)
		}
	}
	r.publish()
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
func (r *Registry) Apply(now, regained time.Time, changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			r.removeOrKeep(now, regained, c.Upstream.ID)
		} else {
			r.set(c.Upstream)
		}
	}
	r.publish()
}

// Put takes one upstream's announcement.
func (r *Registry) Put(u Upstream) {
	r.Apply(time.Time{}, time.Time{}, []Change{{Upstream: u}})
}

// Remove takes the removal of an announcement; regained is when the store last came back from an outage.
func (r *Registry) Remove(now, regained time.Time, id string) {
	r.Apply(now, regained, []Change{{Upstream: Upstream{ID: id}, Removed: true}})
}

// ExpireLapsed drops the upstreams that have not come back in time.
func (r *Registry) ExpireLapsed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.lapsed {
		if now.After(until) {
			r.remove(id, "lapsed in an outage of the store and did not come back")
		}
	}
	r.publish()
}

func (r *Registry) set(u Upstream) {
	if r.upstreams == nil {
		r.upstreams = make(map[string]Upstream)
		r.lapsed = make(map[string]time.Time)
	}
	delete(r.lapsed, u.ID)
	old, known := r.upstreams[u.ID]
	if known && old == u {
		return
	}
	r.upstreams[u.ID] = u
	r.dirty = true
	log := r.Log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "failure-domain": u.FailureDomain, "address": u.Address, "slots": u.Slots})
	switch {
	case u.Leaving && !old.Leaving:
		log.Info("upstream: leaving")
	case !known:
		log.Info("upstream: seen")
	case u.StartedAtMillis != old.StartedAtMillis:
		log.Info("upstream: started anew")
	}
}

func (r *Registry) removeOrKeep(now, regained time.Time, id string) {
	u, known := r.upstreams[id]
	if !known {
		return
	}
	if !u.Leaving && !regained.IsZero() && now.Sub(regained) < outageWindow {
		if _, waiting := r.lapsed[id]; !waiting {
			r.lapsed[id] = regained.Add(lapseGrace)
			r.Log.WithField("upstream", id).Info("upstream: lapsed around an outage of the store, kept for a moment")
		}
		return
	}
	r.remove(id, "its announcement was removed")
}

func (r *Registry) remove(id, reason string) {
	delete(r.upstreams, id)
	delete(r.lapsed, id)
	r.dirty = true
	r.Log.WithFields(logrus.Fields{"upstream": id, "reason": reason}).Info("upstream: gone")
}

// publish tells of what has moved, if anything has: upstreams write again and again what is known of them.
func (r *Registry) publish() {
	if !r.dirty {
		return
	}
	r.dirty = false
	next := &snapshot{upstreams: maps.Clone(r.upstreams), leaving: make(map[string][]string)}
	for _, u := range r.upstreams {
		if u.Leaving {
			next.leaving[u.Service] = append(next.leaving[u.Service], u.ID)
		}
	}
	r.published.Store(next)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// IDs returns the IDs of all upstreams, sorted.
func (r *Registry) IDs() []string {
	return slices.Sorted(maps.Keys(r.All()))
}
