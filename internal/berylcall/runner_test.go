package berylcall_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

func TestConcurrentCallersGetTheirOwn(t *testing.T) {
	const callers, calls = 200, 5
	runner := newTestRunner(t)
	runner.rules = berylconf.Rules{HedgePercent: 100}
	runner.engine(t, "a", berylfake.EngineOptions{TokenTime: 100 * time.Microsecond})
	runner.engine(t, "b", berylfake.EngineOptions{TokenTime: 100 * time.Microsecond})
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range calls {
				is := is.New(t)
				req := chatRequest(fmt.Sprintf("caller-%d-%d", caller, i), i%2 == 0, 10+caller%7)
				s := &sink{}
				result := runner.Do(context.Background(), req, s)
				is.Equal(result.Kind, beryloutcome.Answered)
				checkWholeAnswer(is, req, s)
			}
		})
	}
	group.Wait()
	held, _ := runner.broker.snapshot()
	is.New(t).Equal(held, 0)
}

func TestLateAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	e := runner.engine(t, "a", berylfake.EngineOptions{})
	for round := range 5 {
		late := berylfake.UpstreamFault{Mode: berylfake.FaultLate, Duration: berylconf.Duration(100 * time.Millisecond), Requests: 1}
		is.NoErr(e.SetFault(late))
		req := chatRequest(fmt.Sprintf("late-%d", round), false, 5)
		req.Deadline = time.Now().Add(50 * time.Millisecond)
		result := runner.Do(context.Background(), req, &sink{})
		is.Equal(result.Kind, beryloutcome.Unknown)
		is.Equal(result.Refusal.Status, 504)
		for i := range 20 {
			next := chatRequest(fmt.Sprintf("next-%d-%d", round, i), false, 5)
			s := &sink{}
			is.Equal(runner.Do(context.Background(), next, s).Kind, beryloutcome.Answered)
			checkWholeAnswer(is, next, s)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestUnsolicitedBytesAreNotAnAnswer checks that bytes an upstream writes to an idle connection are not taken for the
// answer to the next request.
func TestUnsolicitedBytesAreNotAnAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	answered := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 4096))
			c.Write([]byte(answer + "{}"))
			answered <- c
		}
	}()
	runner := newTestRunner(t)
	runner.add("a", "http://"+l.Addr().String(), false)
	s := &sink{}
	is.Equal(runner.Do(context.Background(), chatRequest("first", false, 1), s).Kind, beryloutcome.Answered)
	first := <-answered
	defer first.Close()
	first.Write([]byte(answer + "[]"))
	time.Sleep(20 * time.Millisecond)
	s = &sink{}
	is.Equal(runner.Do(context.Background(), chatRequest("second", false, 1), s).Kind, beryloutcome.Answered)
	is.Equal(s.body.String(), "{}")
	(<-answered).Close()
}

// TestKeptConnectionClosed checks that a call succeeds at its first attempt after the upstream has closed the idle
// connections but already accepts new ones.
func TestKeptConnectionClosed(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	e := runner.engine(t, "a", berylfake.EngineOptions{})
	for i := range 10 {
		req := chatRequest(fmt.Sprintf("kept-%d", i), true, 3)
		result := runner.Do(context.Background(), req, &sink{})
		is.Equal(result.Kind, beryloutcome.Answered)
		is.Equal(result.Attempts, 1)
		is.NoErr(e.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultRefuse}))
		is.NoErr(e.SetFault(berylfake.UpstreamFault{}))
	}
	is.Equal(e.Counts().Started, 10)
}

// TestUpstreamClosesOnSecondRequest checks calls to an upstream that closes a kept connection instead of answering a
// second request on it.
func TestUpstreamClosesOnSecondRequest(t *testing.T) {
	for _, tt := range []struct {
		name       string
		repeatable bool
	}{
		{name: "repeatable", repeatable: true},
		{name: "not to be repeated"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go answerOnceEach(l)
			runner := newTestRunner(t)
			runner.add("a", "http://"+l.Addr().String(), false)
			for i := range 5 {
				req := chatRequest(fmt.Sprintf("call-%d", i), false, 1)
				req.Repeatable = tt.repeatable
				result := runner.Do(context.Background(), req, &sink{})
				is.Equal(result.Kind, beryloutcome.Answered)
				is.Equal(result.Attempts, 1)
			}
		})
	}
}

// answerOnceEach answers the first request of each connection and closes the connection at the second.
func answerOnceEach(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			c.Read(make([]byte, 4096))
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
			c.Read(make([]byte, 4096))
		}()
	}
}

func TestYieldedStreamIsContinued(t *testing.T) {
	for _, tt := range []struct {
		name      string
		resume    bool
		restarts  int
		generated int64
	}{
		{name: "continued", resume: true, generated: 20},
		{name: "restarted", restarts: 1, generated: 25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			e := runner.engine(t, "a", berylfake.EngineOptions{Resume: tt.resume})
			is.NoErr(e.SetFault(berylfake.UpstreamFault{
				Mode: berylfake.FaultStall, AfterTokens: 5, Duration: berylconf.Duration(time.Minute), Requests: 1,
			}))
			runner.broker.yield = make(chan struct{})
			req := chatRequest("yielded", true, 20)
			req.Class = berylpermit.Batch
			s := &restartableSink{}
			s.onEvent = func(events int) {
				if events == 5 {
					close(runner.broker.yield)
				}
			}
			result := runner.Do(context.Background(), req, s)
			is.Equal(result.Kind, beryloutcome.Yielded)
			is.Equal(result.Tokens, 5)
			eventually(t, func() bool { return e.Counts().Running == 0 })
			runner.broker.yield = nil
			req.ContinueFrom = result.Tokens
			result = runner.Do(context.Background(), req, s)
			is.Equal(result.Kind, beryloutcome.Answered)
			is.Equal(s.restarts, tt.restarts)
			checkWholeAnswer(is, req, &s.sink)
			is.Equal(e.Counts().Tokens, tt.generated)
		})
	}
}

// Guards against an answer being continued by an upstream of another software version than the one that began it.
func TestAnswerIsContinuedAtItsVersion(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	versions := map[string]string{"a": "v1", "b": "v2", "c": "v1"}
	runner.Version = func(upstream string) string { return versions[upstream] }
	a := runner.engine(t, "a", berylfake.EngineOptions{Resume: true})
	b := runner.engine(t, "b", berylfake.EngineOptions{Resume: true})
	runner.engine(t, "c", berylfake.EngineOptions{Resume: true})
	is.NoErr(a.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultCut, AfterTokens: 3, Requests: 1}))
	req, s := chatRequest("cut", true, 8), &sink{}
	result := runner.Do(context.Background(), req, s)
	is.Equal(result.Kind, beryloutcome.Answered)
	is.Equal(result.Version, "v1")
	is.Equal(result.Upstream, "c")
	is.Equal(b.Counts().Started, 0)
	checkWholeAnswer(is, req, s)
}

// Guards against an item that yielded being continued by an upstream of another software version: it starts anew.
func TestYieldedStreamStartsAnewAtAnotherVersion(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.Version = func(string) string { return "v2" }
	e := runner.engine(t, "a", berylfake.EngineOptions{Resume: true})
	req := chatRequest("yielded", true, 20)
	req.Class = berylpermit.Batch
	req.ContinueFrom, req.ContinueVersion = 5, "v1"
	s := &restartableSink{}
	result := runner.Do(context.Background(), req, s)
	is.Equal(result.Kind, beryloutcome.Answered)
	is.Equal(s.restarts, 1)
	is.Equal(e.Counts().Tokens, int64(20))
}

// Guards against streams that are cut because their upstream pauses, though no other attempt may continue them.
func TestLastAttemptOutlastsAPause(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			runner.StallTimeout = 100 * time.Millisecond
			runner.rules = berylconf.Rules{MaxAttempts: attempts}
			for i := range attempts + 1 {
				e := runner.engine(t, fmt.Sprint(i), berylfake.EngineOptions{Resume: true})
				fault := berylfake.UpstreamFault{Mode: berylfake.FaultStall, AfterTokens: 3, Duration: berylconf.Duration(30 * time.Second)}
				if i == attempts-1 {
					fault.Duration = berylconf.Duration(400 * time.Millisecond)
				}
				is.NoErr(e.SetFault(fault))
			}
			req := chatRequest("paused", true, 20)
			s := &sink{}
			result := runner.Do(context.Background(), req, s)
			is.Equal(result.Kind, beryloutcome.Answered)
			is.Equal(result.Attempts, attempts)
			checkWholeAnswer(is, req, s)
		})
	}
}

func TestNothingLeaks(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.Metrics = metrics.NewSet()
	runner.StallTimeout = 100 * time.Millisecond
	runner.rules = berylconf.Rules{HedgePercent: 100, RetryPercent: 100}
	a := runner.engine(t, "a", berylfake.EngineOptions{})
	b := runner.engine(t, "b", berylfake.EngineOptions{Resume: true})
	warmUp(t, runner)
	settled := runtime.NumGoroutine()
	faults := []berylfake.UpstreamFaultMode{
		berylfake.FaultDrop, berylfake.FaultGarbage, berylfake.FaultNotHTTP, berylfake.FaultCut, berylfake.FaultNoEnd,
		berylfake.FaultEndless, berylfake.FaultHang, berylfake.FaultWrongRequestID, berylfake.FaultStall, berylfake.FaultDrip,
	}
	var group sync.WaitGroup
	for _, mode := range faults {
		is.NoErr(a.SetFault(berylfake.UpstreamFault{Mode: mode, Duration: berylconf.Duration(time.Second)}))
		for i := range 20 {
			group.Go(func() {
				req := chatRequest(fmt.Sprintf("%s-%d", mode, i), i%2 == 0, 8)
				req.Deadline = time.Now().Add(300 * time.Millisecond)
				runner.Do(context.Background(), req, &sink{})
			})
		}
		group.Wait()
	}
	runner.Runner.Close()
	held, _ := runner.broker.snapshot()
	is.Equal(held, 0)
	eventually(t, func() bool { return a.Counts().Running+b.Counts().Running == 0 })
	eventually(t, func() bool { return runtime.NumGoroutine() <= settled })
}

func TestBadPath(t *testing.T) {
	for _, path := range []string{"", "orders", "/a b", "/a HTTP/1.1\r\nX-Caller: other", "/a\x00"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			service := runner.service(t, "a", berylfake.ServiceOptions{})
			req := orderRequest("bad-path")
			req.Path = path
			result := runner.Do(context.Background(), req, &sink{})
			is.Equal(result.Kind, beryloutcome.NotRun)
			is.Equal(result.Refusal.Code, beryloutcome.CodeBadRequest)
			is.Equal(service.Counts().Started, 0)
		})
	}
}

func TestMetrics(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	runner.Metrics = metrics.NewSet()
	runner.rules = berylconf.Rules{HedgePercent: 2.45} // 40 calls of warmUp deposit 0.98 hedges; call 41 makes it one
	a := runner.engine(t, "a", berylfake.EngineOptions{})
	runner.engine(t, "b", berylfake.EngineOptions{Resume: true})
	warmUp(t, runner)
	is.NoErr(a.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultHang, Requests: 1}))
	is.Equal(runner.Do(context.Background(), chatRequest("hang", true, 8), &sink{}).Kind, beryloutcome.Answered)
	is.NoErr(a.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultCut, AfterTokens: 3, Requests: 1}))
	is.Equal(runner.Do(context.Background(), chatRequest("cut", true, 8), &sink{}).Kind, beryloutcome.Answered)
	is.NoErr(a.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultRefuse}))
	is.Equal(runner.Do(context.Background(), chatRequest("refuse", true, 8), &sink{}).Kind, beryloutcome.Answered)
	var text strings.Builder
	runner.Metrics.WritePrometheus(&text)
	for _, line := range []string{
		`berylroad_calls_total{outcome="answered",class="online"} 43`,
		`berylroad_upstream_calls_total{end="cut"} 1`,
		`berylroad_call_retries_total 1`,
		`berylroad_call_hedges_total 1`,
		`berylroad_call_hedge_wins_total 1`,
		`berylroad_call_resumes_total 1`,
		`berylroad_call_first_token_seconds_count{class="online"} 44`,
	} {
		is.True(strings.Contains(text.String(), line+"\n"))
	}
}
