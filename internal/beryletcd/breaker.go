package beryletcd

import "time"

const (
	// breakerTrips is the number of failures in a row that opens a breaker.
	breakerTrips = 5
	// breakerLeast is the shortest time that a breaker stays open.
	breakerLeast = 200 * time.Millisecond
	// breakerMost is the longest time that a breaker stays open, jitter apart.
	breakerMost = 5 * time.Second
)

// breaker keeps calls away from an endpoint that fails; it has no clock of its own.
type breaker struct {
	failures int
	openTill time.Time
	pause    time.Duration
	probing  bool
}

// allow reports whether a call may go out; after an open period one call at a time may.
func (b *breaker) allow(now time.Time) bool {
	if !b.open() {
		return true
	}
	if now.Before(b.openTill) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// open reports whether calls are kept away but for single tries.
func (b *breaker) open() bool {
	return b.failures >= breakerTrips
}

// succeed closes the breaker and reports whether it was open.
func (b *breaker) succeed() (changed bool) {
	changed = b.open()
	*b = breaker{}
	return changed
}

// fail counts a failure and reports whether it opened the breaker; jitter in [0, 1) spreads the end of the open period.
func (b *breaker) fail(now time.Time, jitter float64) (changed bool) {
	b.failures++
	b.probing = false
	if !b.open() {
		return false
	}
	b.pause = min(max(2*b.pause, breakerLeast), breakerMost)
	b.openTill = now.Add(b.pause + time.Duration(jitter*float64(b.pause)))
	return b.failures == breakerTrips
}
