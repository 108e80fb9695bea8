package berylcall_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const testTokens = 12

// fakeUpstream is the part of a fake engine or a fake plain service that the test uses.
type fakeUpstream interface {
	SetFault(berylfake.UpstreamFault) error
	Counts() berylfake.Counts
}

// TestFaults makes one call for each point at which a call can fail, against fake upstreams that speak HTTP. Upstream
// a has the fault, upstream b has none. Both resume streams if argument b is "resume".
//
// Arguments: kind (chat, stream, order or get), fault, status, not-run, after-run, after, for, requests, b (plain, resume or none),
// deadline, cancel-at, yield-at and sink-error (in events), class, restartable, unknown.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		t.Parallel()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runFault(t, d)
		})
	})
}

func argOr(d *datadriven.TestData, name, fallback string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return fallback
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	n, err := strconv.Atoi(argOr(d, name, "0"))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return n
}

func durationArg(t *testing.T, d *datadriven.TestData, name, fallback string) time.Duration {
	s, err := time.ParseDuration(argOr(d, name, fallback))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return s
}

func faultRequest(t *testing.T, d *datadriven.TestData) berylcall.Request {
	id := "case-" + strconv.Itoa(len(d.Pos)) + "-" + argOr(d, "fault", "none")
	req := chatRequest(id, false, testTokens)
	switch d.Cmd {
	case "stream":
		req = chatRequest(id, true, testTokens)
	case "order":
		req = orderRequest(id)
	case "get":
		req = orderRequest(id)
		req.Repeatable = true
	}
	if argOr(d, "class", "online") == "batch" {
		req.Class = berylpermit.Batch
	}
	req.Deadline = time.Now().Add(durationArg(t, d, "deadline", "20s"))
	return req
}

func startUpstreams(t *testing.T, runner *testRunner, d *datadriven.TestData) []fakeUpstream {
	if d.Cmd == "order" || d.Cmd == "get" {
		upstreams := []fakeUpstream{runner.service(t, "a", berylfake.ServiceOptions{})}
		if argOr(d, "b", "none") != "none" {
			upstreams = append(upstreams, runner.service(t, "b", berylfake.ServiceOptions{}))
		}
		return upstreams
	}
	b := argOr(d, "b", "none")
	options := berylfake.EngineOptions{Models: []string{"m"}, Resume: b == "resume"}
	upstreams := []fakeUpstream{runner.engine(t, "a", options)}
	if b != "none" {
		upstreams = append(upstreams, runner.engine(t, "b", options))
	}
	return upstreams
}

func runFault(t *testing.T, d *datadriven.TestData) string {
	runner := newTestRunner(t)
	runner.StallTimeout = 300 * time.Millisecond
	runner.rules = berylconf.Rules{MaxAnswerBytes: 256 << 10}
	upstreams := startUpstreams(t, runner, d)
	req := faultRequest(t, d)
	fault := berylfake.UpstreamFault{
		Mode:        berylfake.UpstreamFaultMode(argOr(d, "fault", "")),
		Status:      intArg(t, d, "status"),
		NotRun:      d.HasArg("not-run"),
		AfterRun:    d.HasArg("after-run"),
		AfterTokens: intArg(t, d, "after"),
		Duration:    berylconf.Duration(durationArg(t, d, "for", "0s")),
		Requests:    intArg(t, d, "requests"),
	}
	if err := upstreams[0].SetFault(fault); err != nil {
		d.Fatalf(t, "%v", err)
	}
	if d.HasArg("unknown") {
		delete(runner.urls, "a")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &restartableSink{}
	s.failAtEvent = intArg(t, d, "sink-error")
	cancelAt, yieldAt := intArg(t, d, "cancel-at"), intArg(t, d, "yield-at")
	runner.broker.yield = make(chan struct{})
	s.onEvent = func(events int) {
		if events == cancelAt {
			cancel()
		}
		if events == yieldAt {
			close(runner.broker.yield)
		}
	}
	result := runner.Do(ctx, req, sinkFor(d, s))
	return report(t, runner, d, upstreams, req, s, result)
}

func sinkFor(d *datadriven.TestData, s *restartableSink) berylcall.Sink {
	if d.HasArg("restartable") {
		return s
	}
	return &s.sink
}

// report returns a line that describes the result, for comparison with the expected output in the test file. It also
// checks what must hold after every call: no permit is held, a request that is not repeatable was started at most once,
// an answer with a status below 300 is complete, a failed answer does not look complete and has a refusal unless the
// call yielded, and a not-run result means that no upstream has started the request.
func report(t *testing.T, runner *testRunner, d *datadriven.TestData, upstreams []fakeUpstream, req berylcall.Request, s *restartableSink,
	result beryloutcome.Result) string {
	is := is.New(t)
	held, _ := runner.broker.snapshot()
	is.Equal(held, 0) // every permit is released
	started := 0
	runs := ""
	for i, u := range upstreams {
		c := u.Counts()
		started += c.Started
		runs += fmt.Sprintf(" %c=%d", 'a'+i, c.Started)
	}
	if !req.Repeatable {
		is.True(started <= 1) // a request that is not repeatable runs at most once
	}
	whole := isWholeAnswer(t, req, &s.sink)
	if result.Kind == beryloutcome.Answered {
		is.True(result.Refusal == nil)
		is.True(whole || s.status >= 300) // an answer with a status below 300 is complete
		return fmt.Sprintf("answered %d tokens=%d attempts=%d restarts=%d runs:%s\n",
			s.status, result.Tokens, result.Attempts, s.restarts, runs)
	}
	is.True(!whole) // a failed answer does not look complete
	is.True(result.Refusal != nil || result.Kind == beryloutcome.Yielded)
	if result.Refusal == nil {
		return fmt.Sprintf("%s tokens=%d runs:%s\n", result.Kind, result.Tokens, runs)
	}
	if result.Refusal.Code == beryloutcome.CodeNotRun || result.Kind == beryloutcome.NotRun {
		is.Equal(started, 0) // not-run must mean that no upstream has run the request
	}
	return fmt.Sprintf("%s %d %s retry-after=%v tokens=%s attempts=%d restarts=%d runs:%s\n",
		result.Kind, result.Refusal.Status, result.Refusal.Code, result.Refusal.RetryAfter,
		tokenCount(result.Tokens), result.Attempts, s.restarts, runs)
}

// tokenCount hides how far an endless answer got, which depends on the sizes of reads.
func tokenCount(tokens int) string {
	if tokens > testTokens {
		return "many"
	}
	return strconv.Itoa(tokens)
}

// isWholeAnswer reports whether the sink holds the fake upstream's complete answer. It fails the test if the answer
// belongs to another request.
func isWholeAnswer(t *testing.T, req berylcall.Request, s *sink) bool {
	if req.Target == "orders" {
		want := string(berylfake.ServiceAnswer(req.Method, req.Path, req.Body))
		return s.body.String() == want
	}
	got, whole, err := berylfake.ReadAnswer(req.Stream, s.body.Bytes())
	if err != nil || !whole {
		return false
	}
	want, err := berylfake.EngineAnswer(req.Path, req.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("answer %q is not the one to the request, %q", got, want)
	}
	return true
}
