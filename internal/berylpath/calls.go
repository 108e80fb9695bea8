package berylpath

import "time"

// progress records that bytes have arrived from an upstream over a connection of this host's own.
func (p *Paths) progress(now time.Time, upstream string) {
	p.monitor.progress(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progressAt[upstream] = now
}

// Call is a call under way over a connection of this host's own.
type Call struct {
	paths    *Paths
	upstream string
	abort    func()
	sentAt   time.Time
	// last says that the request may not be sent to another upstream after this call.
	last     bool
	answered bool // whether bytes have arrived; guarded by the mutex of paths
}

// BeginCall records a call. last says that the request may not be sent to another upstream after it. abort ends the call; it must
// not block or call p.
func (p *Paths) BeginCall(upstream string, last bool, abort func()) *Call {
	c := &Call{paths: p, upstream: upstream, last: last, abort: abort, sentAt: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = struct{}{}
	return c
}

// Progress records that bytes have arrived.
func (c *Call) Progress() {
	now := time.Now()
	c.paths.monitor.progress(now)
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	c.paths.progressAt[c.upstream] = now
	c.answered = true
}

// End records the end of the call.
func (c *Call) End() {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	delete(c.paths.calls, c)
}

// upstreamsCalledBefore counts the upstreams with a call under way that was sent before the given time.
func (p *Paths) upstreamsCalledBefore(at time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	called := make(map[string]bool)
	for c := range p.calls {
		if c.sentAt.Before(at) {
			called[c.upstream] = true
		}
	}
	return len(called)
}

// abortUnanswered aborts the calls that were sent before the given time and have got no answer, if their requests may be sent to
// another upstream. The others wait for their answers until their deadlines.
func (p *Paths) abortUnanswered(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.calls {
		if !c.answered && !c.last && c.sentAt.Before(before) {
			c.abort()
		}
	}
}
