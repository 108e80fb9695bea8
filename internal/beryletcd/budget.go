package beryletcd

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// callBudget limits the calls of this process to its share of the service's call rate.
type callBudget struct {
	limiter *rate.Limiter
}

// newBudget returns an unlimited budget.
func newBudget() callBudget {
	return callBudget{limiter: rate.NewLimiter(rate.Inf, 1)}
}

// setRate sets the rate in calls per second, with bursts of up to one second's worth; zero or below means unlimited.
func (b callBudget) setRate(callsPerSecond float64) {
	if callsPerSecond <= 0 {
		b.limiter.SetLimit(rate.Inf)
		return
	}
	b.limiter.SetLimit(rate.Limit(callsPerSecond))
	b.limiter.SetBurst(max(1, int(math.Ceil(callsPerSecond))))
}

// wait takes one call from the budget. It waits until the context's deadline, or for at most longest if the context has
// none, and fails with ErrOverBudget.
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

// takeNow takes one call from the budget without waiting; later calls wait for longer instead.
func (b callBudget) takeNow() {
	b.limiter.Reserve()
}
