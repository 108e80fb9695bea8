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
	// statusCancelled is the logged status of a request whose caller has disconnected. No caller receives it.
	statusCancelled = 499
)

// progress is the state of a request over its attempts so far.
type progress struct {
	// repeatable marks a request that may run more than once.
	repeatable bool
	// attempts counts the attempts, each of which is one upstream call.
	attempts int
	// sentBytes counts the request bytes of the attempts that may have run the request.
	sentBytes int64
	// mayHaveRun marks that some upstream may have run the request.
	mayHaveRun bool
	// started marks that the sink has part of the answer.
	started bool
	// resumable marks that a partial answer can be continued after the tokens that the sink has.
	resumable bool
	// restartable marks a sink that can discard a partial answer.
	restartable bool
}

// retryLimits holds what limits the next step.
type retryLimits struct {
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts int
	// remaining is the time until the deadline.
	remaining time.Duration
	// hasBudget marks that the retry budget allows another retry.
	hasBudget bool
}

// nextStep says what follows an attempt.
type nextStep uint8

const (
	// stepFinish ends the request.
	stepFinish nextStep = iota
	// stepRetry calls another upstream. No part of an answer has reached the sink.
	stepRetry
	// stepResume calls another upstream, which continues after the tokens that the sink has.
	stepResume
	// stepRestart discards the partial answer in the sink and calls another upstream.
	stepRestart
)

// String returns the name used in the decision tables of the tests.
func (a nextStep) String() string {
	return [...]string{"finish", "again", "resume", "restart"}[a]
}

// addResult records the result of an attempt.
func (p *progress) addResult(e attemptResult) {
	if e.notRun() {
		return
	}
	p.sentBytes += e.sentBytes
	p.mayHaveRun = true
}

// next returns what follows an attempt with the result e, which must have been added.
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
	case endComplete, endTooLarge, endNoRoom, endDeadline, endCancelled, endYielded:
		return false
	}
	if p.attempts >= r.maxAttempts || r.remaining <= backoffBase {
		return false
	}
	if e.reason == endConnectFailed {
		return true
	}
	if !r.hasBudget {
		return false
	}
	return p.repeatable || e.notRun()
}

// backoff returns the wait before the next attempt: a limit that doubles with each attempt, up to backoffMax, times
// jitter, which lies between 0 and 1.
func backoff(attempts int, jitter float64) time.Duration {
	limit := backoffMax
	if attempts < 7 {
		limit = min(backoffBase<<attempts, backoffMax)
	}
	return time.Duration(jitter * float64(limit))
}

// result ends the request with the result of its last attempt.
func (p *progress) result(e attemptResult) beryloutcome.Result {
	r := beryloutcome.Result{Kind: p.kind(e), SentBytes: p.sentBytes, Upstream: e.upstream, Attempts: p.attempts}
	r.Refusal = p.refusal(r.Kind, e)
	return r
}

func (p *progress) kind(e attemptResult) beryloutcome.Kind {
	switch e.reason {
	case endComplete:
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

// upstreamFailed reports whether the answer itself shows that the upstream ran the request and failed. For a request
// that must not be repeated, a partial answer, a malformed one or a status that may also mean that it was not run does not show
// whether the request took effect.
func (p *progress) upstreamFailed(e attemptResult) bool {
	switch e.reason {
	case endTooLarge:
		return true
	case endServerError:
		return p.repeatable || !beryloutcome.PromisesNotRun(e.status)
	case endMalformed, endTruncated, endStalled:
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
