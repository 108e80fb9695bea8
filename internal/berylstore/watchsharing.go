package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultSharedWait is how long the watch of a host waits that watches for others too, and theirs at that host. With
	// sharedSlack it bounds how old what they know can be: 1.6 s, below the 2 s within which a configuration must be in
	// force.
	defaultSharedWait = 500 * time.Millisecond
	// sharedSlack is how much older than such a wait another host's copy may be; beyond it the store is asked.
	sharedSlack = 350 * time.Millisecond
	// maxHops is over how many hosts what a host knows may come from the store.
	maxHops = 2
	// fallbackWatchWait is how long a watch waits at another host while the store can't be reached from this one.
	fallbackWatchWait = 500 * time.Millisecond
	// maxPeerWait bounds what a host waits for others.
	maxPeerWait = 10 * time.Second
	// peerSlack is how much longer than asked for that host may take to answer.
	peerSlack = 250 * time.Millisecond
	// maxFallbackAge is how old another host's copy may be for a host that does not reach the store itself: a watch's wait
	// and its slack.
	maxFallbackAge = 3 * time.Second
	// probeTimeout bounds the look whether the store can be reached again.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the least time between two looks of one host, whatever it follows: each is a call, and hundreds of hosts
	// look. relyingLook is the same while the host that watches for it answers that the store is away.
	probeInterval        = 300 * time.Millisecond
	relyingProbeInterval = 2 * time.Second
	// maxRecentEvents is how many changes a host keeps for others; who is further behind lists anew.
	maxRecentEvents = 2048
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
	return r.Complete && r.Hops < maxHops && r.Age <= maxAge(r.Hops, wait)
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

	mu          sync.Mutex
	lastProbe   time.Time // of the last look at a store that was away
	availableAt time.Time // of the last one that found it back
}

// request asks another host and waits for its answer a little longer than that one waits for a change.
func (s *WatchSharing) request(ctx context.Context, source string, request WatchRequest) (WatchReply, error) {
	bounded, cancel := context.WithTimeout(ctx, request.Wait+peerSlack)
	defer cancel()
	return s.RequestChanges(bounded, source, request)
}

// mayProbe says whether it is time for this host to look whether the store is back, or another of its followers has found
// it back since it was lost.
func (s *WatchSharing) mayProbe(now, lost time.Time, every time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.availableAt.After(lost) {
		return true
	}
	if now.Sub(s.lastProbe) < every {
		return false
	}
	s.lastProbe = now
	return true
}

// recordAvailable notes a look that has found the store back.
func (s *WatchSharing) recordAvailable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availableAt = now
}

// askFallbackHosts returns the answer of one of the hosts that may reach the store when this one does not.
func (s *WatchSharing) askFallbackHosts(ctx context.Context, prefix string, above int64) (WatchReply, bool) {
	if s == nil || s.FallbackHosts == nil {
		return WatchReply{}, false
	}
	hosts := s.FallbackHosts()
	for _, host := range hosts[:min(len(hosts), maxFallbackHosts)] {
		reply, err := s.request(ctx, host, WatchRequest{Prefix: prefix, AfterRevision: above, Wait: fallbackWatchWait})
		if err == nil && reply.Complete && reply.Age <= maxFallbackAge {
			return reply, true
		}
	}
	return WatchReply{}, false
}

// eventHistory is the latest changes under a prefix; its zero value knows none.
type eventHistory struct {
	mu      sync.Mutex
	events  []Event
	dropped int64 // changes up to here are not kept
	asOf    int64
	changed chan struct{}
}

func (r *eventHistory) reset(asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events, r.dropped, r.asOf = nil, asOf, asOf
	r.notify()
}

func (r *eventHistory) add(events []Event, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = max(r.asOf, asOf)
	if len(events) == 0 {
		return
	}
	r.events = append(r.events, events...)
	if over := len(r.events) - maxRecentEvents; over > 0 {
		r.dropped = r.events[over-1].Revision
		r.events = append([]Event(nil), r.events[over:]...)
	}
	r.notify()
}

// notify wakes those that wait; the caller holds mu.
func (r *eventHistory) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// since returns the changes above a revision and a channel that is closed at the next one.
func (r *eventHistory) since(above int64) (events []Event, asOf int64, known bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	if above < r.dropped || r.asOf == 0 {
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
	events, asOf, known, changed := f.history.since(above)
	away := f.Unavailable()
	return WatchReply{
		Complete: known && !away, HistoryMissing: !known && !away, Age: time.Since(f.LastCurrent()), Events: events, AsOf: asOf,
		Hops: int(f.hops.Load()),
	}, changed
}
