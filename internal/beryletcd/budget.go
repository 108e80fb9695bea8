package beryletcd

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// callBudget is the share of the service's call rate that this process may use.
type callBudget struct {
	limiter *rate.Limiter
}

// newBudget returns an unlimited budget.
func newBudget() callBudget {
	return callBudget{limiter: rate.NewLimiter(rate.Inf, 1)}
}

// setRate makes the rate callsPerSecond, with bursts of up to one second's worth; zero or below means unlimited.
func (b callBudget) setRate(callsPerSecond float64) {
	if callsPerSecond <= 0 {
		b.limiter.SetLimit(rate.Inf)
		return
	}
	b.limiter.SetLimit(rate.Limit(callsPerSecond))
	b.limiter.SetBurst(max(1, int(math.Ceil(callsPerSecond))))
}

// wait takes one call from the budget, waiting until the context's deadline or for at most longest where it has none.
func (b callBudget) wait(ctx context.Context, longest time.Duration) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, longest)
		defer cancel()
	}
	if err := b.limiter.Wait(ctx); err != nil {
		return ErrOverBudget
	}
	return nil
}

// takeNow takes one call from the budget without waiting.
func (b callBudget) takeNow() {
	b.limiter.Reserve()
}
