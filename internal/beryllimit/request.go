package beryllimit

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// request is one request that a purse is to admit.
type request struct {
	limiter *Limiter
	purse   *heldPurse
	caller  *berylconf.Caller
	limits  *limits
	tokens  float64
}

func (r *request) try() verdict {
	r.purse.mu.Lock()
	defer r.purse.mu.Unlock()
	return r.take()
}

// take is called under the purse's lock.
func (r *request) take() verdict {
	now := time.Now()
	live := 1
	if now.Before(r.purse.fallbackUntil) {
		live = len(r.limiter.config.Live())
	}
	return r.purse.take(now, r.limits, live, r.tokens)
}

// tryAsking asks the owner, unless another request has just done so, and tries again.
func (r *request) tryAsking(ctx context.Context) verdict {
	select {
	case r.purse.asking <- struct{}{}:
	case <-ctx.Done():
		return verdict{}
	}
	defer func() { <-r.purse.asking }()
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
	r.purse.mu.Lock()
	ask := r.purse.need(r.limits, r.tokens)
	r.purse.mu.Unlock()
	grant, err := r.limiter.send(ctx, r.caller.Name, ask)
	r.purse.mu.Lock()
	defer r.purse.mu.Unlock()
	r.limiter.settle(&r.purse.purse, ask, grant, err)
	return r.take()
}
