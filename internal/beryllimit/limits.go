package beryllimit

import (
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

const (
	// requestBurst is how long a caller's unused request rate can be saved up.
	requestBurst = time.Second
	// leaseChunk is how much of a rate is lent beyond what is needed now.
	leaseChunk = 100 * time.Millisecond
	// leaseDuration is how long a loan lasts.
	leaseDuration = 3 * time.Second
	// maxWait bounds the time that a refusal names.
	maxWait = time.Hour
	// idleRetention is how long the state of a silent caller is kept at least.
	idleRetention = 2 * time.Minute
	// maxRetention is how long it is kept at most while its buckets fill up.
	maxRetention = 24 * time.Hour
)

// limits are one caller's limits over the fleet.
type limits struct {
	requests limit
	tokens   limit
	slots    int
}

func limitsOf(c *berylconf.Caller) limits {
	tokens := float64(c.TokensPerMinute)
	return limits{
		requests: limit{rate: c.RequestsPerSecond, burst: max(1, c.RequestsPerSecond*requestBurst.Seconds())},
		tokens:   limit{rate: tokens / time.Minute.Seconds(), burst: tokens},
		slots:    c.Concurrent,
	}
}

// isUnlimited reports whether the caller has no limit at all.
func isUnlimited(c *berylconf.Caller) bool {
	return c.RequestsPerSecond == 0 && c.TokensPerMinute == 0 && c.Concurrent == 0
}
