package berylwire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// peerConn is a connection to a peer that is open or being established.
type peerConn struct {
	ready       chan struct{} // closed when conn or err is set
	conn        *quic.Conn
	err         error
	lastUsed    time.Time
	activeCalls int
	// duplex is what is known of the peer's support of duplex streams.
	duplex atomic.Int32
}

// isUsable reports whether the connection is being established or can carry calls.
func (c *peerConn) isUsable() bool {
	select {
	case <-c.ready:
		return c.err == nil && c.conn.Context().Err() == nil
	default:
		return true
	}
}

// pool keeps the connections to peers.
type pool struct {
	mu     sync.Mutex
	conns  map[Peer]*peerConn
	closed bool
}

// acquire returns the connection to a peer. It dials a new one if there is none that is usable. Call release after
// the call.
func (p *pool) acquire(peer Peer, dial func(Peer, *peerConn)) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("the endpoint is closed")
	}
	c := p.conns[peer]
	if c == nil || !c.isUsable() {
		c = &peerConn{ready: make(chan struct{})}
		if p.conns == nil {
			p.conns = map[Peer]*peerConn{}
		}
		p.conns[peer] = c
		dial(peer, c)
	}
	c.activeCalls++
	return c, nil
}

func (p *pool) release(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.activeCalls--
	c.lastUsed = time.Now()
}

// forget removes a lost connection, so that the next call makes a new one.
func (p *pool) forget(peer Peer, c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[peer] == c {
		delete(p.conns, peer)
	}
}

// dropIdle closes connections that no call has used since the given time, and removes dead ones.
func (p *pool) dropIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, c := range p.conns {
		if c.activeCalls > 0 || c.isUsable() && c.lastUsed.After(before) {
			continue
		}
		c.close()
		delete(p.conns, peer)
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.close()
	}
	p.conns = nil
}

// close closes the connection if it has been established.
func (c *peerConn) close() {
	select {
	case <-c.ready:
	default:
		return
	}
	if c.err == nil {
		_ = c.conn.CloseWithError(closeCode, "closing")
	}
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// startDial establishes a connection in the background.
func (e *Endpoint) startDial(peer Peer, c *peerConn) {
	e.dials.Go(func() {
		defer close(c.ready)
		c.conn, c.err = e.dial(peer)
	})
}

func (e *Endpoint) dial(peer Peer) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", peer.Address)
	if err != nil {
		return nil, err
	}
	return e.transport.Dial(ctx, address, e.config.Credentials.ClientConfig(peer.Name, protocol), e.quic)
}
