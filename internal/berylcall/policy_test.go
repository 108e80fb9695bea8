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

// TestPolicy prints, for each ending of an upstream call, what comes next and what the caller is told if nothing does.
//
// Arguments: repeatable, unsent, started, resumable, restartable, ran (an earlier call may have run), attempts,
// no-budget, no-time.
func TestPolicy(t *testing.T) {
	datadriven.RunTest(t, "testdata/policy/table", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for e := endWhole; e <= endYielded; e++ {
			p := progress{
				repeatable:  d.HasArg("repeatable"),
				ran:         d.HasArg("ran"),
				started:     d.HasArg("started"),
				resumable:   d.HasArg("resumable"),
				restartable: d.HasArg("restartable"),
				attempts:    1,
			}
			r := room{attempts: 3, remaining: time.Minute, budget: !d.HasArg("no-budget")}
			if d.HasArg("no-attempts") {
				p.attempts = r.attempts
			}
			if d.HasArg("no-time") {
				r.remaining = time.Millisecond
			}
			last := end{ending: e, status: http.StatusInternalServerError}
			if !d.HasArg("unsent") && e != endConnect {
				last.sent = 100
			}
			p.add(last)
			fmt.Fprintf(&out, "%-10s %-8s %s\n", e, p.next(last, r), told(p.result(last)))
		}
		return out.String()
	})
}

func told(r beryloutcome.Result) string {
	if r.Refusal == nil {
		return r.Kind.String()
	}
	return fmt.Sprintf("%s %d %s %v", r.Kind, r.Refusal.Status, r.Refusal.Code, r.Refusal.RetryAfter)
}

func TestStatusEndings(t *testing.T) {
	for _, tt := range []struct {
		status     int
		repeatable bool
		want       ending
	}{
		{status: 200, want: endWhole},
		{status: 304, want: endWhole},
		{status: 400, want: endWhole},
		{status: 429, want: endRefused},
		{status: 429, repeatable: true, want: endRefused},
		{status: 500, repeatable: true, want: endServer},
		{status: 503, want: endServer},
		{status: 503, repeatable: true, want: endRefused},
	} {
		t.Run(fmt.Sprintf("%d repeatable %t", tt.status, tt.repeatable), func(t *testing.T) {
			is.New(t).Equal(statusEnding(tt.status, tt.repeatable), tt.want)
		})
	}
}

// TestPolicyHolds walks random sequences of endings and checks what must hold for each of them.
func TestPolicyHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := progress{
			repeatable:  rapid.Bool().Draw(t, "repeatable"),
			restartable: rapid.Bool().Draw(t, "restartable"),
		}
		mayHaveRun := 0
		for {
			p.attempts++
			last := end{ending: ending(rapid.IntRange(0, int(endYielded)).Draw(t, "ending"))}
			last.status = rapid.SampledFrom([]int{0, 200, 500, 503}).Draw(t, "status")
			if last.ending != endConnect {
				last.sent = int64(rapid.IntRange(0, 1).Draw(t, "sent"))
			}
			p.started = p.started || (last.sent > 0 && rapid.Bool().Draw(t, "started"))
			p.resumable = p.repeatable && p.started && rapid.Bool().Draw(t, "resumable")
			if last.sent > 0 && last.ending != endRefused {
				mayHaveRun++
			}
			p.add(last)
			step := p.next(last, room{attempts: 4, remaining: time.Minute, budget: rapid.Bool().Draw(t, "budget")})
			if step == finish {
				checkEnd(t, p.result(last), mayHaveRun)
				return
			}
			if !p.repeatable && mayHaveRun > 0 {
				t.Fatalf("%v is made again after a run", last.ending)
			}
			if p.started && step == again {
				t.Fatalf("%v is made again although the sink has part of an answer", last.ending)
			}
		}
	})
}

func checkEnd(t *rapid.T, result beryloutcome.Result, mayHaveRun int) {
	if result.Kind == beryloutcome.NotRun && (mayHaveRun > 0 || result.SentBytes > 0) {
		t.Fatalf("not-run after %d runs", mayHaveRun)
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
		known        typical
		remaining    time.Duration
		tokens       int
		hedge, later time.Duration
	}{
		{name: "nothing known", remaining: time.Minute, later: unknownFirst},
		{name: "nothing known, long plain answer", remaining: time.Minute, tokens: 100, later: unknownFirst + 5*time.Second},
		{name: "fast upstreams", known: typical{usual: time.Millisecond, high: time.Millisecond}, remaining: time.Minute, hedge: hedgeFloor, later: secondCallFloor},
		{name: "slow upstreams", known: typical{usual: time.Millisecond, high: time.Second}, remaining: time.Minute, hedge: time.Second, later: 4 * time.Second},
		{name: "all alike", known: typical{usual: time.Second, high: time.Second}, remaining: time.Minute, hedge: 2 * time.Second, later: 4 * time.Second},
		{name: "little time", known: typical{usual: time.Millisecond, high: time.Second}, remaining: 3 * time.Second, hedge: time.Second, later: 1500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hedgeAfter(tt.known), tt.hedge)
			is.Equal(secondCallAfter(tt.known, tt.remaining, tt.tokens), tt.later)
		})
	}
}

func TestStallTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(stallAfter(typical{}), stallCeiling)
	is.Equal(stallAfter(typical{high: time.Millisecond}), stallFloor)
	is.Equal(stallAfter(typical{high: 100 * time.Millisecond}), 5*time.Second)
	is.Equal(stallAfter(typical{high: time.Minute}), stallCeiling)
}

func TestLatencyWindowForgets(t *testing.T) {
	is := is.New(t)
	var l latencies
	k := latencyKey{target: "m", stream: true}
	for range latencyMinimum - 1 {
		l.add(k, time.Second)
	}
	is.Equal(l.typical(k), typical{}) // too few samples
	l.add(k, time.Second)
	is.Equal(l.typical(k), typical{usual: time.Second, high: time.Second})
	for i := range 2 * latencySamples {
		l.add(k, time.Duration(i%100)*time.Millisecond)
	}
	is.True(l.typical(k).high >= 85*time.Millisecond)
	is.True(l.typical(k).high < 95*time.Millisecond)
	for i := range 2 * latencyMaxKeys {
		l.add(latencyKey{size: i}, time.Second)
	}
	is.Equal(len(l.windows), latencyMaxKeys)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b budget
	now := time.Unix(0, 0)
	is.True(!b.spend()) // empty at first
	for range 20 {
		b.earn(now, 5, 0, 10)
	}
	b.earn(now, 1, 0, 10)
	is.True(b.spend())
	is.True(!b.spend())
	b.refund()
	is.True(b.spend())
	for range 1000 {
		b.earn(now, 50, 0, 10)
	}
	for range 10 {
		is.True(b.spend())
	}
	is.True(!b.spend()) // no more than the limit is saved
	var floored budget
	floored.earn(now, 0, 1, 2)
	is.True(floored.spend())
	is.True(floored.spend())
	floored.earn(now.Add(500*time.Millisecond), 0, 1, 10)
	is.True(!floored.spend())
	floored.earn(now.Add(time.Second), 0, 1, 10)
	is.True(floored.spend())
}
