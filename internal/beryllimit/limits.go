package beryllimit

import (
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

const (
	// requestBurst is the time for which an unused request rate accrues.
	requestBurst = time.Second
	// leaseChunk sets how much a host leases beyond its current need: the amount that accrues in this time.
	leaseChunk = 100 * time.Millisecond
	// leaseDuration is how long a host may use what it has leased.
	leaseDuration = 3 * time.Second
	// maxWait bounds the predicted wait, and with it the Retry-After of a refusal.
	maxWait = time.Hour
	// idleRetention is the least time for which the state of an account without requests is kept.
	idleRetention = 2 * time.Minute
	// maxRetention bounds how long that state is kept while its buckets refill.
	maxRetention = 24 * time.Hour
)

// limits are one account's limits over all hosts together.
type limits struct {
	requests limit
	tokens   limit
	// slots is the most requests in flight at once; zero means unlimited.
	slots int
}

func limitsOf(c *berylconf.Caller) limits {
	tokens := float64(c.TokensPerMinute)
	return limits{
		requests: limit{rate: c.RequestsPerSecond, burst: max(1, c.RequestsPerSecond*requestBurst.Seconds())},
		tokens:   limit{rate: tokens / time.Minute.Seconds(), burst: tokens},
		slots:    c.Concurrent,
	}
}

// isUnlimited reports whether the account has no limit at all.
func isUnlimited(c *berylconf.Caller) bool {
	return c.RequestsPerSecond == 0 && c.TokensPerMinute == 0 && c.Concurrent == 0
}
