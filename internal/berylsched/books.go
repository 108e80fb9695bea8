package berylsched

import (
	"sync"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// loadFresh is how long a load is worth using.
	loadFresh = 2 * time.Second
	// suspectFor is how long a host that did not answer is left out.
	suspectFor = time.Second
	// noteEvery is the least time between two loads of one upstream that are stored.
	noteEvery = 2 * time.Millisecond
)

// knowledge is what this host knows of one upstream; it outlives the tables.
type knowledge struct {
	load atomic.Pointer[knownLoad]
	// own counts this host's own permits.
	own atomic.Int64
}

type knownLoad struct {
	berylpermit.Load
	at time.Time
}

// fresh returns the load if it is worth using; an unknown upstream counts as free but for this host's own calls.
func (p *place) fresh(now time.Time) berylpermit.Load {
	if l := p.known.load.Load(); l != nil && now.Sub(l.at) < loadFresh {
		return l.Load
	}
	return berylpermit.Load{Upstream: p.upstream, Slots: p.slots, Online: int(p.known.own.Load())}
}

// note stores loads that come from an owner's reply or from gossip.
func (t *table) note(now time.Time, loads []berylpermit.Load) {
	for i := range loads {
		p := t.places[loads[i].Upstream]
		if p == nil {
			continue
		}
		if l := p.known.load.Load(); l != nil && now.Sub(l.at) < noteEvery {
			continue
		}
		p.known.load.Store(&knownLoad{Load: loads[i], at: now})
	}
}

// bump counts a permit of this host until the owner's next word on the upstream.
func (p *place) bump(class berylpermit.Class) {
	old := p.known.load.Load()
	if old == nil {
		return
	}
	l := *old
	if class == berylpermit.Batch {
		l.Batch++
	} else {
		l.Online++
	}
	p.known.load.CompareAndSwap(old, &l)
}

// heard lists the fresh loads of the upstreams that other hosts own.
func (t *table) heard(now time.Time, self string) []berylpermit.Load {
	var loads []berylpermit.Load
	for _, p := range t.places {
		l := p.known.load.Load()
		if l != nil && p.owner != self && now.Sub(l.at) < loadFresh {
			loads = append(loads, l.Load)
		}
	}
	return loads
}

// peerBook keeps when each host was last asked and which ones do not answer; the zero value is empty.
type peerBook struct {
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	asked   time.Time
	suspect time.Time
}

func (b *peerBook) get(host string) *peer {
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

// asking notes an ask to a host. A host under suspicion is suspected again until it answers, so that one ask alone
// finds out whether it is back.
func (b *peerBook) asking(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(host)
	p.asked = now
	if !p.suspect.IsZero() {
		p.suspect = now.Add(suspectFor)
	}
}

func (b *peerBook) answered(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(host).suspect = time.Time{}
}

func (b *peerBook) silent(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(host).suspect = now.Add(suspectFor)
}

func (b *peerBook) suspected(now time.Time, host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[host]
	return p != nil && now.Before(p.suspect)
}

// askedSince lists the hosts asked since then and forgets the others.
func (b *peerBook) askedSince(then time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := make(map[string]bool)
	for host, p := range b.peers {
		if p.asked.Before(then) {
			delete(b.peers, host)
			continue
		}
		hosts[host] = true
	}
	return hosts
}
