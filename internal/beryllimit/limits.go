package beryllimit

import "time"

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

// Account is a client account with its limits over all hosts together. A zero limit means unlimited.
type Account struct {
	// Name is unique among the accounts.
	Name string
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64
	// TokensPerMinute bounds the rate of tokens. Concurrent bounds the requests in flight. Neither applies if Windowed is set.
	TokensPerMinute int
	Concurrent      int
	// Windowed holds the account's requests to the bound on any window of 5 s, by Admit in place of Take.
	Windowed bool
	// Burst is how many requests may come at once if Windowed is set. Otherwise it is what accrues in requestBurst.
	Burst float64
}

// limits are one account's limits over all hosts together.
type limits struct {
	requests limit
	tokens   limit
	// slots is the most requests in flight at once; zero means unlimited.
	slots int
}

func limitsOf(a *Account) limits {
	tokens := float64(a.TokensPerMinute)
	return limits{
		requests: limit{rate: a.RequestsPerSecond, burst: max(1, a.RequestsPerSecond*requestBurst.Seconds())},
		tokens:   limit{rate: tokens / time.Minute.Seconds(), burst: tokens},
		slots:    a.Concurrent,
	}
}

// isUnlimited reports whether the account has no limit at all.
func isUnlimited(a *Account) bool {
	return a.RequestsPerSecond == 0 && a.TokensPerMinute == 0 && a.Concurrent == 0
}
