package berylsched

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// limitBurst is the span whose requests by its limit an upstream may get at once.
	limitBurst = time.Second
	// minLimitRate is the least number of requests a second that is granted whatever the limit, since only an answer can
	// say that the limit has ended.
	minLimitRate = 0.5
	// maxLimitBurst bounds the requests that an upstream may get at once.
	maxLimitBurst = 1 << 16
	// loadLimitDelay is how long a limit stays in force although loads reported by the owner no longer name it: they may
	// have been sent before the owner knew of the limit.
	loadLimitDelay = time.Second
)

// rateLimit holds an upstream to the limit that it names, with a token bucket. The zero value is without a limit.
type rateLimit struct {
	berylpermit.Limit
	// statedAt is when the limit was last stated.
	statedAt time.Time
	bucket   *rate.Limiter // nil without a limit
}

// state applies what an answer says to a call that was sent at sentAt, and reports whether the limit has changed. A lower
// limit applies at once. A higher one, or the end of the limit, applies only if the call was sent after the last statement,
// since answers to calls that run side by side arrive in any order.
func (r *rateLimit) state(now time.Time, l berylpermit.Limit, sentAt time.Time) bool {
	if !l.Known {
		return false
	}
	lower := l.Limited && (!r.Limited || l.PerSecond <= r.PerSecond)
	if !lower && sentAt.Before(r.statedAt) {
		return false
	}
	r.statedAt = now
	if l.Limited == r.Limited && l.PerSecond == r.PerSecond {
		return false
	}
	r.Limit = l
	switch {
	case !l.Limited:
		r.bucket = nil
	case r.bucket == nil:
		r.bucket = emptyBucket(now, l.PerSecond)
	default:
		r.bucket.SetLimitAt(now, bucketRate(l.PerSecond))
		r.bucket.SetBurstAt(now, bucketSize(l.PerSecond))
	}
	return true
}

// restart empties the bucket, because it is not known what other owners have granted.
func (r *rateLimit) restart(now time.Time) {
	if r.bucket != nil {
		r.bucket = emptyBucket(now, r.PerSecond)
	}
}

// tokens returns how many requests may be granted now, or positive infinity without a limit.
func (r *rateLimit) tokens(now time.Time) float64 {
	if r.bucket == nil {
		return math.Inf(1)
	}
	return r.bucket.TokensAt(now)
}

// most returns the most requests a second, or positive infinity without a limit.
func (r *rateLimit) most() float64 {
	if r.bucket == nil {
		return math.Inf(1)
	}
	return float64(r.bucket.Limit())
}

// take counts a granted request.
func (r *rateLimit) take(now time.Time) {
	if r.bucket != nil {
		r.bucket.AllowN(now, 1)
	}
}

// usedShare returns the share of the bucket that would be used after one more request, from 0 to 1.
func (r *rateLimit) usedShare(now time.Time) float64 {
	if r.bucket == nil {
		return 0
	}
	return 1 - (r.bucket.TokensAt(now)-1)/float64(r.bucket.Burst())
}

// emptyBucket returns a bucket without tokens. A limit is learned, and an upstream taken over, while others may just have
// sent as many requests as the bucket holds.
func emptyBucket(now time.Time, perSecond float64) *rate.Limiter {
	bucket := rate.NewLimiter(bucketRate(perSecond), bucketSize(perSecond))
	bucket.AllowN(now, bucket.Burst())
	return bucket
}

func bucketRate(perSecond float64) rate.Limit {
	return rate.Limit(max(perSecond, minLimitRate))
}

func bucketSize(perSecond float64) int {
	return int(min(max(perSecond*limitBurst.Seconds(), 1), maxLimitBurst))
}

// grantable counts the permits that the upstream may be granted now, by its slots and its limit.
func (u *upstream) grantable(now time.Time) int {
	free := u.freeSlots()
	if free <= 0 || u.limit.bucket == nil {
		return free
	}
	return min(free, int(u.limit.tokens(now)))
}

// mayTakeToken reports whether the upstream's limit admits a permit for that kind of work. Batch work leaves half of the
// bucket to online work, unless upstreams without a limit can run all online requests that arrive.
func (t *target) mayTakeToken(now time.Time, u *upstream, k workKind) bool {
	if u.limit.bucket == nil {
		return true
	}
	tokens := u.limit.tokens(now)
	if k == batchWork && t.arrivals.value(now) > t.throughput.unlimitedPerSecond {
		tokens -= float64(u.limit.bucket.Burst()) / 2
	}
	return tokens >= 1
}
