package berylrelay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylresponse"
)

// handleFailure decides what follows a call whose answer did not arrive completely.
func (x *exchange) handleFailure(ctx context.Context, report *berylpermit.Report, err error) step {
	x.cause = err
	report.Fault = x.isUpstreamFault(ctx) && !errors.Is(err, berylresponse.ErrNoRoom)
	if errors.Is(err, berylpath.ErrNoPath) {
		report.Fault = false
		return stepFail // no other upstream can be reached either
	}
	if errors.Is(err, ErrUnsent) {
		return stepRetry
	}
	if report.Fault && report.Tokens < soundEvents && !errors.Is(err, errStalled) {
		x.recordBreak(report.Tokens)
	}
	report.Kind = beryloutcome.Unknown
	if errors.Is(context.Cause(ctx), context.Canceled) {
		report.Kind = beryloutcome.Cancelled
		return stepFail
	}
	if x.mayRunAgain(x.possibleRuns) {
		return stepRetry
	}
	return stepFail
}

// withholdStatus ends a request that an upstream may have run and has answered with a status by which the caller would take it for
// one that has not run.
func (x *exchange) withholdStatus(status int, report *berylpermit.Report) step {
	report.Kind = beryloutcome.Failed
	x.Quarantine.RecordSound(x.prompt)
	x.cause = errors.Newf("the upstream answered with status %d without stating that it has not run the request", status)
	if x.Metrics != nil {
		x.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_relay_withheld_total{status=\"%d\"}", status)).Inc()
	}
	return stepFail
}

// recordBreak notes a call that broke off after the given number of events, as its request may have crashed the upstream. An event
// clears the parts of its prompt.
func (x *exchange) recordBreak(events int) {
	x.brokeEarly = true
	prompt := x.prompt
	if events == 0 {
		x.brokeUnanswered = true
	} else {
		prompt.Parts = nil
	}
	x.Quarantine.RecordBreak(x.calledUpstream, prompt, x.sentAt)
}

// isUpstreamFault reports whether a failed call counts as a fault of its upstream. A call that the caller cancelled
// does not. A call that ran into the request's deadline does only if the upstream had been silent for too long by
// then.
func (x *exchange) isUpstreamFault(ctx context.Context) bool {
	switch cause := beryloutcome.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return false
	case errors.Is(cause, context.DeadlineExceeded):
		return time.Since(x.lastProgress) >= x.stallTimeout()
	default:
		return true
	}
}
