package beryllimit

import "time"

const (
	// fallbackDuration is how long a host uses its share after its owner did not answer.
	fallbackDuration = time.Second
	// slotRefusalTTL is how long an owner's refusal of a slot stands without asking again.
	slotRefusalTTL = 20 * time.Millisecond
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
	// refusedUntil is until when the owner has nothing to lend to a request of waitTokens tokens.
	refusedUntil  time.Time
	refusedTokens float64
	// fallbackUntil is until when the share is used instead of loans.
	fallbackUntil time.Time
	shareRequests bucket
	shareTokens   bucket
	// retainUntil is until when the state must not be forgotten.
	retainUntil time.Time
}

// decision is a quota's answer to one request.
type decision struct {
	admitted bool
	// needsLease means that the owner has to be asked before there is a verdict.
	needsLease bool
	// slotsExhausted means that the request is refused for its concurrency.
	slotsExhausted bool
	// wait is when to come back after a refusal.
	wait time.Duration
}

// admit admits one request of that many tokens, refuses it, or wants the owner asked.
func (q *quota) admit(now time.Time, l *limits, live int, tokens float64) decision {
	q.retainUntil = retentionEnd(now, l, &q.shareRequests, &q.shareTokens)
	if now.Before(q.fallbackUntil) {
		return q.admitFromShare(now, l, live, tokens)
	}
	if now.After(q.expires) {
		q.requests = 0
		q.tokens = 0
	}
	if q.covers(now, l, tokens) {
		q.spend(l, tokens)
		return decision{admitted: true}
	}
	if now.Before(q.refusedUntil) && tokens >= q.refusedTokens {
		return decision{wait: q.refusedUntil.Sub(now), slotsExhausted: !q.hasSlot(now, l)}
	}
	return decision{needsLease: true}
}

func (q *quota) covers(now time.Time, l *limits, tokens float64) bool {
	if l.requests.rate > 0 && q.requests < 1 {
		return false
	}
	if l.tokens.rate > 0 && q.tokens < tokens {
		return false
	}
	return q.hasSlot(now, l)
}

func (q *quota) hasSlot(now time.Time, l *limits) bool {
	return l.slots == 0 || q.inUse < q.slots && now.Before(q.slotsExpire)
}

func (q *quota) spend(l *limits, tokens float64) {
	if l.requests.rate > 0 {
		q.requests--
	}
	if l.tokens.rate > 0 {
		q.tokens -= tokens
	}
	q.inUse++
}

// admitFromShare admits by the limits divided by the live hosts.
func (q *quota) admitFromShare(now time.Time, l *limits, live int, tokens float64) decision {
	if l.slots > 0 && q.inUse >= max(1, l.slots/max(live, 1)) {
		return decision{slotsExhausted: true}
	}
	if l.requests.rate > 0 {
		if ok, wait := q.shareRequests.take(now, l.requests.share(live), 1); !ok {
			return decision{wait: wait}
		}
	}
	if l.tokens.rate > 0 {
		if ok, wait := q.shareTokens.take(now, l.tokens.share(live), tokens); !ok {
			return decision{wait: wait}
		}
	}
	q.inUse++
	return decision{admitted: true}
}

// leaseRequest returns what to ask the owner for, to admit one request of that many tokens.
func (q *quota) leaseRequest(l *limits, tokens float64) LeaseRequest {
	var req LeaseRequest
	if l.requests.rate > 0 {
		req.Requests = 1
	}
	if l.tokens.rate > 0 {
		req.Tokens = tokens
	}
	if l.slots > 0 {
		req.Slots = max(q.inUse+1, q.slots)
	}
	return req
}

// returnUnusedSlots returns an ask that gives the slots back which are not in use, and ends their use here.
func (q *quota) returnUnusedSlots() LeaseRequest {
	q.slots = min(q.slots, q.inUse)
	return LeaseRequest{Slots: q.inUse}
}

// holdsSlots reports whether the owner counts slots for this host, or should.
func (q *quota) holdsSlots() bool {
	return q.slots > 0 || q.inUse > 0
}

// recordGrant takes the owner's answer to an ask.
func (q *quota) recordGrant(now time.Time, req LeaseRequest, g LeaseGrant) {
	q.requests += g.Requests
	q.tokens += g.Tokens
	q.expires = now.Add(leaseDuration)
	q.slots = g.Slots
	q.slotsExpire = now.Add(leaseDuration)
	q.fallbackUntil = time.Time{}
	q.refusedUntil = time.Time{}
	q.refusedTokens = req.Tokens
	switch {
	case g.Wait > 0:
		q.refusedUntil = now.Add(g.Wait)
	case g.Slots < req.Slots:
		q.refusedUntil = now.Add(slotRefusalTTL)
		q.refusedTokens = 0
	}
}

// fallBack falls back to the share for a while.
func (q *quota) fallBack(now time.Time) {
	q.fallbackUntil = now.Add(fallbackDuration)
}

// release ends one request and reports whether the owner should hear of it.
func (q *quota) release(l *limits) bool {
	q.inUse--
	return l.slots > 0
}

// idle reports whether the quota can be forgotten.
func (q *quota) idle(now time.Time) bool {
	return q.inUse == 0 && now.After(q.retainUntil)
}
