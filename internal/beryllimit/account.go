package beryllimit

import "time"

// accountState is the limit state that the owner keeps for one client account: a state machine without clock or I/O.
type accountState struct {
	requests bucket
	tokens   bucket
	// leases holds the concurrency slots leased to each host, by host name.
	leases map[string]lease
	// retainUntil is the time before which the account must not be evicted.
	retainUntil time.Time
}

// lease is a number of concurrency slots that one host may use until it expires.
type lease struct {
	slots   int
	expires time.Time
}

// grant answers a lease request: slots as far as they are free, requests and tokens in full or not at all, and not at all
// if fewer slots than requested are free.
func (a *accountState) grant(now time.Time, l *limits, req LeaseRequest) LeaseGrant {
	var g LeaseGrant
	defer func() { a.retainUntil = retentionEnd(now, l, &a.requests, &a.tokens) }()
	g.Slots = a.leaseSlots(now, l, req)
	if l.slots > 0 && g.Slots < req.Slots {
		return g
	}
	// Requests and tokens are leased together, so that one is not used up while the other is not available.
	if wait := a.predictWait(now, l, req); wait > 0 {
		g.Wait = wait
		return g
	}
	g.Requests = leaseAmount(&a.requests, now, l.requests, req.Requests)
	g.Tokens = leaseAmount(&a.tokens, now, l.tokens, req.Tokens)
	return g
}

// retentionEnd returns when the state may be evicted: both buckets are full again and idleRetention has passed.
func retentionEnd(now time.Time, l *limits, requests, tokens *bucket) time.Time {
	end := now.Add(idleRetention)
	for _, full := range []time.Time{requests.fullAt(l.requests), tokens.fullAt(l.tokens)} {
		if full.After(end) {
			end = full
		}
	}
	return end
}

// predictWait returns the time until both the requested requests and tokens are available.
func (a *accountState) predictWait(now time.Time, l *limits, req LeaseRequest) time.Duration {
	return max(waitFor(a.requests, now, l.requests, req.Requests), waitFor(a.tokens, now, l.tokens, req.Tokens))
}

// waitFor returns the time until the amount is available. It gets a copy of the bucket, so nothing is taken.
func waitFor(b bucket, now time.Time, l limit, amount float64) time.Duration {
	if l.rate == 0 || amount <= 0 {
		return 0
	}
	_, wait := b.take(now, l, amount)
	return wait
}

// leaseAmount takes the amount, which must be available, and up to what accrues in leaseChunk on top of it, so that the
// host asks less often.
func leaseAmount(b *bucket, now time.Time, l limit, amount float64) float64 {
	if l.rate == 0 || amount <= 0 {
		return 0
	}
	return b.takeUpTo(now, l, amount+l.rate*leaseChunk.Seconds())
}

// leaseSlots sets the host's lease to the requested number of slots, limited to what other hosts have not leased.
func (a *accountState) leaseSlots(now time.Time, l *limits, req LeaseRequest) int {
	if l.slots == 0 {
		return 0
	}
	others := 0
	for host, held := range a.leases {
		if !now.Before(held.expires) {
			delete(a.leases, host)
		} else if host != req.Host {
			others += held.slots
		}
	}
	slots := min(req.Slots, max(0, l.slots-others))
	if slots <= 0 {
		delete(a.leases, req.Host)
		return 0
	}
	if a.leases == nil {
		a.leases = make(map[string]lease)
	}
	a.leases[req.Host] = lease{slots: slots, expires: now.Add(leaseDuration)}
	return slots
}
