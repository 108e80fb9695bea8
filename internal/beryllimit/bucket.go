package beryllimit

import (
	"math"
	"time"
)

// bucket is a token bucket whose zero value is full.
type bucket struct {
	used    float64
	updated time.Time
}

// refill gives back what has become free at rate a second.
func (b *bucket) refill(now time.Time, rate float64) {
	if past := now.Sub(b.updated); past > 0 {
		b.used = max(0, b.used-rate*past.Seconds())
		b.updated = now
	}
}

// take uses up amount if it is there and reports how long to wait if it is not.
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

// takeUpTo uses up what is there, but at most amount, and returns it.
func (b *bucket) takeUpTo(now time.Time, l limit, amount float64) float64 {
	b.refill(now, l.rate)
	taken := min(amount, max(0, l.burst-b.used))
	b.used += taken
	return taken
}

// fullAt returns when nothing of the bucket will be used any more.
func (b *bucket) fullAt(l limit) time.Time {
	if l.rate == 0 || b.used == 0 {
		return b.updated
	}
	return b.updated.Add(time.Duration(min(b.used/l.rate*float64(time.Second), float64(maxRetention))))
}

// limit is one rate limit; a zero rate is no limit.
type limit struct {
	// rate is the sustained amount a second.
	rate float64
	// burst is the most that may be used at once.
	burst float64
}

// share returns one of n equal parts, of which at least one unit may be used at once.
func (l limit) share(n int) limit {
	parts := float64(max(n, 1))
	return limit{rate: l.rate / parts, burst: max(min(1, l.burst), l.burst/parts)}
}
