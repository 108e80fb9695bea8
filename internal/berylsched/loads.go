package berylsched

import (
	"sync"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// loadTTL is the age from which a reported load is ignored.
	loadTTL = 2 * time.Second
	// suspectDuration is how long a host is not sent permit requests after it has failed to answer one.
	suspectDuration = time.Second
	// minLoadUpdateInterval is the least time between two stored loads of one upstream; loads in between are dropped.
	minLoadUpdateInterval = 2 * time.Millisecond
)

// loadView is the load of one upstream as this host knows it. A new table takes over the views of the previous one, so
// that a change of the table loses no reported loads or permit counts.
type loadView struct {
	// reported is the last load received from the owner, or nil.
	reported atomic.Pointer[reportedLoad]
	// ownPermits counts the permits that this host holds.
	ownPermits atomic.Int64
	statement  knownStatement
}

// reportedLoad is a load with the time of its arrival at this host.
type reportedLoad struct {
	berylpermit.Load
	receivedAt time.Time
}

// currentLoad returns the last reported load if it is younger than loadTTL. Otherwise the upstream counts as idle except
// for the permits of this host.
func (p *placement) currentLoad(now time.Time) berylpermit.Load {
	if l := p.view.reported.Load(); l != nil && now.Sub(l.receivedAt) < loadTTL {
		return l.Load
	}
	return berylpermit.Load{Upstream: p.upstream, Slots: p.slots, Online: int(p.view.ownPermits.Load())}
}

// recordLoads stores loads that arrive in an owner's reply or in the periodic exchange of loads.
func (t *table) recordLoads(now time.Time, loads []berylpermit.Load) {
	for i := range loads {
		p := t.placements[loads[i].Upstream]
		if p == nil {
			continue
		}
		if l := p.view.reported.Load(); l != nil && now.Sub(l.receivedAt) < minLoadUpdateInterval {
			continue
		}
		p.view.reported.Store(&reportedLoad{Load: loads[i], receivedAt: now})
		p.view.statement.learn(now, loads[i].Limit)
	}
}

// countOwnGrant adds a newly granted permit to the reported load, until the owner's next report replaces it.
func (p *placement) countOwnGrant(class berylpermit.Class) {
	old := p.view.reported.Load()
	if old == nil {
		return
	}
	l := *old
	if class == berylpermit.Batch {
		l.Batch++
	} else {
		l.Online++
	}
	p.view.reported.CompareAndSwap(old, &l)
}

// remoteLoads lists the loads younger than loadTTL of the upstreams that other hosts own.
func (t *table) remoteLoads(now time.Time, self string) []berylpermit.Load {
	var loads []berylpermit.Load
	for _, p := range t.placements {
		l := p.view.reported.Load()
		if l != nil && p.owner != self && now.Sub(l.receivedAt) < loadTTL {
			loads = append(loads, l.Load)
		}
	}
	return loads
}

// peerTracker records when each host was last sent a permit request and which hosts fail to answer. The zero value is
// ready to use.
type peerTracker struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the entry of one host; a zero suspectUntil means that the host is not suspect.
type peer struct {
	lastRequest  time.Time
	suspectUntil time.Time
}

func (t *peerTracker) entry(host string) *peer {
	if t.peers == nil {
		t.peers = make(map[string]*peer)
	}
	p := t.peers[host]
	if p == nil {
		p = new(peer)
		t.peers[host] = p
	}
	return p
}

// requestSent records a permit request to a host. A host that has not answered since it became suspect stays so for
// another suspectDuration, so that only one request at a time tests whether it answers again.
func (t *peerTracker) requestSent(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.entry(host)
	p.lastRequest = now
	if !p.suspectUntil.IsZero() {
		p.suspectUntil = now.Add(suspectDuration)
	}
}

// answered clears the suspicion of a host that has answered a request.
func (t *peerTracker) answered(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(host).suspectUntil = time.Time{}
}

// requestFailed makes a host suspect for suspectDuration, because a request to it has failed.
func (t *peerTracker) requestFailed(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(host).suspectUntil = now.Add(suspectDuration)
}

func (t *peerTracker) isSuspect(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[host]
	return p != nil && now.Before(p.suspectUntil)
}

// requestedSince lists the hosts that were sent a request at or after the given time and drops all other entries.
func (t *peerTracker) requestedSince(since time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make(map[string]bool)
	for host, p := range t.peers {
		if p.lastRequest.Before(since) {
			delete(t.peers, host)
			continue
		}
		hosts[host] = true
	}
	return hosts
}
