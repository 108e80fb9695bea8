package beryllimit

import "time"

const (
	// fallbackTime is how long a host uses its share after its owner did not answer.
	fallbackTime = time.Second
	// slotsRefusedTime is how long an owner's refusal of a slot stands without asking again.
	slotsRefusedTime = 20 * time.Millisecond
)

// quota is what one host holds of a caller's limits: a plain state machine without clock or I/O.
type quota struct {
	requests float64
	tokens   float64
	expires  time.Time
	slots    int
	inUse    int
	// slotsExpire is when the owner may lend the slots to another host.
	slotsExpire time.Time
	// waitUntil is until when the owner has nothing to lend to a request of waitTokens tokens.
	waitUntil  time.Time
	waitTokens float64
	// fallbackUntil is until when the share is used instead of loans.
	fallbackUntil time.Time
	shareRequests bucket
	shareTokens   bucket
	// keep is until when the state must not be forgotten.
	keep time.Time
}

// verdict is a quota's answer to one request.
type verdict struct {
	admitted bool
	// ask means that the owner has to be asked before there is a verdict.
	ask bool
	// slots means that the request is refused for its concurrency.
	slots bool
	// wait is when to come back after a refusal.
	wait time.Duration
}

// take admits one request of that many tokens, refuses it, or wants the owner asked.
func (p *quota) take(now time.Time, l *limits, live int, tokens float64) verdict {
	p.keep = keepUntil(now, l, &p.shareRequests, &p.shareTokens)
	if now.Before(p.fallbackUntil) {
		return p.takeShare(now, l, live, tokens)
	}
	if now.After(p.expires) {
		p.requests = 0
		p.tokens = 0
	}
	if p.covers(now, l, tokens) {
		p.spend(l, tokens)
		return verdict{admitted: true}
	}
	if now.Before(p.waitUntil) && tokens >= p.waitTokens {
		return verdict{wait: p.waitUntil.Sub(now), slots: !p.hasSlot(now, l)}
	}
	return verdict{ask: true}
}

func (p *quota) covers(now time.Time, l *limits, tokens float64) bool {
	if l.requests.rate > 0 && p.requests < 1 {
		return false
	}
	if l.tokens.rate > 0 && p.tokens < tokens {
		return false
	}
	return p.hasSlot(now, l)
}

func (p *quota) hasSlot(now time.Time, l *limits) bool {
	return l.slots == 0 || p.inUse < p.slots && now.Before(p.slotsExpire)
}

func (p *quota) spend(l *limits, tokens float64) {
	if l.requests.rate > 0 {
		p.requests--
	}
	if l.tokens.rate > 0 {
		p.tokens -= tokens
	}
	p.inUse++
}

// takeShare admits by the limits divided by the live hosts.
func (p *quota) takeShare(now time.Time, l *limits, live int, tokens float64) verdict {
	if l.slots > 0 && p.inUse >= max(1, l.slots/max(live, 1)) {
		return verdict{slots: true}
	}
	if l.requests.rate > 0 {
		if ok, wait := p.shareRequests.take(now, l.requests.share(live), 1); !ok {
			return verdict{wait: wait}
		}
	}
	if l.tokens.rate > 0 {
		if ok, wait := p.shareTokens.take(now, l.tokens.share(live), tokens); !ok {
			return verdict{wait: wait}
		}
	}
	p.inUse++
	return verdict{admitted: true}
}

// need returns what to ask the owner for, to admit one request of that many tokens.
func (p *quota) need(l *limits, tokens float64) LeaseRequest {
	var ask LeaseRequest
	if l.requests.rate > 0 {
		ask.Requests = 1
	}
	if l.tokens.rate > 0 {
		ask.Tokens = tokens
	}
	if l.slots > 0 {
		ask.Slots = max(p.inUse+1, p.slots)
	}
	return ask
}

// surplus returns an ask that gives the slots back which are not in use, and ends their use here.
func (p *quota) surplus() LeaseRequest {
	p.slots = min(p.slots, p.inUse)
	return LeaseRequest{Slots: p.inUse}
}

// holdsSlots reports whether the owner counts slots for this host, or should.
func (p *quota) holdsSlots() bool {
	return p.slots > 0 || p.inUse > 0
}

// lent takes the owner's answer to an ask.
func (p *quota) lent(now time.Time, ask LeaseRequest, g LeaseGrant) {
	p.requests += g.Requests
	p.tokens += g.Tokens
	p.expires = now.Add(leaseTime)
	p.slots = g.Slots
	p.slotsExpire = now.Add(leaseTime)
	p.fallbackUntil = time.Time{}
	p.waitUntil = time.Time{}
	p.waitTokens = ask.Tokens
	switch {
	case g.Wait > 0:
		p.waitUntil = now.Add(g.Wait)
	case g.Slots < ask.Slots:
		p.waitUntil = now.Add(slotsRefusedTime)
		p.waitTokens = 0
	}
}

// unanswered falls back to the share for a while.
func (p *quota) unanswered(now time.Time) {
	p.fallbackUntil = now.Add(fallbackTime)
}

// release ends one request and reports whether the owner should hear of it.
func (p *quota) release(l *limits) bool {
	p.inUse--
	return l.slots > 0
}

// idle reports whether the quota can be forgotten.
func (p *quota) idle(now time.Time) bool {
	return p.inUse == 0 && now.After(p.keep)
}
