package berylcall

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// opening is a call that has come to its first answer bytes or has failed before them.
type opening struct {
	// attempt is nil for a second call that got no permit.
	attempt *attempt
	// ok marks that there is an answer to pass on.
	ok bool
}

// attempt calls the permit's upstream, with a second call where the first one is slow, and passes the answer on.
func (c *call) attempt(ctx context.Context, permit *berylpermit.Permit) end {
	c.progress.attempts++
	a := c.begin(ctx, permit, c.body())
	if c.hedgeable() {
		return c.race(ctx, a)
	}
	if c.open(a) {
		c.pass(a)
	}
	c.progress.add(a.end)
	return a.end
}

// begin prepares a call; it is safe to use while another call of the request runs.
func (c *call) begin(ctx context.Context, permit *berylpermit.Permit, body []byte) *attempt {
	a := newAttempt(ctx, c.runner, c.req, permit, body, c.rules.MaxAnswerBytes)
	a.continued = c.mustResume
	a.stall = c.stall(permit)
	if permit.Yield != nil {
		c.group.Go(a.watchYield)
	}
	return a
}

// open runs the call to its first answer bytes; a call that fails before gives its permit back.
func (c *call) open(a *attempt) bool {
	base, _, known := c.runner.URL(a.permit.Upstream)
	if !known {
		a.fail(endConnect, "the upstream has left the fleet")
	}
	if known && a.open(base) {
		return true
	}
	a.finish()
	a.cancel(nil)
	return false
}

// pass gives the answer of an open call to the sink.
func (c *call) pass(a *attempt) {
	c.learn(a)
	a.pass(&c.sink)
	if a.end.ending == endWhole && a.tokens > 1 {
		c.runner.gaps.add(gapKey(c.req), a.gap())
	}
	a.finish()
	a.settle()
	a.cancel(nil)
}

// learn notes the time to the first byte.
func (c *call) learn(a *attempt) {
	if c.firstByte == 0 {
		c.firstByte = a.firstByte
	}
	if c.hedgeable() && a.end.status < 300 {
		c.runner.latencies.add(keyOf(c.req), a.firstByte)
	}
}

// race runs a call and, when its first byte is late, a second one elsewhere; the first answer wins.
func (c *call) race(ctx context.Context, first *attempt) end {
	opened := make(chan opening, 2)
	pending := 1
	c.group.Go(func() { opened <- opening{first, c.open(first)} })
	secondCtx, dropSecond := context.WithCancelCause(ctx)
	defer dropSecond(errLoser)
	second := c.newSecondCall()
	defer second.timer.Stop()
	var losers conc.WaitGroup
	defer losers.Wait()
	var last end
	for pending > 0 {
		select {
		case o := <-opened:
			pending--
			if o.ok {
				c.drop(o.attempt, first, dropSecond)
				c.reap(&losers, opened, pending)
				c.pass(o.attempt)
				c.progress.add(o.attempt.end)
				return o.attempt.end
			}
			if o.attempt == nil {
				c.progress.attempts--
				second.refused(c)
				continue
			}
			last = o.attempt.end
			c.progress.add(last)
			c.avoid(last.upstream)
		case <-second.timer.C:
			if pending == 1 && second.due(c) {
				c.avoid(first.permit.Upstream)
				c.launchSecond(secondCtx, opened)
				pending++
			}
		}
	}
	return last
}

// launchSecond asks for a second permit and calls its upstream, without holding up the first call.
func (c *call) launchSecond(ctx context.Context, opened chan<- opening) {
	c.progress.attempts++
	ask := c.permitAsk(true)
	body := c.body()
	c.group.Go(func() {
		permit, refusal := c.runner.Permits.Acquire(ctx, ask)
		if refusal != nil {
			opened <- opening{}
			return
		}
		if !c.suits(permit) {
			permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
			opened <- opening{}
			return
		}
		c.runner.countStep("hedges")
		a := c.begin(ctx, permit, body)
		opened <- opening{a, c.open(a)}
	})
}

// drop cancels the call that lost to winner.
func (c *call) drop(winner, first *attempt, dropSecond context.CancelCauseFunc) {
	if winner == first {
		dropSecond(errLoser)
		return
	}
	first.cancel(errLoser)
	c.runner.countStep("hedge_wins")
}

// reap waits in the background for the calls that lost and gives their permits back.
func (c *call) reap(losers *conc.WaitGroup, opened <-chan opening, pending int) {
	if pending == 0 {
		return
	}
	c.progress.ran = true
	losers.Go(func() {
		o := <-opened
		if !o.ok {
			return
		}
		o.attempt.fail(endCancelled, "another call was faster")
		o.attempt.finish()
		o.attempt.cancel(nil)
	})
}

// secondCall decides when a request gets a second upstream call: after the usual time to a first byte from the hedge
// budget, or much later, and then again and again, from the retry budget.
type secondCall struct {
	timer *time.Timer
	// budget is the one that pays at the timer's next expiry.
	budget *budget
	// later is the time from the next expiry to the one after it.
	later time.Duration
}

func (c *call) newSecondCall() *secondCall {
	known := c.runner.latencies.typical(keyOf(c.req))
	hedge := hedgeAfter(known)
	later := secondCallAfter(known, c.remaining(), tokensBefore(c.req))
	if hedge == 0 || hedge >= later {
		return &secondCall{timer: time.NewTimer(later), budget: &c.runner.retries, later: secondCallFloor}
	}
	return &secondCall{timer: time.NewTimer(hedge), budget: &c.runner.hedges, later: later - hedge}
}

// due reports, at the timer's expiry, whether the second call is asked for now.
func (s *secondCall) due(c *call) bool {
	if c.progress.attempts >= c.rules.MaxAttempts {
		return false
	}
	if s.budget.spend() {
		return true
	}
	s.retry(c)
	return false
}

// refused takes note that the second call got no permit.
func (s *secondCall) refused(c *call) {
	s.budget.refund()
	s.retry(c)
}

// retry has the second call asked for once more, on the retry budget.
func (s *secondCall) retry(c *call) {
	s.timer.Reset(s.later)
	s.later = secondCallFloor
	s.budget = &c.runner.retries
}
