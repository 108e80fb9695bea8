package berylcall_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// warmUp makes enough calls to derive a hedge delay and, at 50 percent, to allow hedges.
func warmUp(t *testing.T, runner *testRunner) {
	t.Helper()
	for i := range 40 {
		result := runner.Do(context.Background(), chatRequest(fmt.Sprintf("warm-%d", i), true, 1), &sink{})
		if result.Kind != beryloutcome.Answered {
			t.Fatalf("warm-up call %d: %v", i, result.Refusal)
		}
	}
}

func TestHedgeWins(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.rules = berylconf.Rules{HedgePercent: 50}
	slow := runner.engine(t, "slow", berylfake.EngineOptions{})
	runner.engine(t, "fast", berylfake.EngineOptions{})
	warmUp(t, runner)
	is.NoErr(slow.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultHang}))
	req := chatRequest("hedged", true, 20)
	s := &sink{}
	result := runner.Do(context.Background(), req, s)
	is.Equal(result.Kind, beryloutcome.Answered)
	is.Equal(result.Upstream, "fast")
	is.Equal(result.Attempts, 2)
	checkWholeAnswer(is, req, s)
	held, reports := runner.broker.snapshot()
	is.Equal(held, 0)
	loser := reports["slow"][len(reports["slow"])-1]
	is.Equal(loser.Kind, beryloutcome.Cancelled)    // the loser is reported to its upstream's owner
	is.Equal(loser.TimeToFirstToken, loser.HeldFor) // no token came: the report has the time waited
	is.True(!loser.Fault)
	last := runner.broker.requests[len(runner.broker.requests)-1]
	is.True(last.Hedge)
	is.Equal(last.Avoid, []string{"slow"})
	eventually(t, func() bool { return slow.Counts().Running == 0 }) // the engine notices the cancellation
}

// TestFaultsOfLateCalls checks calls that end at their own deadline: they count as a fault of the upstream only after
// a long wait.
func TestFaultsOfLateCalls(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault berylfake.UpstreamFault
		wait  time.Duration
		want  bool
	}{
		{name: "short deadline", fault: berylfake.UpstreamFault{Mode: berylfake.FaultHang}, wait: 50 * time.Millisecond},
		{name: "long wait", fault: berylfake.UpstreamFault{Mode: berylfake.FaultHang}, wait: 1500 * time.Millisecond, want: true},
		{
			name:  "frozen within the stream",
			fault: berylfake.UpstreamFault{Mode: berylfake.FaultStall, AfterTokens: 1, Duration: berylconf.Duration(time.Minute)},
			wait:  2500 * time.Millisecond,
			want:  true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			e := runner.engine(t, "a", berylfake.EngineOptions{})
			for i := range 20 {
				is.Equal(runner.Do(context.Background(), chatRequest(fmt.Sprint(i), true, 2), &sink{}).Kind, beryloutcome.Answered)
			}
			is.NoErr(e.SetFault(tt.fault))
			req := chatRequest("late", true, 2)
			req.Deadline = time.Now().Add(tt.wait)
			is.Equal(runner.Do(context.Background(), req, &sink{}).Kind, beryloutcome.Unknown)
			_, reports := runner.broker.snapshot()
			is.Equal(reports["a"][20].Fault, tt.want)
		})
	}
}

// expiredContext is a context whose deadline has passed although its timer has not fired yet.
type expiredContext struct {
	context.Context
}

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestNoFaultWithoutTimeToConnect checks that the upstream is not at fault when the dialer notices the end of the
// deadline before the call's context does.
func TestNoFaultWithoutTimeToConnect(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.engine(t, "a", berylfake.EngineOptions{})
	req := chatRequest("late", false, 2)
	runner.Do(expiredContext{t.Context()}, req, &sink{})
	_, reports := runner.broker.snapshot()
	is.Equal(len(reports["a"]), 1)
	is.Equal(reports["a"][0].Fault, false)
}

// TestSecondCallIsRequestedAgain checks that the second call is requested again if no other upstream has a free slot
// when the hedge is due.
func TestSecondCallIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.rules = berylconf.Rules{HedgePercent: 50}
	slow := runner.engine(t, "slow", berylfake.EngineOptions{})
	runner.engine(t, "fast", berylfake.EngineOptions{})
	warmUp(t, runner)
	is.NoErr(slow.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultHang}))
	runner.broker.hedgesRefused = 2
	result := runner.Do(context.Background(), chatRequest("refused-at-first", true, 5), &sink{})
	is.Equal(result.Kind, beryloutcome.Answered)
	is.Equal(result.Upstream, "fast")
	is.Equal(result.Attempts, 2)
	is.Equal(runner.broker.hedgesRefused, 0)
}

func TestNoHedge(t *testing.T) {
	for _, tt := range []struct {
		name    string
		percent float64
		batch   bool
		never   bool
	}{
		{name: "budget is empty", percent: 0.001},
		{name: "batch", percent: 50, batch: true},
		{name: "not to be repeated", percent: 50, never: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			runner.rules = berylconf.Rules{HedgePercent: tt.percent}
			slow := runner.engine(t, "slow", berylfake.EngineOptions{})
			fast := runner.engine(t, "fast", berylfake.EngineOptions{})
			warmUp(t, runner)
			before := fast.Counts().Started // a call of the warm-up may have been hedged
			fault := berylfake.UpstreamFault{Mode: berylfake.FaultStall, Duration: berylconf.Duration(200 * time.Millisecond)}
			is.NoErr(slow.SetFault(fault))
			req := chatRequest("not-hedged", true, 20)
			req.Repeatable = !tt.never
			if tt.batch {
				req.Class = berylpermit.Batch
			}
			result := runner.Do(context.Background(), req, &sink{})
			is.Equal(result.Kind, beryloutcome.Answered)
			is.Equal(result.Upstream, "slow")
			is.Equal(fast.Counts().Started, before)
		})
	}
}

func TestHedgesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	slow := runner.engine(t, "slow", berylfake.EngineOptions{})
	fast := runner.engine(t, "fast", berylfake.EngineOptions{})
	warmUp(t, runner)
	fault := berylfake.UpstreamFault{Mode: berylfake.FaultStall, Duration: berylconf.Duration(30 * time.Millisecond)}
	is.NoErr(slow.SetFault(fault))
	const calls = 100
	for i := range calls {
		runner.Do(context.Background(), chatRequest(fmt.Sprintf("slow-%d", i), true, 1), &sink{})
	}
	is.True(fast.Counts().Started <= (40+calls)*5/100) // 5 percent by default, with the 40 calls of warmUp
	is.True(fast.Counts().Started > 0)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.rules = berylconf.Rules{HedgePercent: 0.001} // allows no hedge in 300 calls; a hedge would also add to Started
	bad := runner.engine(t, "bad", berylfake.EngineOptions{})
	good := runner.engine(t, "good", berylfake.EngineOptions{})
	is.NoErr(bad.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultStatus, Status: 500}))
	began := time.Now()
	const calls, initialRetries = 300, 100
	for i := range calls {
		result := runner.Do(context.Background(), chatRequest(fmt.Sprintf("retry-%d", i), true, 1), &sink{})
		if result.Kind != beryloutcome.Answered {
			is.Equal(result.Refusal.Code, beryloutcome.CodeUpstream)
		}
	}
	allowed := initialRetries + calls/10 + int(time.Since(began).Seconds()) + 1
	is.True(good.Counts().Started <= allowed)
	is.True(good.Counts().Started >= initialRetries+(calls-1)/10) // the first call finds a full budget and adds none
}

// eventually waits up to 10 s for other goroutines to make met return true.
func eventually(t *testing.T, met func() bool) {
	t.Helper()
	for range 2000 {
		if met() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 10 s")
}
