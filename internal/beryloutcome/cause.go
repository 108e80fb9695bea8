package beryloutcome

import (
	"context"
	"time"
)

// Cause is context.Cause, but for a context whose deadline is over and whose timer has not run yet: a dialer has a timer of
// its own, which may run before.
func Cause(ctx context.Context) error {
	cause := context.Cause(ctx)
	if deadline, bounded := ctx.Deadline(); cause == nil && bounded && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return cause
}
