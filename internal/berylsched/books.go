package berylsched

import (
	"sync"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// loadFresh is how long a load is worth using.
	loadFresh = 2 * time.Second
	// suspectFor is how long a host that did not answer is asked last.
	suspectFor = time.Second
	// maxBook is how many upstreams a load book knows.
	maxBook = 8192
)

// loadBook keeps what owners last said of their upstreams; the zero value is empty.
type loadBook struct {
	mu    sync.Mutex
	known map[string]knownLoad
}

type knownLoad struct {
	berylpermit.Load
	at time.Time
}

// note stores loads that come from an owner's reply or from gossip.
func (b *loadBook) note(now time.Time, loads []berylpermit.Load) {
	if len(loads) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = make(map[string]knownLoad)
	}
	for _, l := range loads {
		if _, ok := b.known[l.Upstream]; ok || len(b.known) < maxBook {
			b.known[l.Upstream] = knownLoad{Load: l, at: now}
		}
	}
}

// bump counts a permit of this host until the owner's next word on the upstream.
func (b *loadBook) bump(upstream string, class berylpermit.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.known[upstream]
	if !ok {
		return
	}
	if class == berylpermit.Batch {
		l.Batch++
	} else {
		l.Online++
	}
	b.known[upstream] = l
}

// get returns the load of an upstream, if it is fresh.
func (b *loadBook) get(now time.Time, upstream string) (berylpermit.Load, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.known[upstream]
	return l.Load, ok && now.Sub(l.at) < loadFresh
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

// localCounts counts this host's own permits for each upstream; the zero value is empty.
type localCounts struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *localCounts) add(upstream string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = make(map[string]int)
	}
	c.count[upstream] += n
	if c.count[upstream] == 0 {
		delete(c.count, upstream)
	}
}

func (c *localCounts) get(upstream string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[upstream]
}
