package berylcall

import (
	"fmt"
	"net/http"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
	// retryAfter is the Retry-After of a request that may be sent again.
	retryAfter = time.Second
	// statusCancelled is the status in logs of a request whose caller has gone; no caller sees it.
	statusCancelled = 499
)

// progress is what a request has come to over its upstream calls so far.
type progress struct {
	// repeatable marks a request that may run more than once.
	repeatable bool
	// attempts counts the upstream calls.
	attempts int
	// sentBytes counts the request bytes that may have reached upstreams which may have run them.
	sentBytes int64
	// mayHaveRun marks that some upstream may have run the request.
	mayHaveRun bool
	// started marks that the sink has part of the answer.
	started bool
	// resumable marks that an answer in part can be continued from the tokens that the sink has.
	resumable bool
	// restartable marks a sink that takes an answer in part back.
	restartable bool
}

// retryLimits is what limits the next step.
type retryLimits struct {
	// maxAttempts is the most upstream calls.
	maxAttempts int
	// remaining is the time until the deadline.
	remaining time.Duration
	// hasBudget marks that the retry hasBudget has a retry left.
	hasBudget bool
}

// nextStep says what comes after an upstream call.
type nextStep uint8

const (
	// stepFinish ends the request.
	stepFinish nextStep = iota
	// stepRetry calls another upstream; nothing of an answer has reached the sink.
	stepRetry
	// stepResume calls another upstream and continues from the tokens that the sink has.
	stepResume
	// stepRestart takes the answer so far back from the sink and calls another upstream.
	stepRestart
)

// String returns the name used in tables of decisions.
func (a nextStep) String() string {
	return [...]string{"finish", "again", "resume", "restart"}[a]
}

// addResult counts an upstream call that has ended.
func (p *progress) addResult(e attemptResult) {
	if e.notRun() {
		return
	}
	p.sentBytes += e.sentBytes
	p.mayHaveRun = true
}

// next says what comes after a call that ended with e, which has been added.
func (p *progress) next(e attemptResult, r retryLimits) nextStep {
	if !p.mayRetry(e, r) {
		return stepFinish
	}
	if !p.started {
		return stepRetry
	}
	if p.resumable {
		return stepResume
	}
	if p.restartable {
		return stepRestart
	}
	return stepFinish
}

func (p *progress) mayRetry(e attemptResult, r retryLimits) bool {
	switch e.reason {
	case endWhole, endTooLarge, endDeadline, endCancelled, endYielded:
		return false
	}
	if p.attempts >= r.maxAttempts || r.remaining <= backoffBase {
		return false
	}
	if e.reason == endConnect {
		return true
	}
	if !r.hasBudget {
		return false
	}
	return p.repeatable || e.notRun()
}

// backoff returns the wait before the next upstream call; spread lies between 0 and 1.
func backoff(attempts int, jitter float64) time.Duration {
	limit := backoffMax
	if attempts < 7 {
		limit = min(backoffBase<<attempts, backoffMax)
	}
	return time.Duration(jitter * float64(limit))
}

// result ends the request with what its last upstream call came to.
func (p *progress) result(e attemptResult) beryloutcome.Result {
	r := beryloutcome.Result{Kind: p.kind(e), SentBytes: p.sentBytes, Upstream: e.upstream, Attempts: p.attempts}
	r.Refusal = p.refusal(r.Kind, e)
	return r
}

func (p *progress) kind(e attemptResult) beryloutcome.Kind {
	switch e.reason {
	case endWhole:
		return beryloutcome.Answered
	case endCancelled:
		return beryloutcome.Cancelled
	case endYielded:
		return beryloutcome.Yielded
	}
	if !p.mayHaveRun && !p.started {
		return beryloutcome.NotRun
	}
	if p.upstreamFailed(e) {
		return beryloutcome.Failed
	}
	return beryloutcome.Unknown
}

// upstreamFailed reports whether the answer itself shows that the upstream ran the request and upstreamFailed it. Of a request that
// must not be repeated, half an answer, garbage or 503 does not show whether it took effect.
func (p *progress) upstreamFailed(e attemptResult) bool {
	switch e.reason {
	case endTooLarge:
		return true
	case endServer:
		return p.repeatable || e.status != http.StatusServiceUnavailable
	case endGarbage, endCut, endStalled:
		return p.repeatable
	default:
		return false
	}
}

func (p *progress) refusal(kind beryloutcome.Kind, e attemptResult) *beryloutcome.Refusal {
	r := &beryloutcome.Refusal{Status: http.StatusBadGateway}
	if e.reason == endDeadline {
		r.Status = http.StatusGatewayTimeout
	}
	switch kind {
	case beryloutcome.Failed:
		r.Code = beryloutcome.CodeUpstream
		r.Message = fmt.Sprintf("the upstream failed the request: %s", e.detail)
	case beryloutcome.Unknown:
		r.Code = beryloutcome.CodeUnknown
		r.Message = fmt.Sprintf("the request may have run, but its answer did not arrive: %s", e.detail)
	case beryloutcome.NotRun:
		r.Code = beryloutcome.CodeNotRun
		r.Message = fmt.Sprintf("the request was not run: %s; send it again", e.detail)
		if e.reason != endDeadline {
			r.Status = http.StatusServiceUnavailable
		}
	case beryloutcome.Cancelled:
		r.Status = statusCancelled
		r.Code = beryloutcome.CodeCancelled
		r.Message = "the request was cancelled"
		return r
	default:
		return nil
	}
	if p.repeatable || kind == beryloutcome.NotRun {
		r.RetryAfter = retryAfter
	}
	return r
}
