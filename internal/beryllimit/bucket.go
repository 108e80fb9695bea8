package beryllimit

import (
	"math"
	"time"
)

// bucket is a token bucket. It counts what is used, so the zero value is a full bucket.
type bucket struct {
	used    float64
	updated time.Time
}

// refill adds what has accrued since the last update, at rate per second.
func (b *bucket) refill(now time.Time, rate float64) {
	if past := now.Sub(b.updated); past > 0 {
		b.used = max(0, b.used-rate*past.Seconds())
		b.updated = now
	}
}

// take takes amount if it is available; otherwise it returns false and the time until it will be.
func (b *bucket) take(now time.Time, l limit, amount float64) (bool, time.Duration) {
	b.refill(now, l.rate)
	missing := b.used + amount - l.burst
	if missing <= 0 {
		b.used += amount
		return true, 0
	}
	wait := math.Ceil(missing / l.rate * float64(time.Second))
	return false, time.Duration(min(wait, float64(maxWait)))
}

// takeUpTo takes what is available, at most amount, and returns how much it took.
func (b *bucket) takeUpTo(now time.Time, l limit, amount float64) float64 {
	b.refill(now, l.rate)
	taken := min(amount, max(0, l.burst-b.used))
	b.used += taken
	return taken
}

// fullAt returns when the bucket will be full again.
func (b *bucket) fullAt(l limit) time.Time {
	if l.rate == 0 || b.used == 0 {
		return b.updated
	}
	return b.updated.Add(time.Duration(min(b.used/l.rate*float64(time.Second), float64(maxRetention))))
}

// limit is one rate limit; a zero rate means unlimited.
type limit struct {
	// rate is the sustained amount per second.
	rate float64
	// burst is the capacity of the bucket: the most that may be used at once.
	burst float64
}

// share returns one of n equal parts of the limit, with a burst of at least one unit unless the limit's is smaller.
func (l limit) share(n int) limit {
	parts := float64(max(n, 1))
	return limit{rate: l.rate / parts, burst: max(min(1, l.burst), l.burst/parts)}
}
