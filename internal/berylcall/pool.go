package berylcall

import (
	"sync"
	"time"
)

const (
	maxIdlePerAddress = 32
	maxIdleTotal      = 1024
	maxIdleTime       = 30 * time.Second
)

// pool keeps idle connections by upstream address. Its zero value is ready to use.
type pool struct {
	mu      sync.Mutex
	idle    map[string][]*conn
	count   int
	sweptAt time.Time
	closed  bool
}

// get takes the connection to addr that became idle most recently, or returns nil.
func (p *pool) get(addr string, now time.Time) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < maxIdleTime && c.isReusable() {
			c.reused, c.answered = true, false
			c.sentBytes.Store(0)
			return c
		}
		c.Close()
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	c := list[last]
	list[last] = nil
	p.idle[addr] = list[:last]
	p.count--
	return c
}

// put keeps a connection after a complete answer, or closes it if too many are idle.
func (p *pool) put(addr string, c *conn, now time.Time) {
	for _, old := range p.sweep(now) {
		old.Close()
	}
	c.idleSince = now
	if !p.push(addr, c) {
		c.Close()
	}
}

func (p *pool) push(addr string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.count >= maxIdleTotal || len(p.idle[addr]) >= maxIdlePerAddress {
		return false
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[addr] = append(p.idle[addr], c)
	p.count++
	return true
}

// sweep removes and returns the connections that have been idle for maxIdleTime. It does so at most once per
// maxIdleTime.
func (p *pool) sweep(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sweptAt) < maxIdleTime {
		return nil
	}
	p.sweptAt = now
	var old []*conn
	for addr, list := range p.idle {
		fresh := 0
		for fresh < len(list) && now.Sub(list[fresh].idleSince) >= maxIdleTime {
			fresh++
		}
		old = append(old, list[:fresh]...)
		p.idle[addr] = append([]*conn(nil), list[fresh:]...)
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
	p.count -= len(old)
	return old
}

// close closes all idle connections. Connections that are put back later are closed too.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
	p.count = 0
}
