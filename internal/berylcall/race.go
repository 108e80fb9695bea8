package berylcall

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// openedAttempt is an attempt that has reached the start of an answer or has failed before it.
type openedAttempt struct {
	// attempt is nil for a second call that was granted no permit.
	attempt *attempt
	// ok marks that there is an answer to pass on.
	ok bool
}

// attempt calls the permit's upstream, with a second call if the first one is slow, and passes the answer on.
func (c *call) attempt(ctx context.Context, permit *berylpermit.Permit) attemptResult {
	c.progress.attempts++
	a := c.startAttempt(ctx, permit, c.body())
	if c.canHedge() {
		return c.raceAttempts(ctx, a)
	}
	if c.open(a) {
		c.pass(a)
	}
	c.progress.addResult(a.result)
	return a.result
}

// startAttempt prepares an attempt. It is safe to use while another attempt of the request runs.
func (c *call) startAttempt(ctx context.Context, permit *berylpermit.Permit, body []byte) *attempt {
	a := newAttempt(ctx, c.runner, c.req, permit, body, c.rules.MaxAnswerBytes)
	a.resumed = c.mustResume
	a.stallTimeout = c.stallTimeout(permit)
	a.mayEndForSilence = c.mayEndForSilence
	if permit.Yield != nil {
		c.group.Go(a.watchYield)
	}
	return a
}

// open runs the attempt up to the start of the answer and reports whether there is an answer to pass on. If there is
// none, it releases the attempt's permit.
func (c *call) open(a *attempt) bool {
	base, _, known := c.runner.URL(a.permit.Upstream)
	if !known {
		a.fail(endConnectFailed, "the upstream has left the fleet")
	}
	if known && a.open(base) {
		return true
	}
	a.releasePermit()
	a.cancel(nil)
	return false
}

// pass passes the answer of an opened attempt to the sink.
func (c *call) pass(a *attempt) {
	c.recordFirstByte(a)
	if !a.resumed {
		c.version = c.runner.version(a.permit.Upstream)
	}
	a.pass(&c.sink)
	if a.result.reason == endComplete && a.tokens > 1 {
		c.runner.eventGaps.add(eventGapKey(c.req), a.meanTokenInterval())
	}
	a.releasePermit()
	a.releaseConn()
	a.cancel(nil)
}

// recordFirstByte records the time to the first byte.
func (c *call) recordFirstByte(a *attempt) {
	if c.timeToFirstByte == 0 {
		c.timeToFirstByte = a.timeToFirstByte
	}
	if c.canHedge() && a.result.status < 300 {
		c.runner.firstByteLatencies.add(firstByteKey(c.req), a.timeToFirstByte)
	}
}

// raceAttempts runs an attempt and, if its first byte is late, a second one on another upstream. The first answer
// wins.
func (c *call) raceAttempts(ctx context.Context, first *attempt) attemptResult {
	opened := make(chan openedAttempt, 2)
	pending := 1
	c.group.Go(func() { opened <- openedAttempt{first, c.open(first)} })
	secondCtx, cancelSecond := context.WithCancelCause(ctx)
	defer cancelSecond(errOtherAttemptWon)
	second := c.newSecondCall()
	defer second.timer.Stop()
	var losers conc.WaitGroup
	defer losers.Wait()
	var last attemptResult
	for pending > 0 {
		select {
		case o := <-opened:
			pending--
			if o.ok {
				c.cancelLoser(o.attempt, first, cancelSecond)
				c.releaseLosers(&losers, opened, pending)
				c.pass(o.attempt)
				c.progress.addResult(o.attempt.result)
				return o.attempt.result
			}
			if o.attempt == nil {
				c.progress.attempts--
				second.permitRefused(c)
				continue
			}
			last = o.attempt.result
			c.progress.addResult(last)
			c.markTried(last.upstream)
		case <-second.timer.C:
			if pending == 1 && second.tryStart(c) {
				c.markTried(first.permit.Upstream)
				c.startSecondCall(secondCtx, opened)
				pending++
			}
		}
	}
	return last
}

// startSecondCall requests a second permit and calls its upstream, without blocking the first attempt.
func (c *call) startSecondCall(ctx context.Context, opened chan<- openedAttempt) {
	c.progress.attempts++
	request := c.permitRequest(true)
	body := c.body()
	c.group.Go(func() {
		permit, refusal := c.runner.Permits.Acquire(ctx, request)
		if refusal != nil {
			opened <- openedAttempt{}
			return
		}
		if !c.canUse(permit) {
			permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
			opened <- openedAttempt{}
			return
		}
		c.runner.countStep("hedges")
		a := c.startAttempt(ctx, permit, body)
		opened <- openedAttempt{a, c.open(a)}
	})
}

// cancelLoser cancels the attempt that lost to winner.
func (c *call) cancelLoser(winner, first *attempt, cancelSecond context.CancelCauseFunc) {
	if winner == first {
		cancelSecond(errOtherAttemptWon)
		return
	}
	first.cancel(errOtherAttemptWon)
	c.runner.countStep("hedge_wins")
}

// releaseLosers waits in the background for the attempt that lost and releases its permit.
func (c *call) releaseLosers(losers *conc.WaitGroup, opened <-chan openedAttempt, pending int) {
	if pending == 0 {
		return
	}
	c.progress.mayHaveRun = true
	losers.Go(func() {
		o := <-opened
		if !o.ok {
			return
		}
		o.attempt.fail(endCancelled, "another call was faster")
		o.attempt.releasePermit()
		o.attempt.cancel(nil)
	})
}

// secondCall decides when a request gets a second call in parallel: after the usual time to the first byte, charged
// to the hedge budget, or much later and then repeatedly, charged to the retry budget.
type secondCall struct {
	timer *time.Timer
	// budget is the hedge or retry budget that is charged when the timer expires.
	budget *budget
	// nextDelay is the delay until the next try if the budget is empty or the second call gets no permit. After a try
	// that is charged to the hedge budget, it lasts until the first try that is charged to the retry budget; from then
	// on it is minSecondCallDelay.
	nextDelay time.Duration
}

func (c *call) newSecondCall() *secondCall {
	stats := c.runner.firstByteLatencies.stats(firstByteKey(c.req))
	hedge := hedgeDelay(stats)
	later := secondCallDelay(stats, c.remaining(), tokensBeforeFirstByte(c.req))
	if hedge == 0 || hedge >= later {
		return &secondCall{timer: time.NewTimer(later), budget: &c.runner.retryBudget, nextDelay: minSecondCallDelay}
	}
	return &secondCall{timer: time.NewTimer(hedge), budget: &c.runner.hedgeBudget, nextDelay: later - hedge}
}

// tryStart reports, when the timer has expired, whether to make the second call now. If the budget is empty, it
// rearms the timer.
func (s *secondCall) tryStart(c *call) bool {
	if c.progress.attempts >= c.rules.MaxAttempts {
		return false
	}
	if s.budget.tryWithdraw() {
		return true
	}
	s.rearm(c)
	return false
}

// permitRefused refunds the budget because the second call got no permit, and rearms the timer.
func (s *secondCall) permitRefused(c *call) {
	s.budget.refund()
	s.rearm(c)
}

// rearm sets the timer for another try, charged to the retry budget.
func (s *secondCall) rearm(c *call) {
	s.timer.Reset(s.nextDelay)
	s.nextDelay = minSecondCallDelay
	s.budget = &c.runner.retryBudget
}
