package beryllimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// leaseRequestTimeout bounds how long a request waits for its caller's owner.
	leaseRequestTimeout = 50 * time.Millisecond
	// slotRetryDelay is how long a request waits for the release of one that has just ended on another host.
	slotRetryDelay = 10 * time.Millisecond
	// renewInterval is how often held slots are confirmed and idle state is forgotten.
	renewInterval = time.Second

	maxQueuedReturns = 1024

	minRetryAfter = time.Second
)

// Config says what a limiter works with; Self, Live and Document must be set.
type Config struct {
	// Self names this host.
	Self string
	// LiveHosts returns the names of the live hosts, this one included.
	LiveHosts func() []string
	// Document returns the configuration in force, or nil when there is none yet.
	Document func() *berylconf.Document
	// RequestLease sends an ask to another host, whose HandleAsk answers it; nil means that no other host can be reached.
	RequestLease func(ctx context.Context, host string, req LeaseRequest) (LeaseGrant, error)
	// Metrics takes the limiter's metrics; nil drops them.
	Metrics *metrics.Set
}

// Limiter admits requests of callers by their limits over all live hosts.
type Limiter struct {
	config   Config
	returns  chan *berylconf.Caller
	refused  *metrics.Counter
	fallback *metrics.Counter
	callers  atomic.Pointer[callerIndex]

	mu     sync.RWMutex
	quotas map[string]*lockedQuota

	ownerMu  sync.Mutex
	accounts map[string]*account
}

// lockedQuota is a quota and what guards it; who asks its owner holds the one place in asking.
type lockedQuota struct {
	requesting chan struct{}
	mu         sync.Mutex
	quota
}

// New returns a limiter; Run must run beside it.
func New(config Config) *Limiter {
	set := config.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	return &Limiter{
		config:   config,
		returns:  make(chan *berylconf.Caller, maxQueuedReturns),
		refused:  set.GetOrCreateCounter("berylroad_limit_refused_total"),
		fallback: set.GetOrCreateCounter("berylroad_limit_fallback_total"),
		quotas:   make(map[string]*lockedQuota),
		accounts: make(map[string]*account),
	}
}

// Take uses up the caller's limits for one request; release is called when the request has ended.
// A caller without limits costs nothing.
func (l *Limiter) Take(ctx context.Context, caller *berylconf.Caller, tokens int) (func(), *beryloutcome.Refusal) {
	if isUnlimited(caller) {
		return noop, nil
	}
	bounds := limitsOf(caller)
	if bounds.tokens.rate > 0 && float64(tokens) > bounds.tokens.burst {
		return nil, l.refuse(tooManyTokensRefusal(caller))
	}
	q := l.quota(caller.Name)
	r := admission{limiter: l, quota: q, caller: caller, limits: &bounds, tokens: float64(tokens)}
	d := r.tryLocally()
	if d.needsLease {
		d = r.tryWithLease(ctx)
	}
	if !d.admitted {
		return nil, l.refuse(overLimitRefusal(caller, d))
	}
	return func() { l.release(q, caller, &bounds) }, nil
}

func noop() {}

// applyGrant puts the owner's answer, or its silence, into the quota.
func (l *Limiter) applyGrant(q *quota, req LeaseRequest, grant LeaseGrant, err error) {
	if err != nil {
		l.fallback.Inc()
		q.fallBack(time.Now())
		return
	}
	q.recordGrant(time.Now(), req, grant)
}

// requestLease asks the caller's owner, which may be this host.
func (l *Limiter) requestLease(ctx context.Context, caller string, req LeaseRequest) (LeaseGrant, error) {
	req.Caller = caller
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

func (l *Limiter) release(q *lockedQuota, caller *berylconf.Caller, bounds *limits) {
	q.mu.Lock()
	notifyOwner := q.quota.release(bounds)
	q.mu.Unlock()
	if !notifyOwner {
		return
	}
	select {
	case l.returns <- caller:
	default: // The next renewal tells the owner.
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
