package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultShared is how long the watch of a host waits that watches for others too, and theirs at that host. With
	// sharedSlack it bounds how old what they know can be: 1.6 s, below the 2 s within which a configuration must be in
	// force.
	defaultShared = 500 * time.Millisecond
	// sharedSlack is how much older than such a wait another host's copy may be; beyond it the store is asked.
	sharedSlack = 350 * time.Millisecond
	// maxSteps is over how many hosts what a host knows may come from the store.
	maxSteps = 2
	// detourWait is how long a watch waits at another host while the store can't be reached from this one.
	detourWait = 500 * time.Millisecond
	// maxPeerWait bounds what a host waits for others.
	maxPeerWait = 10 * time.Second
	// peerSlack is how much longer than asked for that host may take to answer.
	peerSlack = 250 * time.Millisecond
	// oldestDetour is how old another host's copy may be for a host that does not reach the store itself: a watch's wait
	// and its slack.
	oldestDetour = 3 * time.Second
	// probeTimeout bounds the look whether the store can be reached again.
	probeTimeout = 400 * time.Millisecond
	// lookEvery is the least time between two looks of one host, whatever it follows: each is a call, and hundreds of hosts
	// look. relyingLook is the same while the host that watches for it answers that the store is away.
	lookEvery   = 300 * time.Millisecond
	relyingLook = 2 * time.Second
	// recentEvents is how many changes a host keeps for others; who is further behind lists anew.
	recentEvents = 2048
)

// WatchRequest asks another host for the changes under a prefix.
type WatchRequest struct {
	// Prefix selects the items.
	Prefix string `cbor:"1,keyasint"`
	// AfterRevision is the revision that the asking host knows.
	AfterRevision int64 `cbor:"2,keyasint"`
	// Wait is how long to wait for a change.
	Wait time.Duration `cbor:"3,keyasint"`
}

// WatchReply answers a WatchRequest.
type WatchReply struct {
	// Complete says that the asked host has all changes above the revision; if not, the store must be asked.
	Complete bool `cbor:"1,keyasint,omitempty"`
	// Age is how long ago the asked host's copy was last known to be current.
	Age time.Duration `cbor:"2,keyasint"`
	// Events are the changes.
	Events []Event `cbor:"3,keyasint,omitempty"`
	// AsOf is the revision to go on from.
	AsOf int64 `cbor:"4,keyasint"`
	// Hops counts the hosts between the asked one and the store: zero where that one asks the store itself.
	Hops int `cbor:"5,keyasint,omitempty"`
	// HistoryMissing says that the asked host reaches the store, but has no changes from as far back as the revision.
	HistoryMissing bool `cbor:"6,keyasint,omitempty"`
}

// fresh says whether the answer is whole and no older than watches which wait that long can make it. One that has come over
// more hosts than a fleet has steps is not used: hosts whose views of the fleet differ might rely on each other in a circle.
func (r *WatchReply) fresh(wait time.Duration) bool {
	return r.Complete && r.Hops < maxSteps && r.Age <= maxAge(r.Hops, wait)
}

// maxAge is how old a copy may be that has come over so many hosts whose watches wait that long each.
func maxAge(steps int, wait time.Duration) time.Duration {
	return time.Duration(steps+1)*wait + sharedSlack
}

// WatchSharing lets hosts watch for each other.
type WatchSharing struct {
	// Source returns the host that watches for this one, or an empty name; serving says that others rely on this one.
	Source func() (host string, serving bool)
	// FallbackHosts returns hosts that may reach the store when this one does not, best first; nil has none.
	FallbackHosts func() []string
	// RequestChanges asks another host.
	RequestChanges func(ctx context.Context, host string, request WatchRequest) (WatchReply, error)

	mu    sync.Mutex
	asked time.Time // of the last look at a store that was away
	found time.Time // of the last one that found it back
}

// request asks another host and waits for its answer a little longer than that one waits for a change.
func (s *WatchSharing) request(ctx context.Context, source string, request WatchRequest) (WatchReply, error) {
	bounded, cancel := context.WithTimeout(ctx, request.Wait+peerSlack)
	defer cancel()
	return s.RequestChanges(bounded, source, request)
}

// mayLook says whether it is time for this host to look whether the store is back, or another of its followers has found
// it back since it was lost.
func (s *WatchSharing) mayLook(now, lost time.Time, every time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.found.After(lost) {
		return true
	}
	if now.Sub(s.asked) < every {
		return false
	}
	s.asked = now
	return true
}

// foundBack notes a look that has found the store back.
func (s *WatchSharing) foundBack(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = now
}

// askAny returns the answer of one of the hosts that may reach the store when this one does not.
func (s *WatchSharing) askAny(ctx context.Context, prefix string, above int64) (WatchReply, bool) {
	if s == nil || s.FallbackHosts == nil {
		return WatchReply{}, false
	}
	hosts := s.FallbackHosts()
	for _, host := range hosts[:min(len(hosts), detourHosts)] {
		reply, err := s.request(ctx, host, WatchRequest{Prefix: prefix, AfterRevision: above, Wait: detourWait})
		if err == nil && reply.Complete && reply.Age <= oldestDetour {
			return reply, true
		}
	}
	return WatchReply{}, false
}

// recent is the latest changes under a prefix; its zero value knows none.
type recent struct {
	mu      sync.Mutex
	events  []Event
	floor   int64 // changes up to here are not kept
	asOf    int64
	changed chan struct{}
}

func (r *recent) reset(asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events, r.floor, r.asOf = nil, asOf, asOf
	r.notify()
}

func (r *recent) add(events []Event, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = max(r.asOf, asOf)
	if len(events) == 0 {
		return
	}
	r.events = append(r.events, events...)
	if over := len(r.events) - recentEvents; over > 0 {
		r.floor = r.events[over-1].Revision
		r.events = append([]Event(nil), r.events[over:]...)
	}
	r.notify()
}

// notify wakes those that wait; the caller holds mu.
func (r *recent) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// since returns the changes above a revision and a channel that is closed at the next one.
func (r *recent) since(above int64) (events []Event, asOf int64, known bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	if above < r.floor || r.asOf == 0 {
		return nil, 0, false, r.changed
	}
	for i := range r.events {
		if r.events[i].Revision > above {
			events = append(events, r.events[i])
		}
	}
	return events, r.asOf, true, r.changed
}

// reply returns what this host knows above a revision, and a channel that is closed at the next change.
func (f *Follower) reply(above int64) (WatchReply, <-chan struct{}) {
	events, asOf, known, changed := f.recent.since(above)
	away := f.Unavailable()
	return WatchReply{
		Complete: known && !away, HistoryMissing: !known && !away, Age: time.Since(f.LastCurrent()), Events: events, AsOf: asOf,
		Hops: int(f.steps.Load()),
	}, changed
}
