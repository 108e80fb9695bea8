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
	// askTimeout bounds how long a request waits for its caller's owner.
	askTimeout = 50 * time.Millisecond
	// slotPause is how long a request waits for the release of one that has just ended on another host.
	slotPause = 10 * time.Millisecond
	// renewInterval is how often held slots are confirmed and idle state is forgotten.
	renewInterval = time.Second

	maxReturns = 1024

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
	RequestLease func(ctx context.Context, host string, ask LeaseRequest) (LeaseGrant, error)
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
	quotas map[string]*guardedQuota

	ownerMu  sync.Mutex
	accounts map[string]*account
}

// guardedQuota is a quota and what guards it; who asks its owner holds the one place in asking.
type guardedQuota struct {
	asking chan struct{}
	mu     sync.Mutex
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
		returns:  make(chan *berylconf.Caller, maxReturns),
		refused:  set.GetOrCreateCounter("berylroad_limit_refused_total"),
		fallback: set.GetOrCreateCounter("berylroad_limit_fallback_total"),
		quotas:   make(map[string]*guardedQuota),
		accounts: make(map[string]*account),
	}
}

// Take uses up the caller's limits for one request; release is called when the request has ended.
// A caller without limits costs nothing.
func (l *Limiter) Take(ctx context.Context, caller *berylconf.Caller, tokens int) (func(), *beryloutcome.Refusal) {
	if isUnlimited(caller) {
		return doNothing, nil
	}
	bounds := limitsOf(caller)
	if bounds.tokens.rate > 0 && float64(tokens) > bounds.tokens.burst {
		return nil, l.refuse(tooManyTokens(caller))
	}
	p := l.quota(caller.Name)
	r := request{limiter: l, quota: p, caller: caller, limits: &bounds, tokens: float64(tokens)}
	v := r.try()
	if v.ask {
		v = r.tryAsking(ctx)
	}
	if !v.admitted {
		return nil, l.refuse(overLimit(caller, v))
	}
	return func() { l.release(p, caller, &bounds) }, nil
}

func doNothing() {}

// settle puts the owner's answer, or its silence, into the quota.
func (l *Limiter) settle(p *quota, ask LeaseRequest, grant LeaseGrant, err error) {
	if err != nil {
		l.fallback.Inc()
		p.unanswered(time.Now())
		return
	}
	p.lent(time.Now(), ask, grant)
}

// send asks the caller's owner, which may be this host.
func (l *Limiter) send(ctx context.Context, caller string, ask LeaseRequest) (LeaseGrant, error) {
	ask.Caller = caller
	ask.Host = l.config.Self
	owner := Owner(ask.Caller, l.config.LiveHosts())
	if owner == l.config.Self || owner == "" {
		return l.HandleLeaseRequest(ctx, l.config.Self, ask)
	}
	if l.config.RequestLease == nil {
		return LeaseGrant{}, errors.New("no other host can be reached")
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.config.RequestLease(bounded, owner, ask)
}

func (l *Limiter) quota(name string) *guardedQuota {
	l.mu.RLock()
	p := l.quotas[name]
	l.mu.RUnlock()
	if p != nil {
		return p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quotas[name] == nil {
		l.quotas[name] = &guardedQuota{asking: make(chan struct{}, 1)}
	}
	return l.quotas[name]
}

func (l *Limiter) release(p *guardedQuota, caller *berylconf.Caller, bounds *limits) {
	p.mu.Lock()
	tell := p.quota.release(bounds)
	p.mu.Unlock()
	if !tell {
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

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
