package beryllimit

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// retryAfterStep is the resolution of the Retry-After that callers get.
const retryAfterStep = 10 * time.Millisecond

// lockedHolding is a holding with its locks. Whoever sends a lease request holds the channel requesting, but not mu.
type lockedHolding struct {
	requesting chan struct{}
	mu         sync.Mutex
	holding
	// account is the account as the last request named it, and waiting counts the requests that wait for a lease.
	account Account
	waiting int
	totals  totals
}

// Admission is one request that was admitted by the limits of its account.
type Admission struct {
	limiter *Limiter
	holding *lockedHolding
	from    source
}

// Refund gives the request back: no upstream has run it or will run it.
func (a *Admission) Refund() {
	a.holding.mu.Lock()
	defer a.holding.mu.Unlock()
	a.holding.refund(time.Now(), a.from)
	a.holding.totals.refunded++
}

// Charge counts a further send of the request that an upstream may have run. It is never refused.
func (a *Admission) Charge() {
	a.holding.mu.Lock()
	defer a.holding.mu.Unlock()
	a.holding.charge(time.Now())
	a.holding.totals.charged++
}

// Admit admits one request of a windowed account, or refuses it. For an account without a limit it returns nil and does
// nothing.
func (l *Limiter) Admit(ctx context.Context, account *Account) (*Admission, *beryloutcome.Refusal) {
	if account.RequestsPerSecond <= 0 {
		return nil, nil
	}
	h := l.holding(account)
	d := l.decide(h, account)
	if d.ask {
		d = l.askAndDecide(ctx, h, account)
	}
	if d.renew {
		l.renewAhead(h)
	}
	if d.admitted == fromNothing {
		l.refused.Inc()
		return nil, windowRefusal(account, d.wait)
	}
	return &Admission{limiter: l, holding: h, from: d.admitted}, nil
}

// decide applies the holding to one request and counts the decision.
func (l *Limiter) decide(h *lockedHolding, account *Account) windowDecision {
	listed := l.listed()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account = *account
	d := h.admit(now, windowLimitOf(account), listed)
	if d.ask {
		return d
	}
	h.totals.count(now, d.admitted)
	if d.admitted == fromNothing {
		l.logDecision(now, h, "refused", d.wait, nil)
	}
	return d
}

// askAndDecide waits for its turn to send a lease request, unless the answer to another request's has settled it. The request
// is for all that wait.
func (l *Limiter) askAndDecide(ctx context.Context, h *lockedHolding, account *Account) windowDecision {
	h.addWaiting(1)
	for {
		select {
		case h.requesting <- struct{}{}:
		case <-ctx.Done():
			h.addWaiting(-1)
			return windowDecision{wait: windowLimitOf(account).interval()}
		}
		d := l.decide(h, account)
		if d.ask {
			l.lease(ctx, h)
			d = l.decide(h, account)
		}
		if !d.ask {
			// Before the next lease request, which must not ask for this request too: nobody would spend what is granted.
			h.addWaiting(-1)
		}
		<-h.requesting
		if !d.ask {
			return d
		}
	}
}

func (h *lockedHolding) addWaiting(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting += n
}

// renewAhead sends a lease request in the background, unless one is in flight.
func (l *Limiter) renewAhead(h *lockedHolding) {
	select {
	case h.requesting <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-h.requesting }()
		l.lease(context.Background(), h)
	}()
}

// lease sends one lease request and records its answer. The caller holds the channel requesting.
func (l *Limiter) lease(ctx context.Context, h *lockedHolding) {
	h.mu.Lock()
	account := h.account
	req := h.request(time.Now(), h.waiting)
	h.mu.Unlock()
	// A caller that leaves must not make the owner look lost.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseRequestTimeout)
	defer cancel()
	owner, grant, err := l.requestWindowLease(bounded, account.Name, req)
	l.asked.Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if err == nil {
		h.record(now, req, grant)
		return
	}
	l.fallback.Inc()
	first := !h.holding.fallback
	h.fail(now, windowLimitOf(&account), l.listed())
	if first {
		l.logDecision(now, h, "share", 0, fmt.Errorf("owner %q: %w", owner, err))
	}
}

func (l *Limiter) holding(account *Account) *lockedHolding {
	l.mu.RLock()
	h := l.holdings[account.Name]
	l.mu.RUnlock()
	if h != nil {
		return h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holdings[account.Name] == nil {
		l.holdings[account.Name] = &lockedHolding{requesting: make(chan struct{}, 1), holding: *newHolding(time.Now()), account: *account}
	}
	return l.holdings[account.Name]
}

// listed returns the number of listed hosts. While the list is not known, shares are those of a large fleet.
func (l *Limiter) listed() int {
	if n := l.config.Listed(); n > 0 {
		return n
	}
	return unknownListed
}

// windowRefusal is the refusal of a request that can be admitted after wait. The platform sends hundredths of a second; rounding
// up keeps the caller from coming back too early.
func windowRefusal(account *Account, wait time.Duration) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusTooManyRequests,
		Code:   beryloutcome.CodeOverLimit,
		Message: fmt.Sprintf("The account %q is over its limit of %g requests a second and the request was not run; come back after Retry-After.",
			account.Name, account.RequestsPerSecond),
		RetryAfter: (wait + retryAfterStep - 1).Truncate(retryAfterStep),
	}
}
