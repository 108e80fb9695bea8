package beryletcd

import "time"

const (
	// breakerThreshold is the number of failures in a row that opens a breaker.
	breakerThreshold = 5
	// minOpenPeriod is the shortest time that a breaker stays open.
	minOpenPeriod = 200 * time.Millisecond
	// maxOpenPeriod is the longest time that a breaker stays open, jitter apart.
	maxOpenPeriod = 5 * time.Second
)

// breaker keeps calls away from an endpoint that fails; it has no clock of its own.
type breaker struct {
	failures   int
	openUntil  time.Time
	openPeriod time.Duration
	probing    bool
}

// allow reports whether a call may go out; after an open period one call at a time may.
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

// open reports whether calls are kept away but for single tries.
func (b *breaker) open() bool {
	return b.failures >= breakerThreshold
}

// recordSuccess closes the breaker and reports whether it was open.
func (b *breaker) recordSuccess() (changed bool) {
	changed = b.open()
	*b = breaker{}
	return changed
}

// recordFailure counts a failure and reports whether it opened the breaker; jitter in [0, 1) spreads the end of the open period.
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
