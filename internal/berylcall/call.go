package berylcall

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// call is the state of one request over all its attempts.
type call struct {
	runner         *Runner
	req            *Request
	rules          berylconf.Rules
	sink           trackedSink
	progress       progress
	triedUpstreams []string
	group          conc.WaitGroup
	// retryPaid marks that the retry budget has been charged for the next attempt.
	retryPaid bool
	// mustResume marks that the next upstream has to continue the partial answer.
	mustResume bool
	// version is the software version of the upstream that began the answer. No other version continues it.
	version string
	// initialTokens counts the tokens that the sink already had when the call began; a restart resets it to zero.
	initialTokens   int
	timeToFirstByte time.Duration
}

func newCall(r *Runner, req *Request, sink Sink) *call {
	c := &call{runner: r, req: req, rules: r.rules(), sink: trackedSink{sink: sink, memory: r.Memory.NewReservation()}}
	c.initialTokens, c.version = req.ContinueFrom, req.ContinueVersion
	c.sink.tokens = req.ContinueFrom
	c.sink.started = req.ContinueFrom > 0
	c.mustResume = req.ContinueFrom > 0
	c.progress.repeatable = req.Repeatable
	_, c.progress.restartable = sink.(Restarter)
	now := time.Now()
	r.retryBudget.deposit(now, c.rules.RetryPercent, minRetriesPerSecond, maxSavedRetries)
	if c.canHedge() {
		r.hedgeBudget.deposit(now, c.rules.HedgePercent, 0, maxSavedHedges)
	}
	return c
}

// canHedge reports whether the request may run on two upstreams at once.
func (c *call) canHedge() bool {
	return c.req.Repeatable && c.req.Class == berylpermit.Online
}

// run makes attempts until one of them, or the lack of a permit, ends the request.
func (c *call) run(ctx context.Context) beryloutcome.Result {
	last := attemptResult{reason: endConnectFailed, detail: "no upstream was called"}
	for {
		permit, refusal := c.acquire(ctx)
		if refusal == nil {
			refusal = c.confirm(ctx, permit)
		}
		if refusal != nil {
			return c.resultWithoutPermit(ctx, last, refusal)
		}
		last = c.attempt(ctx, permit)
		if !c.prepareRetry(ctx, last) {
			return c.result(preferCancelled(ctx, last))
		}
	}
}

// confirm asks the request's Confirm function whether a request that must not be repeated may still run, and releases
// the permit if it may not.
func (c *call) confirm(ctx context.Context, permit *berylpermit.Permit) *beryloutcome.Refusal {
	if c.req.Repeatable || c.req.Confirm == nil {
		return nil
	}
	refusal := c.req.Confirm(ctx)
	if refusal != nil {
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
	}
	return refusal
}

// preferCancelled returns e, with the reason endCancelled if the caller gave up meanwhile and the answer is not
// complete.
func preferCancelled(ctx context.Context, e attemptResult) attemptResult {
	if e.reason != endComplete && errors.Is(context.Cause(ctx), context.Canceled) {
		e.reason = endCancelled
	}
	return e
}

// prepareRetry prepares the attempt after one with the result e, and reports whether there is one. The first retry
// does not back off, since it goes to another upstream.
func (c *call) prepareRetry(ctx context.Context, e attemptResult) bool {
	step := c.nextStep(e)
	if step == stepFinish {
		return false
	}
	if e.reason != endConnectFailed && !c.payForRetry() {
		return false
	}
	c.retryPaid = false
	if step == stepRestart {
		c.initialTokens = 0
		if !c.sink.restart() {
			return false
		}
	}
	c.mustResume = step == stepResume
	c.runner.countStep(stepMetric(step))
	c.markTried(e.upstream)
	if c.progress.attempts == 1 {
		return ctx.Err() == nil
	}
	return c.backOff(ctx)
}

// nextStep returns what follows an attempt with the result e, as far as the retry budget allows it.
func (c *call) nextStep(e attemptResult) nextStep {
	c.progress.started = c.sink.started
	c.progress.resumable = c.canResume()
	return c.progress.next(e, retryLimits{maxAttempts: c.rules.MaxAttempts, remaining: c.remaining(), hasBudget: true})
}

// payForRetry charges the retry budget for the next attempt, once, and reports whether that was possible.
func (c *call) payForRetry() bool {
	c.retryPaid = c.retryPaid || c.runner.retryBudget.tryWithdraw()
	return c.retryPaid
}

// mayEndForSilence reports whether the attempt that passes its answer on may end because its upstream is silent: another one may
// follow. The retry budget is then charged for it.
func (c *call) mayEndForSilence() bool {
	return c.nextStep(attemptResult{reason: endStalled}) != stepFinish && c.payForRetry()
}

func stepMetric(a nextStep) string {
	if a == stepResume {
		return "resumes"
	}
	return "retries"
}

func (c *call) markTried(upstream string) {
	if !slices.Contains(c.triedUpstreams, upstream) {
		c.triedUpstreams = append(c.triedUpstreams, upstream)
	}
}

// canResume reports whether an upstream could continue the answer after the events that the sink has.
func (c *call) canResume() bool {
	return c.sink.tokens > 0 && c.supportsResume()
}

// supportsResume reports whether the request is a repeatable stream whose body can carry the field that continues an
// answer.
func (c *call) supportsResume() bool {
	return c.req.Repeatable && c.req.Stream && canAddContinueField(c.req.Body)
}

// stallTimeout returns the longest allowed pause between two events on the permit's upstream; zero means no limit. A
// stream that cannot be continued elsewhere waits for its upstream until the deadline. If this upstream can resume
// streams, the others are assumed to be able to as well.
func (c *call) stallTimeout(permit *berylpermit.Permit) time.Duration {
	_, resumes, _ := c.runner.URL(permit.Upstream)
	if !resumes || !c.supportsResume() {
		return 0
	}
	if c.runner.StallTimeout > 0 {
		return c.runner.StallTimeout
	}
	return stallTimeoutFor(c.runner.eventGaps.stats(eventGapKey(c.req)))
}

func (c *call) remaining() time.Duration {
	if c.req.Deadline.IsZero() {
		return c.rules.MaxTimeout.Std()
	}
	return time.Until(c.req.Deadline)
}

// backOff waits before the next attempt. It returns false if the request ended meanwhile.
func (c *call) backOff(ctx context.Context) bool {
	delay := min(backoff(c.progress.attempts, rand.Float64()), c.remaining()/4)
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits for a permit, first for an upstream that was not tried yet and then, after backing off, for any
// upstream. The second step is skipped if the answer has to be continued.
func (c *call) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	permit, refusal := c.acquireUsable(ctx)
	if refusal == nil || len(c.triedUpstreams) == 0 || ctx.Err() != nil {
		return permit, refusal
	}
	if c.mustResume || !c.backOff(ctx) {
		return nil, refusal
	}
	c.triedUpstreams = nil
	return c.acquireUsable(ctx)
}

// canUse reports whether the permit's upstream is known and, if the answer has to be continued, can do that.
func (c *call) canUse(permit *berylpermit.Permit) bool {
	_, resumes, known := c.runner.URL(permit.Upstream)
	return known && (!c.mustResume || resumes && c.runner.version(permit.Upstream) == c.version)
}

// restartAnswer discards the partial answer so that a known upstream that cannot continue it can begin again. It
// reports whether that was possible.
func (c *call) restartAnswer(permit *berylpermit.Permit) bool {
	_, _, known := c.runner.URL(permit.Upstream)
	if !known || !c.sink.restart() {
		return false
	}
	c.mustResume = false
	c.initialTokens = 0
	return true
}

// acquireUsable acquires a permit for an upstream that can take the request. If the answer has to be continued,
// upstreams that cannot do that are skipped, unless the sink can restart the answer.
func (c *call) acquireUsable(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		permit, refusal := c.runner.Permits.Acquire(ctx, c.permitRequest(false))
		if refusal != nil {
			return nil, refusal
		}
		if c.canUse(permit) || c.restartAnswer(permit) {
			return permit, nil
		}
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		if slices.Contains(c.triedUpstreams, permit.Upstream) {
			return nil, noUpstream()
		}
		c.triedUpstreams = append(c.triedUpstreams, permit.Upstream)
	}
}

func noUpstream() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "no upstream can take the request; send it again",
		RetryAfter: retryAfter,
	}
}

func (c *call) permitRequest(hedge bool) berylpermit.Request {
	return berylpermit.Request{
		Target:     c.req.Target,
		Avoid:      slices.Clone(c.triedUpstreams),
		Class:      c.req.Class,
		Remaining:  c.remaining(),
		Tokens:     c.req.Tokens,
		Long:       c.req.Tokens > c.rules.LongTokens,
		Queue:      !hedge,
		Hedge:      hedge,
		PrefixHash: c.req.PrefixHash,
	}
}

// resultWithoutPermit ends the request when no permit was granted. last is the result of the previous attempt, if
// there was one.
func (c *call) resultWithoutPermit(ctx context.Context, last attemptResult, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if c.progress.attempts > 0 && (c.progress.mayHaveRun || c.sink.started) {
		return c.result(preferCancelled(ctx, last))
	}
	result := beryloutcome.Result{Kind: beryloutcome.NotRun, Refusal: refusal, Attempts: c.progress.attempts}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		result = c.progress.result(attemptResult{reason: endCancelled})
	}
	return result
}

// result ends the request with the result of its last attempt.
func (c *call) result(e attemptResult) beryloutcome.Result {
	result := c.progress.result(e)
	result.TimeToFirstToken = c.timeToFirstByte
	result.Tokens = c.sink.tokens - c.initialTokens
	result.Version = c.version
	return result
}

// body returns the request body. If the answer has to be continued, the body includes the number of tokens that the
// sink has.
func (c *call) body() []byte {
	if !c.mustResume {
		return c.req.Body
	}
	return addContinueField(c.req.Body, c.sink.tokens)
}
