package beryllimit

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// request is one request that a quota is to admit.
type request struct {
	limiter *Limiter
	quota   *guardedQuota
	caller  *berylconf.Caller
	limits  *limits
	tokens  float64
}

func (r *request) try() verdict {
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	return r.take()
}

// take is called under the quota's lock.
func (r *request) take() verdict {
	now := time.Now()
	live := 1
	if now.Before(r.quota.fallbackUntil) {
		live = len(r.limiter.config.LiveHosts())
	}
	return r.quota.take(now, r.limits, live, r.tokens)
}

// tryAsking asks the owner, unless another request has just done so, and tries again.
func (r *request) tryAsking(ctx context.Context) verdict {
	select {
	case r.quota.asking <- struct{}{}:
	case <-ctx.Done():
		return verdict{}
	}
	defer func() { <-r.quota.asking }()
	v := r.try()
	if !v.ask {
		return v
	}
	v = r.ask(ctx)
	if !v.slots {
		return v
	}
	pause(ctx, slotPause)
	return r.ask(ctx)
}

// ask asks the owner and tries again before any other request can use the loan.
func (r *request) ask(ctx context.Context) verdict {
	r.quota.mu.Lock()
	ask := r.quota.need(r.limits, r.tokens)
	r.quota.mu.Unlock()
	grant, err := r.limiter.send(ctx, r.caller.Name, ask)
	r.quota.mu.Lock()
	defer r.quota.mu.Unlock()
	r.limiter.settle(&r.quota.quota, ask, grant, err)
	return r.take()
}
