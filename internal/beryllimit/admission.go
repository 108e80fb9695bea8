package beryllimit

import (
	"context"
	"time"
)

// admission is one request on its way through admission control.
type admission struct {
	limiter *Limiter
	quota   *lockedQuota
	account *Account
	limits  *limits
	tokens  float64
}

func (a *admission) tryLocally() decision {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	return a.admitLocked()
}

// admitLocked applies the quota to the request; the caller holds the quota's lock.
func (a *admission) admitLocked() decision {
	now := time.Now()
	live := 1
	if now.Before(a.quota.fallbackUntil) {
		live = len(a.limiter.config.LiveHosts())
	}
	return a.quota.admit(now, a.limits, live, a.tokens)
}

// tryWithLease waits for its turn to send a lease request. It sends one only if the quota, which another request may
// have filled meanwhile, still doesn't cover this request. If no slot is free it tries once more after slotRetryDelay.
func (a *admission) tryWithLease(ctx context.Context) decision {
	select {
	case a.quota.requesting <- struct{}{}:
	case <-ctx.Done():
		return decision{}
	}
	defer func() { <-a.quota.requesting }()
	d := a.tryLocally()
	if !d.needsLease {
		return d
	}
	d = a.leaseAndAdmit(ctx)
	if !d.slotsExhausted {
		return d
	}
	sleepContext(ctx, slotRetryDelay)
	return a.leaseAndAdmit(ctx)
}

// leaseAndAdmit sends a lease request. It then records the grant and decides under one lock, before another request can
// use what was granted.
func (a *admission) leaseAndAdmit(ctx context.Context) decision {
	a.quota.mu.Lock()
	req := a.quota.leaseRequest(a.limits, a.tokens)
	a.quota.mu.Unlock()
	grant, err := a.limiter.requestLease(ctx, a.account.Name, req)
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.limiter.applyGrant(&a.quota.quota, req, grant, err)
	return a.admitLocked()
}
