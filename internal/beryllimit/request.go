package beryllimit

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// admission is one admission that a quota is to admit.
type admission struct {
	limiter *Limiter
	quota   *lockedQuota
	caller  *berylconf.Caller
	limits  *limits
	tokens  float64
}

func (r *admission) tryLocally() decision {
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	return r.admitLocked()
}

// admitLocked is called under the quota's lock.
func (r *admission) admitLocked() decision {
	now := time.Now()
	live := 1
	if now.Before(r.quota.fallbackUntil) {
		live = len(r.limiter.config.LiveHosts())
	}
	return r.quota.admit(now, r.limits, live, r.tokens)
}

// tryWithLease asks the owner, unless another request has just done so, and tries again.
func (r *admission) tryWithLease(ctx context.Context) decision {
	select {
	case r.quota.requesting <- struct{}{}:
	case <-ctx.Done():
		return decision{}
	}
	defer func() { <-r.quota.requesting }()
	d := r.tryLocally()
	if !d.needsLease {
		return d
	}
	d = r.leaseAndAdmit(ctx)
	if !d.slotsExhausted {
		return d
	}
	sleepContext(ctx, slotRetryDelay)
	return r.leaseAndAdmit(ctx)
}

// leaseAndAdmit asks the owner and tries again before any other request can use the loan.
func (r *admission) leaseAndAdmit(ctx context.Context) decision {
	r.quota.mu.Lock()
	req := r.quota.leaseRequest(r.limits, r.tokens)
	r.quota.mu.Unlock()
	grant, err := r.limiter.requestLease(ctx, r.caller.Name, req)
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	r.limiter.applyGrant(&r.quota.quota, req, grant, err)
	return r.admitLocked()
}
