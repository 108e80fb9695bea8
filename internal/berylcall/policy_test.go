package berylcall

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// TestPolicy prints, for each reason for which an attempt can end, the next step and the result that the caller gets
// if there is none.
//
// Arguments: repeatable, unsent, started, resumable, restartable, ran (an earlier attempt may have run the request),
// no-attempts, no-budget, no-time.
func TestPolicy(t *testing.T) {
	datadriven.RunTest(t, "testdata/policy/table", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for e := endComplete; e <= endYielded; e++ {
			p := progress{
				repeatable:  d.HasArg("repeatable"),
				mayHaveRun:  d.HasArg("ran"),
				started:     d.HasArg("started"),
				resumable:   d.HasArg("resumable"),
				restartable: d.HasArg("restartable"),
				attempts:    1,
			}
			r := retryLimits{maxAttempts: 3, remaining: time.Minute, hasBudget: !d.HasArg("no-budget")}
			if d.HasArg("no-attempts") {
				p.attempts = r.maxAttempts
			}
			if d.HasArg("no-time") {
				r.remaining = time.Millisecond
			}
			last := attemptResult{reason: e, status: http.StatusInternalServerError}
			if !d.HasArg("unsent") && e != endConnectFailed {
				last.sentBytes = 100
			}
			p.addResult(last)
			fmt.Fprintf(&out, "%-10s %-8s %s\n", e, p.next(last, r), describe(p.result(last)))
		}
		return out.String()
	})
}

func describe(r beryloutcome.Result) string {
	if r.Refusal == nil {
		return r.Kind.String()
	}
	return fmt.Sprintf("%s %d %s %v", r.Kind, r.Refusal.Status, r.Refusal.Code, r.Refusal.RetryAfter)
}

func TestClassifyStatus(t *testing.T) {
	for _, tt := range []struct {
		status     int
		repeatable bool
		notRun     bool
		want       endReason
	}{
		{status: 200, want: endComplete},
		{status: 304, want: endComplete},
		{status: 400, want: endComplete},
		{status: 400, notRun: true, want: endComplete},
		{status: 408, want: endServerError},
		{status: 408, notRun: true, want: endRefused},
		{status: 408, repeatable: true, want: endComplete},
		{status: 421, want: endComplete},
		{status: 421, notRun: true, want: endRefused},
		{status: 429, want: endServerError},
		{status: 429, notRun: true, want: endRefused},
		{status: 429, repeatable: true, want: endRefused},
		{status: 500, notRun: true, want: endServerError},
		{status: 500, repeatable: true, want: endServerError},
		{status: 503, want: endServerError},
		{status: 503, notRun: true, want: endRefused},
		{status: 503, repeatable: true, want: endRefused},
	} {
		t.Run(fmt.Sprintf("%d repeatable %t not run %t", tt.status, tt.repeatable, tt.notRun), func(t *testing.T) {
			is.New(t).Equal(classifyStatus(tt.status, tt.repeatable, tt.notRun), tt.want)
		})
	}
}

// TestPolicyHolds checks on random sequences of attempts that a request that must not be repeated is not retried once it
// may have run, that no plain retry follows a partial answer, and that not-run is reported only if no upstream can have
// run the request.
func TestPolicyHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := progress{
			repeatable:  rapid.Bool().Draw(t, "repeatable"),
			restartable: rapid.Bool().Draw(t, "restartable"),
		}
		mayHaveRun := 0
		for {
			p.attempts++
			last := attemptResult{reason: endReason(rapid.IntRange(0, int(endYielded)).Draw(t, "ending"))}
			last.status = rapid.SampledFrom([]int{0, 200, 408, 429, 500, 503}).Draw(t, "status")
			if last.reason != endConnectFailed {
				last.sentBytes = int64(rapid.IntRange(0, 1).Draw(t, "sent"))
			}
			p.started = p.started || (last.sentBytes > 0 && rapid.Bool().Draw(t, "started"))
			p.resumable = p.repeatable && p.started && rapid.Bool().Draw(t, "resumable")
			if last.sentBytes > 0 && last.reason != endRefused {
				mayHaveRun++
			}
			p.addResult(last)
			step := p.next(last, retryLimits{maxAttempts: 4, remaining: time.Minute, hasBudget: rapid.Bool().Draw(t, "budget")})
			if step == stepFinish {
				checkResult(t, p.result(last), mayHaveRun)
				return
			}
			if !p.repeatable && mayHaveRun > 0 {
				t.Fatalf("%v is retried although the request may have run", last.reason)
			}
			if p.started && step == stepRetry {
				t.Fatalf("%v is retried although the sink has part of an answer", last.reason)
			}
		}
	})
}

func checkResult(t *rapid.T, result beryloutcome.Result, mayHaveRun int) {
	if result.Kind == beryloutcome.NotRun && (mayHaveRun > 0 || result.SentBytes > 0) {
		t.Fatalf("reported as not-run after %d possible runs", mayHaveRun)
	}
	if result.Refusal == nil {
		return
	}
	if result.Refusal.Code == beryloutcome.CodeNotRun && result.Kind != beryloutcome.NotRun {
		t.Fatalf("code not-run for %v", result.Kind)
	}
}

func TestBackoffGrowsToItsLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(backoff(1, 0), time.Duration(0))
	is.Equal(backoff(1, 1), 2*backoffBase)
	is.Equal(backoff(3, 1), 8*backoffBase)
	is.Equal(backoff(50, 1), backoffMax)
}

func TestSecondCallTimes(t *testing.T) {
	for _, tt := range []struct {
		name         string
		known        latencyStats
		remaining    time.Duration
		tokens       int
		hedge, later time.Duration
	}{
		{name: "nothing known", remaining: time.Minute, later: defaultFirstByteWait},
		{name: "nothing known, long plain answer", remaining: time.Minute, tokens: 100, later: defaultFirstByteWait + 5*time.Second},
		{name: "fast upstreams", known: latencyStats{median: time.Millisecond, p90: time.Millisecond}, remaining: time.Minute, hedge: minHedgeDelay, later: minSecondCallDelay},
		{name: "slow upstreams", known: latencyStats{median: time.Millisecond, p90: time.Second}, remaining: time.Minute, hedge: time.Second, later: 4 * time.Second},
		{name: "all alike", known: latencyStats{median: time.Second, p90: time.Second}, remaining: time.Minute, hedge: 2 * time.Second, later: 4 * time.Second},
		{name: "little time", known: latencyStats{median: time.Millisecond, p90: time.Second}, remaining: 3 * time.Second, hedge: time.Second, later: 1500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hedgeDelay(tt.known), tt.hedge)
			is.Equal(secondCallDelay(tt.known, tt.remaining, tt.tokens), tt.later)
		})
	}
}

func TestStallTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(stallTimeoutFor(latencyStats{}), maxStallTimeout)
	is.Equal(stallTimeoutFor(latencyStats{p90: time.Millisecond}), minStallTimeout)
	is.Equal(stallTimeoutFor(latencyStats{p90: 100 * time.Millisecond}), 5*time.Second)
	is.Equal(stallTimeoutFor(latencyStats{p90: time.Minute}), maxStallTimeout)
}

func TestLatencyWindowForgets(t *testing.T) {
	is := is.New(t)
	var l latencyTracker
	k := latencyKey{target: "m", stream: true}
	for range minLatencySamples - 1 {
		l.add(k, time.Second)
	}
	is.Equal(l.stats(k), latencyStats{}) // fewer than minLatencySamples
	l.add(k, time.Second)
	is.Equal(l.stats(k), latencyStats{median: time.Second, p90: time.Second})
	for i := range 2 * latencyWindowSize {
		l.add(k, time.Duration(i%100)*time.Millisecond)
	}
	is.True(l.stats(k).p90 >= 85*time.Millisecond)
	is.True(l.stats(k).p90 < 95*time.Millisecond)
	for i := range 2 * maxLatencyKeys {
		l.add(latencyKey{tokenBits: i}, time.Second)
	}
	is.Equal(len(l.windows), maxLatencyKeys)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b budget
	now := time.Unix(0, 0)
	is.True(!b.tryWithdraw()) // a new budget allows no extra call
	for range 20 {
		b.deposit(now, 5, 0, 10)
	}
	b.deposit(now, 1, 0, 10)
	is.True(b.tryWithdraw())
	is.True(!b.tryWithdraw())
	b.refund()
	is.True(b.tryWithdraw())
	for range 1000 {
		b.deposit(now, 50, 0, 10)
	}
	for range 10 {
		is.True(b.tryWithdraw())
	}
	is.True(!b.tryWithdraw()) // the balance does not exceed the limit
	var floored budget
	floored.deposit(now, 0, 1, 2)
	is.True(floored.tryWithdraw())
	is.True(floored.tryWithdraw())
	floored.deposit(now.Add(500*time.Millisecond), 0, 1, 10)
	is.True(!floored.tryWithdraw())
	floored.deposit(now.Add(time.Second), 0, 1, 10)
	is.True(floored.tryWithdraw())
}
