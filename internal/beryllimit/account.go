package beryllimit

import "time"

// account is what a caller's owner knows: a plain state machine without clock or I/O.
type account struct {
	requests bucket
	tokens   bucket
	leases   map[string]lease
	// retainUntil is until when the state must not be forgotten.
	retainUntil time.Time
}

// lease is the slots that one host holds.
type lease struct {
	slots   int
	expires time.Time
}

// grant lends what is asked as far as the limits allow.
func (a *account) grant(now time.Time, l *limits, req LeaseRequest) LeaseGrant {
	var g LeaseGrant
	defer func() { a.retainUntil = retentionEnd(now, l, &a.requests, &a.tokens) }()
	g.Slots = a.lendSlots(now, l, req)
	if l.slots > 0 && g.Slots < req.Slots {
		return g
	}
	// Requests and tokens are lent together, so that neither is lost while the other is missing.
	if wait := a.predictWait(now, l, req); wait > 0 {
		g.Wait = wait
		return g
	}
	g.Requests = lendAmount(&a.requests, now, l.requests, req.Requests)
	g.Tokens = lendAmount(&a.tokens, now, l.tokens, req.Tokens)
	return g
}

// retentionEnd returns when both buckets are full again and the caller has been silent for long.
func retentionEnd(now time.Time, l *limits, requests, tokens *bucket) time.Time {
	keep := now.Add(idleRetention)
	for _, full := range []time.Time{requests.fullAt(l.requests), tokens.fullAt(l.tokens)} {
		if full.After(keep) {
			keep = full
		}
	}
	return keep
}

// predictWait returns the time until all that is needed is there.
func (a *account) predictWait(now time.Time, l *limits, req LeaseRequest) time.Duration {
	return max(waitFor(a.requests, now, l.requests, req.Requests), waitFor(a.tokens, now, l.tokens, req.Tokens))
}

// waitFor tries on a copy of the bucket.
func waitFor(b bucket, now time.Time, l limit, amount float64) time.Duration {
	if l.rate == 0 || amount <= 0 {
		return 0
	}
	_, wait := b.take(now, l, amount)
	return wait
}

// lendAmount takes the amount, which is there, and a chunk on top of it.
func lendAmount(b *bucket, now time.Time, l limit, amount float64) float64 {
	if l.rate == 0 || amount <= 0 {
		return 0
	}
	return b.takeUpTo(now, l, amount+l.rate*leaseChunk.Seconds())
}

// lendSlots sets what the host holds to what it wants, as far as the other hosts leave room.
func (a *account) lendSlots(now time.Time, l *limits, req LeaseRequest) int {
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
