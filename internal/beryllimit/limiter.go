package beryllimit

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// leaseRequestTimeout bounds how long a request waits for the account's owner to answer.
	leaseRequestTimeout = 50 * time.Millisecond
	// slotRetryDelay is how long a request without a slot waits before its second and last lease request. In that time
	// the owner may learn of a slot that was just released on another host.
	slotRetryDelay = 10 * time.Millisecond
	// renewInterval is how often slot leases are renewed and idle state is evicted.
	renewInterval = time.Second

	// maxQueuedReturns bounds the queue of accounts whose released slots are still to be returned to the owner.
	maxQueuedReturns = 1024

	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = time.Second
)

// Config holds a limiter's dependencies; Self, LiveHosts and Account must be set.
type Config struct {
	// Self is the name of this host.
	Self string
	// LiveHosts returns the names of the live hosts, this one included.
	LiveHosts func() []string
	// Account returns the account of that name in the configuration in force, and false if there is none.
	Account func(name string) (Account, bool)
	// RequestLease sends a lease request to another host, whose HandleLeaseRequest answers it. If it is nil, accounts
	// that other hosts own are limited by this host's share.
	RequestLease func(ctx context.Context, host string, req LeaseRequest) (LeaseGrant, error)
	// Owners returns the host that owns each group of windowed accounts. Nil means that there are no windowed accounts. A
	// list of which any entry has changed must be another slice.
	Owners func() []string
	// Listed returns the number of hosts in the fleet, live or not, and zero while it is not known. It is needed if Owners is
	// set.
	Listed func() int
	// Log receives a bounded number of lines about windowed accounts; nil means none.
	Log logrus.FieldLogger
	// Metrics is where the limiter's metrics are registered; nil leaves them unpublished.
	Metrics *metrics.Set
}

// Limiter admits or refuses requests by the limits of their client account, and answers lease requests for the accounts
// that this host owns.
type Limiter struct {
	config Config
	// returns queues the accounts for which a request has ended, so that Run returns the unused slots.
	returns  chan string
	refused  *metrics.Counter
	fallback *metrics.Counter

	asked *metrics.Counter

	// mu guards quotas and holdings, what this host holds of each account's limits; holdings are those of windowed accounts.
	mu       sync.RWMutex
	quotas   map[string]*lockedQuota
	holdings map[string]*lockedHolding

	// ownerMu guards accounts and ownership, the state of the accounts that this host owns.
	ownerMu   sync.Mutex
	accounts  map[string]*accountState
	ownership ownership

	logMu sync.Mutex
	lines lineBudget
}

// lockedQuota is a quota with its locks. The channel requesting has a capacity of one and serves as a lock: a goroutine
// holds it while it sends a lease request, so that each quota has at most one in flight. It does not hold mu meanwhile.
type lockedQuota struct {
	requesting chan struct{}
	mu         sync.Mutex
	quota
}

// New returns a limiter. Run must be running for leases to be renewed and idle state to be evicted.
func New(config Config) *Limiter {
	set := config.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	return &Limiter{
		config:   config,
		returns:  make(chan string, maxQueuedReturns),
		refused:  set.GetOrCreateCounter("berylroad_limit_refused_total"),
		fallback: set.GetOrCreateCounter("berylroad_limit_fallback_total"),
		asked:    set.GetOrCreateCounter("berylroad_limit_lease_requests_total"),
		quotas:   make(map[string]*lockedQuota),
		holdings: make(map[string]*lockedHolding),
		accounts: make(map[string]*accountState),
	}
}

// Take admits one request of the given number of tokens or refuses it. The caller of Take must call the returned
// function when the request has ended. For an account without limits it takes no locks and sends nothing.
func (l *Limiter) Take(ctx context.Context, account *Account, tokens int) (func(), *beryloutcome.Refusal) {
	if isUnlimited(account) {
		return noop, nil
	}
	bounds := limitsOf(account)
	if bounds.tokens.rate > 0 && float64(tokens) > bounds.tokens.burst {
		return nil, l.refuse(tooManyTokensRefusal(account))
	}
	q := l.quota(account.Name)
	r := admission{limiter: l, quota: q, account: account, limits: &bounds, tokens: float64(tokens)}
	d := r.tryLocally()
	if d.needsLease {
		d = r.tryWithLease(ctx)
	}
	if !d.admitted {
		return nil, l.refuse(overLimitRefusal(account, d))
	}
	return func() { l.release(q, account, &bounds) }, nil
}

func noop() {}

// applyGrant records the owner's answer in the quota; on an error the quota falls back to its share.
func (l *Limiter) applyGrant(q *quota, req LeaseRequest, grant LeaseGrant, err error) {
	if err != nil {
		l.fallback.Inc()
		q.fallBack(time.Now())
		return
	}
	q.recordGrant(time.Now(), req, grant)
}

// requestLease sends a lease request to the account's owner, or answers it here if this host is the owner.
func (l *Limiter) requestLease(ctx context.Context, account string, req LeaseRequest) (LeaseGrant, error) {
	req.Caller = account
	req.Host = l.config.Self
	owner := Owner(req.Caller, l.config.LiveHosts())
	if owner == l.config.Self || owner == "" {
		return l.HandleLeaseRequest(ctx, l.config.Self, req)
	}
	if l.config.RequestLease == nil {
		return LeaseGrant{}, errors.New("no other host can be reached")
	}
	bounded, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	return l.config.RequestLease(bounded, owner, req)
}

func (l *Limiter) quota(name string) *lockedQuota {
	l.mu.RLock()
	q := l.quotas[name]
	l.mu.RUnlock()
	if q != nil {
		return q
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quotas[name] == nil {
		l.quotas[name] = &lockedQuota{requesting: make(chan struct{}, 1)}
	}
	return l.quotas[name]
}

func (l *Limiter) release(q *lockedQuota, account *Account, bounds *limits) {
	q.mu.Lock()
	notifyOwner := q.quota.release(bounds)
	q.mu.Unlock()
	if !notifyOwner {
		return
	}
	select {
	case l.returns <- account.Name:
	default: // The queue is full; the next renewal returns the slot.
	}
}

func (l *Limiter) refuse(r *beryloutcome.Refusal) *beryloutcome.Refusal {
	l.refused.Inc()
	return r
}

func sleepContext(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
