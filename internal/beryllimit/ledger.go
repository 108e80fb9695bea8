package beryllimit

import (
	"math"
	"time"
)

const (
	// maxPromised bounds how far ahead an owner spreads the times that it predicts for requests it refuses.
	maxPromised = time.Second
	// maxSequenceGap tells requests of one run of a host from those of another, which count from a later time in nanoseconds.
	maxSequenceGap = 1_000_000
	// returnDelay is the time after the end of a lease in which a host gives back what it has not spent. One interval more makes
	// up for leases that begin at the end of a slot of heldSums.
	returnDelay = 3 * settleInterval
	// heldSlots is the number of slots of heldSums: as many as cover a lease and returnDelay.
	heldSlots = int64((windowLeaseDuration + returnDelay) / settleInterval)
	// leaseRetention is how long the owner remembers what a silent host has reported.
	leaseRetention = time.Minute
)

// ledger is the state that the owner keeps for one windowed account: a state machine without clock or I/O.
type ledger struct {
	// level is what may be granted: at most the burst, below zero while debts or overdrafts are paid.
	level   float64
	updated time.Time
	limit   windowLimit
	// since is when this host began to own the account.
	since  time.Time
	leases map[string]*hostLease
	held   heldSums
	// promised is the latest time predicted for a refused request.
	promised time.Time
	// retainUntil is the time before which the ledger must not be evicted.
	retainUntil time.Time
}

// hostLease is what the owner knows of one host.
type hostLease struct {
	// sequence and grant are those of the host's last request, so that a repeated one gets the same answer.
	sequence uint64
	grant    LeaseGrant
	// held is what the host may not have spent yet, and heldSince the slot of heldSums that contains it.
	held      uint64
	heldSince int64
	// returned and debt are the sums that the host has reported.
	returned, debt uint64
	seen           time.Time
}

// newLedger returns the ledger of an account about which nothing is known. The host has owned the account since the given
// time; what other owners granted before it is no longer in the window once windowLength has passed.
func newLedger(now, since time.Time, l windowLimit) *ledger {
	g := &ledger{level: l.burst, updated: now, limit: l, since: since, leases: make(map[string]*hostLease)}
	if now.Sub(since) < windowLength {
		g.level, g.updated = l.startLevel(), since
	}
	return g
}

// lease answers a request of a host by the limit, of which this owner grants what the caller has scaled it to.
func (g *ledger) lease(now time.Time, l windowLimit, req LeaseRequest) LeaseGrant {
	h := g.leases[req.Host]
	if h != nil && req.Sequence <= h.sequence && h.sequence-req.Sequence < maxSequenceGap {
		if req.Sequence == h.sequence {
			return h.grant
		}
		return LeaseGrant{} // a late copy; the host no longer waits for its answer
	}
	received := req.Sequence - 1 - req.Missed
	if h == nil || req.Sequence-h.sequence >= maxSequenceGap {
		// What an earlier run of the host or another owner knew is gone, so nothing is credited.
		h = &hostLease{sequence: received, returned: req.Returned, debt: req.Debt}
		g.leases[req.Host] = h
	}
	g.held.remove(now, h.heldSince, h.held)
	others := float64(g.held.sum(now))
	g.refill(now, l)
	if received != h.sequence {
		g.level += h.grant.Requests // The host has not received the last grant.
	}
	g.settle(h, req)
	free := g.level
	needed := math.Ceil(req.Requests)
	granted := min(needed, math.Floor(max(0, free+min(others, l.maxAhead())+l.jitter())))
	grant := LeaseGrant{Requests: granted}
	ahead := 0.0
	if granted < needed {
		grant.Wait = g.promise(now, l, others)
	} else {
		ahead = math.Floor(max(0, min(float64(req.Ahead), free-granted, l.maxAhead()-others-float64(req.Held))))
		grant.Requests += ahead
	}
	g.level -= grant.Requests
	h.sequence, h.grant = req.Sequence, grant
	// What the host needs it spends at once. Only the rest may come back, so only for the rest does the owner overdraw.
	h.held, h.seen = req.Held+uint64(ahead), now
	h.heldSince = g.held.add(now, h.held)
	g.retainUntil = now.Add(max(idleRetention, time.Duration(min((l.burst-g.level)/l.rate*float64(time.Second), float64(maxRetention)))))
	return grant
}

// settle records what the host reports: requests that it gives back and requests that it owes.
func (g *ledger) settle(h *hostLease, req LeaseRequest) {
	g.level += float64(max(req.Returned, h.returned)-h.returned) - float64(max(req.Debt, h.debt)-h.debt)
	g.level = min(g.level, g.limit.burst)
	h.returned, h.debt = req.Returned, req.Debt
}

// refill adds what has accrued by the limit until now, and goes on by the given one. A raised limit leaves the level as it is, a
// lowered one caps it.
func (g *ledger) refill(now time.Time, l windowLimit) {
	if past := now.Sub(g.updated); past > 0 {
		ramp := max(0, min(now.Sub(g.since), ownerRamp)-max(0, g.updated.Sub(g.since)))
		g.level += g.limit.rate * (past.Seconds() - (1-ownerRampShare)*ramp.Seconds())
		g.updated = now
	}
	g.level = min(g.level, g.limit.burst, l.burst)
	g.limit = l
}

// heldSums sums what the hosts may still spend or have not given back yet, by the time of their last lease. It spares the
// owner of an account a look at each of several hundred hosts for each request.
type heldSums struct {
	slots [heldSlots]uint64
	last  int64
}

// advance clears the slots whose leases have ended, and returns the present one.
func (s *heldSums) advance(now time.Time) int64 {
	slot := now.UnixNano() / int64(settleInterval)
	for s.last = max(s.last, slot-heldSlots); s.last < slot; {
		s.last++
		s.slots[s.last%heldSlots] = 0
	}
	return s.last
}

func (s *heldSums) add(now time.Time, amount uint64) int64 {
	slot := s.advance(now)
	s.slots[slot%heldSlots] += amount
	return slot
}

func (s *heldSums) remove(now time.Time, slot int64, amount uint64) {
	if slot > s.advance(now)-heldSlots {
		s.slots[slot%heldSlots] -= amount
	}
}

func (s *heldSums) sum(now time.Time) uint64 {
	s.advance(now)
	sum := uint64(0)
	for _, amount := range s.slots {
		sum += amount
	}
	return sum
}

// promise returns the time after which one refused request can be admitted, behind those refused before it.
func (g *ledger) promise(now time.Time, l windowLimit, others float64) time.Duration {
	missing := max(0, 1-g.level-min(others, l.maxAhead())-l.jitter())
	at := now.Add(time.Duration(min(math.Ceil(missing/l.rate*float64(time.Second)), float64(maxWait))))
	if next := g.promised.Add(l.interval()); next.After(at) && next.Sub(at) < maxPromised {
		at = next
	}
	g.promised = at
	return max(at.Sub(now), time.Nanosecond)
}

// evict drops what silent hosts have reported, and reports whether the whole ledger can be dropped.
func (g *ledger) evict(now time.Time) bool {
	for name, h := range g.leases {
		if now.Sub(h.seen) > leaseRetention {
			delete(g.leases, name)
		}
	}
	return now.After(g.retainUntil)
}
