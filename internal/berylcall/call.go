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

// call is one request on its way through its upstream calls.
type call struct {
	runner   *Runner
	req      *Request
	rules    berylconf.Rules
	sink     tracked
	progress progress
	tried    []string
	group    conc.WaitGroup
	// mustResume marks that the next upstream has to continue the answer.
	mustResume bool
	// given counts the tokens that the sink had before this call.
	given     int
	firstByte time.Duration
}

func newCall(r *Runner, req *Request, sink Sink) *call {
	c := &call{runner: r, req: req, rules: r.rules(), sink: tracked{sink: sink}}
	c.given = req.ContinueFrom
	c.sink.tokens = req.ContinueFrom
	c.sink.started = req.ContinueFrom > 0
	c.mustResume = req.ContinueFrom > 0
	c.progress.repeatable = req.Repeatable
	_, c.progress.restartable = sink.(Restarter)
	now := time.Now()
	r.retries.earn(now, c.rules.RetryPercent, retryFloor, retryLimit)
	if c.hedgeable() {
		r.hedges.earn(now, c.rules.HedgePercent, 0, hedgeLimit)
	}
	return c
}

// hedgeable reports whether the request may run on two upstreams at once.
func (c *call) hedgeable() bool {
	return c.req.Repeatable && c.req.Class == berylpermit.Online
}

func (c *call) run(ctx context.Context) beryloutcome.Result {
	last := end{ending: endConnect, detail: "no upstream was called"}
	for {
		permit, refusal := c.acquire(ctx)
		if refusal == nil {
			refusal = c.confirm(ctx, permit)
		}
		if refusal != nil {
			return c.refused(ctx, last, refusal)
		}
		last = c.attempt(ctx, permit)
		if !c.prepare(ctx, last) {
			return c.result(endFor(ctx, last))
		}
	}
}

// confirm asks whether a request that is not repeatable may still run, and gives the permit back when it may not.
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

// endFor returns the end to report: a caller that gave up meanwhile hears of nothing else.
func endFor(ctx context.Context, e end) end {
	if e.ending != endWhole && errors.Is(context.Cause(ctx), context.Canceled) {
		e.ending = endCancelled
	}
	return e
}

// prepare readies the next upstream call after one that ended with e, and reports whether there is one. The first retry
// does not wait, since it goes elsewhere.
func (c *call) prepare(ctx context.Context, e end) bool {
	c.progress.started = c.sink.started
	c.progress.resumable = c.resumable()
	r := room{attempts: c.rules.MaxAttempts, remaining: c.remaining(), budget: true}
	step := c.progress.next(e, r)
	if step == finish {
		return false
	}
	if e.ending != endConnect && !c.runner.retries.spend() {
		return false
	}
	if step == restart {
		c.given = 0
		if !c.sink.restart() {
			return false
		}
	}
	c.mustResume = step == resume
	c.runner.countStep(stepName(step))
	c.avoid(e.upstream)
	if c.progress.attempts == 1 {
		return ctx.Err() == nil
	}
	return c.pause(ctx)
}

func stepName(a action) string {
	if a == resume {
		return "resumes"
	}
	return "retries"
}

func (c *call) avoid(upstream string) {
	if !slices.Contains(c.tried, upstream) {
		c.tried = append(c.tried, upstream)
	}
}

// resumable reports whether an upstream could continue the answer from the events that the sink has.
func (c *call) resumable() bool {
	return c.sink.tokens > 0 && c.continuable()
}

func (c *call) continuable() bool {
	return c.req.Repeatable && c.req.Stream && canContinue(c.req.Body)
}

// stall returns the longest pause between two events on the permit's upstream, or zero for any. A stream that cannot
// be continued elsewhere waits for its upstream until the deadline; that others can is told by this one being able to.
func (c *call) stall(permit *berylpermit.Permit) time.Duration {
	_, resumes, _ := c.runner.URL(permit.Upstream)
	if !resumes || !c.continuable() {
		return 0
	}
	if c.runner.StallTimeout > 0 {
		return c.runner.StallTimeout
	}
	return stallAfter(c.runner.gaps.typical(gapKey(c.req)))
}

func (c *call) remaining() time.Duration {
	if c.req.Deadline.IsZero() {
		return c.rules.MaxTimeout.Std()
	}
	return time.Until(c.req.Deadline)
}

// pause waits before the next upstream call and reports false when the request ended meanwhile.
func (c *call) pause(ctx context.Context) bool {
	span := min(backoff(c.progress.attempts, rand.Float64()), c.remaining()/4)
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits for a permit, first for an upstream that was not tried and then for any.
func (c *call) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	permit, refusal := c.ask(ctx)
	if refusal == nil || len(c.tried) == 0 || ctx.Err() != nil {
		return permit, refusal
	}
	if c.mustResume || !c.pause(ctx) {
		return nil, refusal
	}
	c.tried = nil
	return c.ask(ctx)
}

// suits reports whether the permit's upstream is known and, where the answer has to be continued, can do that.
func (c *call) suits(permit *berylpermit.Permit) bool {
	_, resumes, known := c.runner.URL(permit.Upstream)
	return known && (resumes || !c.mustResume)
}

// startOver takes the answer so far back for an upstream that is known and cannot continue it.
func (c *call) startOver(permit *berylpermit.Permit) bool {
	_, _, known := c.runner.URL(permit.Upstream)
	if !known || !c.sink.restart() {
		return false
	}
	c.mustResume = false
	c.given = 0
	return true
}

// ask asks for one permit and, where the answer has to be continued, passes over upstreams that cannot.
func (c *call) ask(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		permit, refusal := c.runner.Permits.Acquire(ctx, c.permitAsk(false))
		if refusal != nil {
			return nil, refusal
		}
		if c.suits(permit) || c.startOver(permit) {
			return permit, nil
		}
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		if slices.Contains(c.tried, permit.Upstream) {
			return nil, noUpstream()
		}
		c.tried = append(c.tried, permit.Upstream)
	}
}

func noUpstream() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "no upstream can take the request; send it again",
		RetryAfter: comeBack,
	}
}

func (c *call) permitAsk(hedge bool) berylpermit.Request {
	return berylpermit.Request{
		Target:     c.req.Target,
		Avoid:      slices.Clone(c.tried),
		Class:      c.req.Class,
		Remaining:  c.remaining(),
		Tokens:     c.req.Tokens,
		Long:       c.req.Tokens > c.rules.LongTokens,
		Queue:      !hedge,
		Hedge:      hedge,
		PrefixHash: c.req.PrefixHash,
	}
}

// refused ends the request when no permit came; last is the upstream call before, if any.
func (c *call) refused(ctx context.Context, last end, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if c.progress.attempts > 0 && (c.progress.ran || c.sink.started) {
		return c.result(endFor(ctx, last))
	}
	result := beryloutcome.Result{Kind: beryloutcome.NotRun, Refusal: refusal, Attempts: c.progress.attempts}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		result = c.progress.result(end{ending: endCancelled})
	}
	return result
}

// result ends the request with what its last upstream call came to.
func (c *call) result(e end) beryloutcome.Result {
	result := c.progress.result(e)
	result.TimeToFirstToken = c.firstByte
	result.Tokens = c.sink.tokens - c.given
	return result
}

// body returns the request body, with the tokens that the sink has where the answer is to be continued.
func (c *call) body() []byte {
	if !c.mustResume {
		return c.req.Body
	}
	return continuedBody(c.req.Body, c.sink.tokens)
}
