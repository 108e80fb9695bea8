package berylrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpath"
)

// resultWithoutPermit ends a request for which no permit was granted.
func (x *exchange) resultWithoutPermit(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if x.possibleRuns > 0 {
		return x.failedResult(ctx)
	}
	if !x.mayStart() {
		return x.resultStopping()
	}
	x.cause = refusal
	return x.result(beryloutcome.NotRun, x.notRunRefusal(refusal.RetryAfter))
}

// resultQuarantined ends a request whose prompt is quarantined.
func (x *exchange) resultQuarantined(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	x.cause = refusal
	if x.possibleRuns > 0 {
		return x.failedResult(ctx)
	}
	return x.result(beryloutcome.NotRun, refusal)
}

// resultStopping ends a request that this host can't finish before it stops. Another host takes it at once.
func (x *exchange) resultStopping() beryloutcome.Result {
	x.cause = beryldrain.ErrStopping
	return x.result(beryloutcome.NotRun, x.notRunRefusal(minRetryAfter))
}

// failedResult ends a request whose calls have failed.
func (x *exchange) failedResult(ctx context.Context) beryloutcome.Result {
	if x.possibleRuns == 0 && errors.Is(x.cause, berylpath.ErrNoPath) {
		return x.result(beryloutcome.NotRun, x.notRunRefusal(noPathRetryAfter))
	}
	if x.possibleRuns == 0 {
		return x.result(beryloutcome.NotRun, x.notRunRefusal(minRetryAfter))
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return x.result(beryloutcome.Unknown, &beryloutcome.Refusal{
		Status:  status,
		Code:    beryloutcome.CodeUnknown,
		Message: "the request may have run, but its answer did not arrive whole",
	})
}

func (x *exchange) notRunRefusal(wait time.Duration) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "the request was not run; send it again",
		RetryAfter: max(wait, minRetryAfter),
	}
}

func (x *exchange) result(kind beryloutcome.Kind, refusal *beryloutcome.Refusal) beryloutcome.Result {
	return beryloutcome.Result{Kind: kind, Refusal: refusal, Upstream: x.upstream, TimeToFirstToken: x.timeToFirstEvent, Attempts: x.sends}
}
