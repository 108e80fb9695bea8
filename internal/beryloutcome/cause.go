package beryloutcome

import (
	"context"
	"time"
)

// Cause is context.Cause, except that it also recognizes a context whose deadline has passed and whose timer has not
// fired yet: a dialer has a timer of its own, which may fire first.
func Cause(ctx context.Context) error {
	cause := context.Cause(ctx)
	if deadline, bounded := ctx.Deadline(); cause == nil && bounded && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return cause
}
