package beryllimit

import "time"

const (
	// fallbackDuration is how long a host admits by its share after the owner has failed to answer.
	fallbackDuration = time.Second
	// slotRefusalTTL is how long the host refuses requests without another lease request after the owner has refused a
	// slot.
	slotRefusalTTL = 20 * time.Millisecond
)

// quota is the part of an account's limits that this host has leased: a state machine without clock or I/O.
type quota struct {
	// requests and tokens are the leased amounts that are not used yet; they must not be used after expires.
	requests float64
	tokens   float64
	expires  time.Time
	// slots is how many requests the host may have in flight by its lease, and inUse how many it has.
	slots int
	inUse int
	// slotsExpire is when the owner may lease the slots to another host.
	slotsExpire time.Time
	// refusedUntil is when the owner expects to have enough for a request of refusedTokens tokens. Until then requests of
	// as many tokens or more are refused here, unless what is leased covers them. After the refusal of a slot it is the
	// end of slotRefusalTTL, and refusedTokens is zero.
	refusedUntil  time.Time
	refusedTokens float64
	// fallbackUntil is the time until which the host admits by its share instead of by leases.
	fallbackUntil time.Time
	shareRequests bucket
	shareTokens   bucket
	// retainUntil is the time before which the quota must not be evicted.
	retainUntil time.Time
}

// decision is a quota's answer to one request.
type decision struct {
	admitted bool
	// needsLease means that a lease request to the owner must come before a decision.
	needsLease bool
	// slotsExhausted means that the request is refused because too many are in flight.
	slotsExhausted bool
	// wait is the time after which a refused request may be retried.
	wait time.Duration
}

// admit admits one request of that many tokens, refuses it, or reports that a lease is needed first. The parameter live
// is the number of live hosts, used only during a fallback.
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

// admitFromShare admits or refuses by this host's share: the limits divided by the number of live hosts.
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

// leaseRequest returns the lease request that is needed to admit one request of that many tokens.
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

// returnUnusedSlots gives up the slots that are not in use and returns the lease request that tells the owner so.
func (q *quota) returnUnusedSlots() LeaseRequest {
	q.slots = min(q.slots, q.inUse)
	return LeaseRequest{Slots: q.inUse}
}

// holdsSlots reports whether the owner has, or should have, a slot lease for this host.
func (q *quota) holdsSlots() bool {
	return q.slots > 0 || q.inUse > 0
}

// recordGrant adds what the owner has granted for a lease request, and notes what it has refused. Any answer ends a
// fallback.
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

// fallBack makes the host admit by its share for fallbackDuration.
func (q *quota) fallBack(now time.Time) {
	q.fallbackUntil = now.Add(fallbackDuration)
}

// release ends one request and reports whether its slot should be returned to the owner.
func (q *quota) release(l *limits) bool {
	q.inUse--
	return l.slots > 0
}

// idle reports whether the quota can be evicted.
func (q *quota) idle(now time.Time) bool {
	return q.inUse == 0 && now.After(q.retainUntil)
}
