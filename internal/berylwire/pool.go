package berylwire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// link is a connection to a peer, or the attempt to make one.
type link struct {
	ready  chan struct{} // closed when conn or err is set
	conn   *quic.Conn
	err    error
	used   time.Time
	active int
}

// alive says whether the link is being made or can carry calls.
func (l *link) alive() bool {
	select {
	case <-l.ready:
		return l.err == nil && l.conn.Context().Err() == nil
	default:
		return true
	}
}

// pool keeps the connections to peers.
type pool struct {
	mu     sync.Mutex
	links  map[Peer]*link
	closed bool
}

// acquire returns the link to a peer, making one if there is none alive; release it after the call.
func (p *pool) acquire(peer Peer, dial func(Peer, *link)) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("the endpoint is closed")
	}
	l := p.links[peer]
	if l == nil || !l.alive() {
		l = &link{ready: make(chan struct{})}
		if p.links == nil {
			p.links = map[Peer]*link{}
		}
		p.links[peer] = l
		dial(peer, l)
	}
	l.active++
	return l, nil
}

func (p *pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.active--
	l.used = time.Now()
}

// forget drops a link whose connection is lost, so that the next call makes a new one.
func (p *pool) forget(peer Peer, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[peer] == l {
		delete(p.links, peer)
	}
}

// dropIdle closes links that no call has used since the given time, and forgets dead ones.
func (p *pool) dropIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, l := range p.links {
		if l.active > 0 || l.alive() && l.used.After(before) {
			continue
		}
		l.close()
		delete(p.links, peer)
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	p.links = nil
}

// close ends the connection if it has been made.
func (l *link) close() {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.err == nil {
		_ = l.conn.CloseWithError(closeCode, "closing")
	}
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// startDial makes the connection of a link in the background.
func (e *Endpoint) startDial(peer Peer, l *link) {
	e.dials.Go(func() {
		defer close(l.ready)
		l.conn, l.err = e.dial(peer)
	})
}

func (e *Endpoint) dial(peer Peer) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(e.open, handshakeTimeout)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", peer.Address)
	if err != nil {
		return nil, err
	}
	return e.transport.Dial(ctx, address, e.config.Credentials.ClientConfig(peer.Name, protocol), e.quic)
}
