package beryletcd

import "time"

const (
	// breakerThreshold is the number of consecutive failures that opens a breaker.
	breakerThreshold = 5
	// minOpenPeriod is the shortest time that a breaker stays open.
	minOpenPeriod = 200 * time.Millisecond
	// maxOpenPeriod is the longest time that a breaker stays open, before jitter.
	maxOpenPeriod = 5 * time.Second
)

// breaker is a circuit breaker: it stops calls to an endpoint that keeps failing. The caller passes in the current
// time.
type breaker struct {
	failures   int
	openUntil  time.Time
	openPeriod time.Duration
	probing    bool
}

// allow reports whether a call may be sent. After an open period it permits one probe call at a time.
func (b *breaker) allow(now time.Time) bool {
	if !b.open() {
		return true
	}
	if now.Before(b.openUntil) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// open reports whether the breaker is open, so that no calls but probes may be sent.
func (b *breaker) open() bool {
	return b.failures >= breakerThreshold
}

// recordSuccess closes the breaker and reports whether it was open.
func (b *breaker) recordSuccess() (changed bool) {
	changed = b.open()
	*b = breaker{}
	return changed
}

// recordFailure counts a failure and reports whether it opened the breaker; jitter in [0, 1) spreads the ends of open
// periods.
func (b *breaker) recordFailure(now time.Time, jitter float64) (changed bool) {
	b.failures++
	b.probing = false
	if !b.open() {
		return false
	}
	b.openPeriod = min(max(2*b.openPeriod, minOpenPeriod), maxOpenPeriod)
	b.openUntil = now.Add(b.openPeriod + time.Duration(jitter*float64(b.openPeriod)))
	return b.failures == breakerThreshold
}
