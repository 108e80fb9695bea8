package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultSharedWait is how long a watch of the store waits if it also serves other hosts, and how long those hosts
	// wait for its reply. Together with sharedSlack it bounds the age of their copies at 1.6 s, below the 2 s within
	// which a configuration must be in force.
	defaultSharedWait = 500 * time.Millisecond
	// sharedSlack is how much older than these waits another host's copy may be; with an older one, the store is asked
	// instead.
	sharedSlack = 350 * time.Millisecond
	// maxHops is the maximum number of hosts over which a copy may come from the store.
	maxHops = 2
	// fallbackWatchWait is how long a watch at another host waits while this host can't reach the store.
	fallbackWatchWait = 500 * time.Millisecond
	// maxPeerWait bounds how long a host waits for changes on behalf of others.
	maxPeerWait = 10 * time.Second
	// peerSlack is how much longer than the requested wait the reply of another host may take.
	peerSlack = 250 * time.Millisecond
	// maxFallbackAge is the maximum age of another host's copy that is used while this host can't reach the store: the
	// wait of a watch and its slack.
	maxFallbackAge = 3 * time.Second
	// probeTimeout bounds one probe of whether the store can be reached again.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the shortest time between two probes of one host, however many prefixes it follows: each probe
	// is a call, and hundreds of hosts make them. relyingProbeInterval applies instead while the host that watches for
	// this one replies that it can't reach the store.
	probeInterval        = 300 * time.Millisecond
	relyingProbeInterval = 2 * time.Second
	// maxRecentEvents and maxRecentBytes bound the changes that a host keeps for other hosts under one prefix; a host that is
	// further behind has to list again. A reply may have 2 MB.
	maxRecentEvents = 2048
	maxRecentBytes  = 2 << 20
)

// WatchRequest asks another host for the changes under a prefix.
type WatchRequest struct {
	// Prefix selects the items.
	Prefix string `cbor:"1,keyasint"`
	// AfterRevision is the last revision that the requesting host has.
	AfterRevision int64 `cbor:"2,keyasint"`
	// Wait is how long to wait for a change.
	Wait time.Duration `cbor:"3,keyasint"`
}

// WatchReply is the reply to a WatchRequest.
type WatchReply struct {
	// Complete means that Events holds all changes after the requested revision; otherwise the store must be asked.
	Complete bool `cbor:"1,keyasint,omitempty"`
	// Age is how long ago the copy of the replying host was last known to be current.
	Age time.Duration `cbor:"2,keyasint"`
	// Events are the changes.
	Events []Event `cbor:"3,keyasint,omitempty"`
	// AsOf is the revision to continue from.
	AsOf int64 `cbor:"4,keyasint"`
	// Hops is the number of hosts between the replying one and the store; zero if it watches the store itself.
	Hops int `cbor:"5,keyasint,omitempty"`
	// HistoryMissing means that the replying host reaches the store, but no longer has all changes after the requested
	// revision.
	HistoryMissing bool `cbor:"6,keyasint,omitempty"`
}

// fresh reports whether the reply is complete and no older than watches with the given wait can make it. A reply that
// has come over too many hosts is not used: hosts that disagree on the members of the fleet might otherwise rely on
// each other in a cycle.
func (r *WatchReply) fresh(wait time.Duration) bool {
	return r.Complete && r.Hops < maxHops && r.Age <= maxAge(r.Hops, wait)
}

// maxAge returns the maximum age of a copy that has come over the given number of hosts, each of whose watches waits
// that long.
func maxAge(hops int, wait time.Duration) time.Duration {
	return time.Duration(hops+1)*wait + sharedSlack
}

// WatchSharing lets one host watch the store on behalf of others, so that hundreds of hosts cost the store few calls.
type WatchSharing struct {
	// Source returns the host that watches for this one, or an empty name; serving reports whether other hosts rely on
	// this one.
	Source func() (host string, serving bool)
	// FallbackHosts returns hosts that may reach the store when this one can't, best first; nil means none.
	FallbackHosts func() []string
	// RequestChanges sends a watch request to another host.
	RequestChanges func(ctx context.Context, host string, request WatchRequest) (WatchReply, error)

	mu          sync.Mutex
	lastProbe   time.Time // when a follower last probed the store while it was unavailable
	availableAt time.Time // when a probe last found the store available again
}

// request sends a watch request to another host and waits for the reply a little longer than the requested wait.
func (s *WatchSharing) request(ctx context.Context, source string, request WatchRequest) (WatchReply, error) {
	bounded, cancel := context.WithTimeout(ctx, request.Wait+peerSlack)
	defer cancel()
	return s.RequestChanges(bounded, source, request)
}

// mayProbe reports whether a follower that lost the store at lostAt may probe it: when the interval since the last
// probe of this host has passed, or when another follower has found the store available again since lostAt.
func (s *WatchSharing) mayProbe(now, lostAt time.Time, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.availableAt.After(lostAt) {
		return true
	}
	if now.Sub(s.lastProbe) < interval {
		return false
	}
	s.lastProbe = now
	return true
}

// recordAvailable records that a probe has found the store available.
func (s *WatchSharing) recordAvailable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availableAt = now
}

// askFallbackHosts requests changes from hosts that may reach the store when this one can't, and returns the first
// usable reply.
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

// eventHistory holds the most recent changes under a prefix. The zero value holds none and can't answer requests.
type eventHistory struct {
	mu      sync.Mutex
	events  []Event
	bytes   int   // of the keys and values of events
	dropped int64 // changes up to this revision are no longer held
	asOf    int64
	changed chan struct{}
}

// reset removes all changes and continues from a revision.
func (h *eventHistory) reset(asOf int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events, h.bytes, h.dropped, h.asOf = nil, 0, asOf, asOf
	h.notify()
}

// add appends changes and drops the oldest ones above maxRecentEvents and maxRecentBytes, but not the last one.
func (h *eventHistory) add(events []Event, asOf int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asOf = max(h.asOf, asOf)
	if len(events) == 0 {
		return
	}
	h.events = append(h.events, events...)
	for i := range events {
		h.bytes += events[i].size()
	}
	over := 0
	for len(h.events)-over > 1 && (len(h.events)-over > maxRecentEvents || h.bytes > maxRecentBytes) {
		h.bytes -= h.events[over].size()
		over++
	}
	if over > 0 {
		h.dropped = h.events[over-1].Revision
		h.events = append([]Event(nil), h.events[over:]...)
	}
	h.notify()
}

// size returns the bytes of the event's key and value.
func (e *Event) size() int {
	return len(e.Key) + len(e.Value)
}

// notify wakes all waiting requests; the caller holds mu.
func (h *eventHistory) notify() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// since returns the changes after a revision and whether they are complete, and a channel that is closed at the next
// change.
func (h *eventHistory) since(above int64) (events []Event, asOf int64, complete bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	if above < h.dropped || h.asOf == 0 {
		return nil, 0, false, h.changed
	}
	for i := range h.events {
		if h.events[i].Revision > above {
			events = append(events, h.events[i])
		}
	}
	return events, h.asOf, true, h.changed
}

// reply returns the reply to a watch request after a revision, and a channel that is closed at the next change.
func (f *Follower) reply(above int64) (WatchReply, <-chan struct{}) {
	events, asOf, complete, changed := f.history.since(above)
	unavailable := f.Unavailable()
	return WatchReply{
		Complete: complete && !unavailable, HistoryMissing: !complete && !unavailable,
		Age: time.Since(f.LastCurrent()), Events: events, AsOf: asOf, Hops: int(f.hops.Load()),
	}, changed
}
