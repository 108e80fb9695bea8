package berylsched

import (
	"sync"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// loadTTL is how long a load is worth using.
	loadTTL = 2 * time.Second
	// suspectDuration is how long a host that did not answer is left out.
	suspectDuration = time.Second
	// minLoadUpdateInterval is the least time between two loads of one upstream that are stored.
	minLoadUpdateInterval = 2 * time.Millisecond
)

// loadView is what this host knows of one upstream; it outlives the tables.
type loadView struct {
	reported atomic.Pointer[reportedLoad]
	// ownPermits counts this host's ownPermits permits.
	ownPermits atomic.Int64
}

type reportedLoad struct {
	berylpermit.Load
	receivedAt time.Time
}

// currentLoad returns the load if it is worth using; an unknown upstream counts as free but for this host's own calls.
func (p *placement) currentLoad(now time.Time) berylpermit.Load {
	if l := p.view.reported.Load(); l != nil && now.Sub(l.receivedAt) < loadTTL {
		return l.Load
	}
	return berylpermit.Load{Upstream: p.upstream, Slots: p.slots, Online: int(p.view.ownPermits.Load())}
}

// recordLoads stores loads that come from an owner's reply or from gossip.
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
	}
}

// countOwnGrant counts a permit of this host until the owner's next word on the upstream.
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

// remoteLoads lists the fresh loads of the upstreams that other hosts own.
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

// peerTracker keeps when each host was last asked and which ones do not answer; the zero value is empty.
type peerTracker struct {
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	lastRequest  time.Time
	suspectUntil time.Time
}

func (b *peerTracker) entry(host string) *peer {
	if b.peers == nil {
		b.peers = make(map[string]*peer)
	}
	p := b.peers[host]
	if p == nil {
		p = new(peer)
		b.peers[host] = p
	}
	return p
}

// requestSent notes an ask to a host. A host under suspicion is suspected again until it answers, so that one ask alone
// finds out whether it is back.
func (b *peerTracker) requestSent(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.entry(host)
	p.lastRequest = now
	if !p.suspectUntil.IsZero() {
		p.suspectUntil = now.Add(suspectDuration)
	}
}

func (b *peerTracker) answered(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(host).suspectUntil = time.Time{}
}

func (b *peerTracker) timedOut(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(host).suspectUntil = now.Add(suspectDuration)
}

func (b *peerTracker) isSuspect(now time.Time, host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[host]
	return p != nil && now.Before(p.suspectUntil)
}

// requestedSince lists the hosts asked since then and forgets the others.
func (b *peerTracker) requestedSince(since time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := make(map[string]bool)
	for host, p := range b.peers {
		if p.lastRequest.Before(since) {
			delete(b.peers, host)
			continue
		}
		hosts[host] = true
	}
	return hosts
}
