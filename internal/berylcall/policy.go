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
	// comeBack is the Retry-After of a request that may be sent again.
	comeBack = time.Second
	// statusCancelled is the status in logs of a request whose caller has gone; no caller sees it.
	statusCancelled = 499
)

// progress is what a request has come to over its upstream calls so far.
type progress struct {
	// repeatable marks a request that may run more than once.
	repeatable bool
	// attempts counts the upstream calls.
	attempts int
	// sent counts the request bytes that may have reached upstreams which may have run them.
	sent int64
	// ran marks that some upstream may have run the request.
	ran bool
	// started marks that the sink has part of the answer.
	started bool
	// resumable marks that an answer in part can be continued from the tokens that the sink has.
	resumable bool
	// restartable marks a sink that takes an answer in part back.
	restartable bool
}

// room is what limits the next step.
type room struct {
	// attempts is the most upstream calls.
	attempts int
	// remaining is the time until the deadline.
	remaining time.Duration
	// budget marks that the retry budget has a retry left.
	budget bool
}

// action says what comes after an upstream call.
type action uint8

const (
	// finish ends the request.
	finish action = iota
	// again calls another upstream; nothing of an answer has reached the sink.
	again
	// resume calls another upstream and continues from the tokens that the sink has.
	resume
	// restart takes the answer so far back from the sink and calls another upstream.
	restart
)

// String returns the name used in tables of decisions.
func (a action) String() string {
	return [...]string{"finish", "again", "resume", "restart"}[a]
}

// add counts an upstream call that has ended.
func (p *progress) add(e end) {
	if e.unrun() {
		return
	}
	p.sent += e.sent
	p.ran = true
}

// next says what comes after a call that ended with e, which has been added.
func (p *progress) next(e end, r room) action {
	if !p.mayRetry(e, r) {
		return finish
	}
	if !p.started {
		return again
	}
	if p.resumable {
		return resume
	}
	if p.restartable {
		return restart
	}
	return finish
}

func (p *progress) mayRetry(e end, r room) bool {
	switch e.ending {
	case endWhole, endTooLarge, endDeadline, endCancelled, endYielded:
		return false
	}
	if p.attempts >= r.attempts || r.remaining <= backoffBase {
		return false
	}
	if e.ending == endConnect {
		return true
	}
	if !r.budget {
		return false
	}
	return p.repeatable || e.unrun()
}

// backoff returns the wait before the next upstream call; spread lies between 0 and 1.
func backoff(attempts int, spread float64) time.Duration {
	limit := backoffMax
	if attempts < 7 {
		limit = min(backoffBase<<attempts, backoffMax)
	}
	return time.Duration(spread * float64(limit))
}

// result ends the request with what its last upstream call came to.
func (p *progress) result(e end) beryloutcome.Result {
	r := beryloutcome.Result{Kind: p.kind(e), SentBytes: p.sent, Upstream: e.upstream, Attempts: p.attempts}
	r.Refusal = p.refusal(r.Kind, e)
	return r
}

func (p *progress) kind(e end) beryloutcome.Kind {
	switch e.ending {
	case endWhole:
		return beryloutcome.Answered
	case endCancelled:
		return beryloutcome.Cancelled
	case endYielded:
		return beryloutcome.Yielded
	}
	if !p.ran && !p.started {
		return beryloutcome.NotRun
	}
	if p.failed(e) {
		return beryloutcome.Failed
	}
	return beryloutcome.Unknown
}

// failed reports whether the answer itself shows that the upstream ran the request and failed it. Of a request that
// must not be repeated, half an answer, garbage or 503 does not show whether it took effect.
func (p *progress) failed(e end) bool {
	switch e.ending {
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

func (p *progress) refusal(kind beryloutcome.Kind, e end) *beryloutcome.Refusal {
	r := &beryloutcome.Refusal{Status: http.StatusBadGateway}
	if e.ending == endDeadline {
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
		if e.ending != endDeadline {
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
		r.RetryAfter = comeBack
	}
	return r
}
