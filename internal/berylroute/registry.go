package berylroute

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// lapseGrace is how long after the store's return an upstream may announce itself again before it is dropped, if its
// announcement disappeared around an outage of the store. The platform promises that this takes about two seconds
// from the store's return.
const lapseGrace = 2200 * time.Millisecond

// outageWindow is how long after the store's return a disappeared announcement is attributed to the outage.
const outageWindow = 2200 * time.Millisecond

// Upstream is one replica as it announces itself.
type Upstream struct {
	// ID identifies one run of the replica; if a later run has the same ID, its StartedAtMillis differs.
	ID string
	// Service is the name of the service that it serves.
	Service string
	// Address is its IP address and port.
	Address string
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving marks a replica that gets no new work: its announcement or, in the registry, one of its answers says that it
	// leaves.
	Leaving bool
	// Version is the version of its software, or empty if it announces none. Streams do not go on at another version.
	Version string
	// StartedAtMillis is when it started, in milliseconds of Unix time. It distinguishes runs that use the same ID.
	StartedAtMillis int64
}

// Registry holds the upstreams that this host knows. Only Log has to be set.
type Registry struct {
	// Log receives a line when an upstream appears, begins to leave, restarts, lapses or is dropped.
	Log logrus.FieldLogger

	mu        sync.Mutex
	upstreams map[string]Upstream
	lapsed    map[string]time.Time // time until which an upstream without an announcement is kept, by ID
	departing departingRuns
	// doubts holds the time until which an upstream gets no new work because it may be the run that has said that it leaves, by ID.
	doubts    map[string]time.Time
	dirty     bool // set if upstreams has changed since the last call of publish
	published atomic.Pointer[snapshot]
	changed   chan struct{}
}

// snapshot is an immutable state of the registry.
type snapshot struct {
	upstreams map[string]Upstream
	leaving   map[string][]string // IDs of the leaving upstreams, by service
	// versions holds the slots of each service's upstreams by version; those of leaving upstreams do not count.
	versions map[string]map[string]int
}

// All returns the upstreams by ID; the map must not be changed.
func (r *Registry) All() map[string]Upstream {
	if p := r.published.Load(); p != nil {
		return p.upstreams
	}
	return nil
}

// LeavingIDs returns the IDs of a service's upstreams that get no new work. The slice must not be changed.
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

// ReplaceAll replaces the whole list. Upstreams that are missing from it are dropped or, around an outage of the
// store, kept for lapseGrace. regained is when the store last came back from an outage, or zero.
func (r *Registry) ReplaceAll(now, regained time.Time, list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.set(now, u)
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
	// Upstream is the announcement. If it was removed, only its ID is set.
	Upstream Upstream
	// Removed says that the announcement was removed or describes no usable upstream.
	Removed bool
}

// Apply applies changes in order and publishes their outcome as a whole. regained is when the store last came back
// from an outage, or zero.
func (r *Registry) Apply(now, regained time.Time, changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			r.removeOrKeep(now, regained, c.Upstream.ID)
		} else {
			r.set(now, c.Upstream)
		}
	}
	r.publish()
}

// Put adds or updates one upstream and publishes the change.
func (r *Registry) Put(u Upstream) {
	r.Apply(time.Now(), time.Time{}, []Change{{Upstream: u}})
}

// Remove handles the removal of an upstream's announcement. Around an outage of the store the upstream is kept for
// lapseGrace. regained is when the store last came back from an outage, or zero.
func (r *Registry) Remove(now, regained time.Time, id string) {
	r.Apply(now, regained, []Change{{Upstream: Upstream{ID: id}, Removed: true}})
}

// MarkLeaving records that a run of an upstream has said in an answer that it leaves. It gets no new work from then on,
// whatever its announcement says, nor after its announcement has lapsed and come back. A later run under the same ID does, unless
// it may be the one that has answered. answered says that this host has just received the answer.
func (r *Registry) MarkLeaving(now time.Time, id string, startedAtMillis int64, answered bool) {
	if u, known := r.Get(id); !answered && known && u.Leaving && u.StartedAtMillis == startedAtMillis {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.departing.said(now, id)
	}
	if !r.departing.add(now, id, startedAtMillis) {
		return
	}
	u, known := r.upstreams[id]
	r.Log.WithFields(logrus.Fields{"upstream": id, "started-at-ms": startedAtMillis, "known": known && u.StartedAtMillis == startedAtMillis}).Info("upstream: says that it leaves")
	if known {
		_, inDoubt := r.doubts[id]
		u.Leaving = u.Leaving && !inDoubt // a doubt is no announcement
		r.set(now, u)
		r.publish()
	}
}

// applyDepartures marks an announced upstream as leaving if one of its answers has said so, or may have.
func (r *Registry) applyDepartures(now time.Time, u *Upstream, old Upstream) {
	switch {
	case u.Leaving || r.departing.contains(u.ID, u.StartedAtMillis):
		u.Leaving = true
		delete(r.doubts, u.ID)
	case u.StartedAtMillis == old.StartedAtMillis:
		_, u.Leaving = r.doubts[u.ID]
	case r.departing.mayHaveSaid(u):
		if r.doubts == nil {
			r.doubts = make(map[string]time.Time)
		}
		u.Leaving = true
		r.doubts[u.ID] = now.Add(doubtTime)
		r.Log.WithFields(logrus.Fields{
			"upstream": u.ID, "started-at-ms": u.StartedAtMillis, "said-at-ms": r.departing.lastSaid[u.ID].UnixMilli(),
		}).Info("upstream: may be the run that says that it leaves, gets nothing for a while")
	default:
		delete(r.doubts, u.ID)
	}
}

// endDoubts puts the upstreams back into use that have not said again that they leave.
func (r *Registry) endDoubts(now time.Time) {
	for id, until := range r.doubts {
		if !now.After(until) {
			continue
		}
		delete(r.doubts, id)
		if u, known := r.upstreams[id]; known {
			u.Leaving = false
			r.upstreams[id] = u
			r.dirty = true
			r.Log.WithField("upstream", id).Info("upstream: in use again")
		}
	}
}

// ExpireLapsed drops the upstreams that have not announced themselves again within lapseGrace.
func (r *Registry) ExpireLapsed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.lapsed {
		if now.After(until) {
			r.remove(id, "lapsed in an outage of the store and did not come back")
		}
	}
	r.departing.expire(now, r.upstreams)
	r.endDoubts(now)
	r.publish()
}

func (r *Registry) set(now time.Time, u Upstream) {
	if r.upstreams == nil {
		r.upstreams = make(map[string]Upstream)
		r.lapsed = make(map[string]time.Time)
	}
	delete(r.lapsed, u.ID)
	old, known := r.upstreams[u.ID]
	r.applyDepartures(now, &u, old)
	if known && old == u {
		return
	}
	r.upstreams[u.ID] = u
	r.dirty = true
	log := r.Log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "failure-domain": u.FailureDomain, "address": u.Address, "slots": u.Slots, "version": u.Version, "started-at-ms": u.StartedAtMillis})
	switch {
	case u.Leaving && !old.Leaving:
		log.Info("upstream: leaving")
	case !known:
		log.Info("upstream: seen")
	case u.StartedAtMillis != old.StartedAtMillis:
		log.Info("upstream: started anew")
	}
}

// removeOrKeep drops an upstream whose announcement disappeared, or keeps it for lapseGrace if that happened around
// an outage of the store. A leaving upstream is always dropped.
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
	delete(r.doubts, id)
	r.dirty = true
	r.Log.WithFields(logrus.Fields{"upstream": id, "reason": reason}).Info("upstream: gone")
}

// publish makes the changes visible, if there are any. Upstreams repeat their announcements, and an unchanged one
// must not notify those that wait for a change.
func (r *Registry) publish() {
	if !r.dirty {
		return
	}
	r.dirty = false
	next := &snapshot{upstreams: maps.Clone(r.upstreams), leaving: make(map[string][]string), versions: make(map[string]map[string]int)}
	for _, u := range r.upstreams {
		if next.versions[u.Service] == nil {
			next.versions[u.Service] = make(map[string]int)
		}
		if u.Leaving {
			next.leaving[u.Service] = append(next.leaving[u.Service], u.ID)
			next.versions[u.Service][u.Version] += 0
			continue
		}
		next.versions[u.Service][u.Version] += u.Slots
	}
	r.published.Store(next)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Services returns the services of all upstreams.
func (r *Registry) Services() []string {
	if p := r.published.Load(); p != nil {
		return slices.Collect(maps.Keys(p.versions))
	}
	return nil
}

// Versions returns the software versions of a service's upstreams, leaving or not.
func (r *Registry) Versions(service string) []string {
	if p := r.published.Load(); p != nil {
		return slices.Collect(maps.Keys(p.versions[service]))
	}
	return nil
}

// VersionSlots returns the slots of a service's upstreams by version, without those of leaving upstreams. The map is the
// caller's.
func (r *Registry) VersionSlots(service string) map[string]int {
	slots := make(map[string]int)
	if p := r.published.Load(); p != nil {
		for version, n := range p.versions[service] {
			if n > 0 {
				slots[version] = n
			}
		}
	}
	return slots
}

// IDs returns the IDs of all upstreams, sorted.
func (r *Registry) IDs() []string {
	return slices.Sorted(maps.Keys(r.All()))
}
