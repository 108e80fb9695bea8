package beryllimit

import (
	"math"
	"time"
)

const (
	// settleInterval is how often a host looks for leases that have ended unspent and debts, to report them.
	settleInterval = 100 * time.Millisecond
	// settleDelay is the least time between the last lease request and a report.
	settleDelay = 200 * time.Millisecond
	// renewBefore is how long before the end of its lease a host asks for the next.
	renewBefore = 150 * time.Millisecond
	// ownerRetryInterval is the time between two lease requests to an owner that has not answered. Meanwhile the host
	// admits by its share.
	ownerRetryInterval = 250 * time.Millisecond
	// maxLocalSpread bounds how far a host spreads the times that it predicts for requests it refuses by itself.
	maxLocalSpread = time.Second
)

// holding is what a host holds of one windowed account: a state machine without clock or I/O.
type holding struct {
	// leased is what may be spent until expires.
	leased  uint64
	expires time.Time
	// returned and debt are sums since the holding began, and the reported ones are those that the owner knows.
	returned, debt                 uint64
	reportedReturned, reportedDebt uint64
	// sequence numbers the lease requests; received is the last one that was answered.
	sequence, received uint64
	askedAt            time.Time
	// recent is the recent rate of admitted requests.
	recent meter
	// refusedUntil is when the owner expects to have the next request free. Until then requests are refused here, each at
	// least spread later than the last.
	refusedUntil time.Time
	refusals     int
	// fallback means that the owner has not answered; the host admits by its share since fallbackSince and asks again at
	// retryAt.
	fallback      bool
	fallbackSince time.Time
	retryAt       time.Time
	share         bucket
	usedAt        time.Time
}

// source says what admitted a request.
type source uint8

const (
	fromNothing source = iota
	fromLease
	fromShare
)

// windowDecision is a holding's answer to one request.
type windowDecision struct {
	// admitted says what admits the request, if anything does.
	admitted source
	// ask means that a lease request must come before a decision.
	ask bool
	// renew means that a lease request should be sent without waiting for it.
	renew bool
	// wait is the time after which a refused request can be admitted.
	wait time.Duration
}

func newHolding(now time.Time) *holding {
	first := uint64(now.UnixNano())
	return &holding{sequence: first, received: first}
}

// admit admits one request, refuses it, or says that a lease request must come first.
func (h *holding) admit(now time.Time, l windowLimit, listed int) windowDecision {
	h.usedAt = now
	h.expire(now)
	var d windowDecision
	switch {
	case h.leased > 0:
		h.leased--
		d.admitted = fromLease
	case h.fallback:
		ok, wait := h.share.take(now, limit(l.share(listed)), 1)
		if ok {
			d.admitted = fromShare
		} else {
			d.wait = min(wait, max(h.retryAt.Sub(now), 0)+ownerRetryInterval)
		}
	case now.Before(h.refusedUntil):
		d.wait = h.refusedUntil.Sub(now) + min(time.Duration(h.refusals)*min(l.interval(), maxLocalSpread), maxLocalSpread)
		h.refusals++
	default:
		d.ask = true
	}
	if d.admitted != fromNothing {
		h.recent.add(now)
	}
	d.renew = !d.ask && h.shouldRenew(now)
	return d
}

// shouldRenew reports whether the next lease should be asked for now: before this one runs out, or because it is time to
// look whether the owner answers again.
func (h *holding) shouldRenew(now time.Time) bool {
	if h.fallback {
		return !now.Before(h.retryAt)
	}
	target := h.aheadTarget(now)
	if target == 0 || now.Before(h.refusedUntil) {
		return false
	}
	return h.leased < target/2 || h.expires.Sub(now) < renewBefore
}

// aheadTarget is what the host would hold beyond its present requests: what it has recently spent in leaseAhead.
func (h *holding) aheadTarget(now time.Time) uint64 {
	return uint64(max(0, math.Floor(h.recent.rate(now)*leaseAhead.Seconds())-1))
}

// expire ends a lease whose time has passed.
func (h *holding) expire(now time.Time) {
	if !now.Before(h.expires) {
		h.returned += h.leased
		h.leased = 0
	}
}

// request returns the lease request for that many requests that wait.
func (h *holding) request(now time.Time, waiting int) LeaseRequest {
	h.expire(now)
	h.sequence++
	h.askedAt = now
	target := h.aheadTarget(now)
	return LeaseRequest{
		Requests: float64(max(uint64(waiting), h.leased) - h.leased), Sequence: h.sequence, Missed: h.sequence - 1 - h.received,
		Ahead: max(target, h.leased) - h.leased, Held: h.leased, Returned: h.returned, Debt: h.debt,
	}
}

// record records the owner's answer.
func (h *holding) record(now time.Time, req LeaseRequest, g LeaseGrant) {
	h.received = req.Sequence
	h.reportedReturned, h.reportedDebt = req.Returned, req.Debt
	h.fallback = false
	h.expire(now)
	if g.Requests > 0 {
		h.leased += uint64(g.Requests)
		h.expires = now.Add(windowLeaseDuration)
	}
	if g.Wait > 0 {
		h.refusedUntil, h.refusals = now.Add(g.Wait), 0
	}
}

// fail records that the owner has not answered. The share starts empty, since the owner may just have granted the burst.
func (h *holding) fail(now time.Time, l windowLimit, listed int) {
	if !h.fallback {
		h.fallback, h.fallbackSince = true, now
		h.share = bucket{used: l.share(listed).burst, updated: now}
	}
	h.retryAt = now.Add(ownerRetryInterval)
}

// refund takes back an admitted request that has not run.
func (h *holding) refund(now time.Time, from source) {
	if from == fromShare {
		h.share.used = max(0, h.share.used-1)
		return
	}
	if now.Before(h.expires) {
		h.leased++
		return
	}
	h.returned++
}

// charge counts a run that was not admitted by itself: a further send of an admitted request.
func (h *holding) charge(now time.Time) {
	h.usedAt = now
	h.expire(now)
	if h.leased > 0 {
		h.leased--
		return
	}
	h.debt++
}

// needsSettlement reports whether the owner should be told of unspent requests or debts although no request needs a lease.
func (h *holding) needsSettlement(now time.Time) bool {
	h.expire(now)
	return (h.returned > h.reportedReturned || h.debt > h.reportedDebt) && now.Sub(h.askedAt) >= settleDelay && !now.Before(h.retryAt)
}

// idle reports whether the holding can be evicted.
func (h *holding) idle(now time.Time) bool {
	return now.Sub(h.usedAt) > idleRetention
}

// meter measures the rate of recent events by an average that decays with the time constant leaseAhead.
type meter struct {
	level   float64
	updated time.Time
}

func (m *meter) add(now time.Time) {
	m.decay(now)
	m.level++
}

func (m *meter) decay(now time.Time) {
	if past := now.Sub(m.updated); past > 0 {
		m.level *= math.Exp(-float64(past) / float64(leaseAhead))
		m.updated = now
	}
}

// rate returns the events per second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.level / leaseAhead.Seconds()
}
