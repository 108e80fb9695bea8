package berylcall_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// fakeBroker grants the first upstream that a request does not avoid, and records the reports of released permits.
type fakeBroker struct {
	mu        sync.Mutex
	upstreams []string
	requests  []berylpermit.Request
	reports   map[string][]berylpermit.Report
	held      int
	yield     chan struct{}
	// hedgesRefused is how many more requests for a second permit to refuse.
	hedgesRefused int
	statements    []berylpermit.Statement
}

func (b *fakeBroker) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, request)
	if request.Hedge && b.hedgesRefused > 0 {
		b.hedgesRefused--
		return nil, &beryloutcome.Refusal{Status: 503, Code: beryloutcome.CodeNotRun, Message: "full"}
	}
	for _, name := range b.upstreams {
		if slices.Contains(request.Avoid, name) {
			continue
		}
		b.held++
		return &berylpermit.Permit{Upstream: name, Class: request.Class, Yield: b.yield, Release: b.releaser(name), OnStatement: b.recordStatement}, nil
	}
	return nil, &beryloutcome.Refusal{Status: 503, Code: beryloutcome.CodeNotRun, Message: "full", RetryAfter: time.Second}
}

func (b *fakeBroker) recordStatement(s berylpermit.Statement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statements = append(b.statements, s)
}

func (b *fakeBroker) releaser(name string) func(berylpermit.Report) {
	var once sync.Once
	return func(report berylpermit.Report) {
		once.Do(func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.held--
			if b.reports == nil {
				b.reports = make(map[string][]berylpermit.Report)
			}
			b.reports[name] = append(b.reports[name], report)
		})
	}
}

func (b *fakeBroker) snapshot() (held int, reports map[string][]berylpermit.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports = make(map[string][]berylpermit.Report)
	for name, list := range b.reports {
		reports[name] = slices.Clone(list)
	}
	return b.held, reports
}

// testRunner is a Runner over fake upstreams.
type testRunner struct {
	berylcall.Runner
	broker  fakeBroker
	rules   berylconf.Rules
	urls    map[string]string
	resumes map[string]bool
}

func newTestRunner(t testing.TB) *testRunner {
	runner := &testRunner{urls: make(map[string]string), resumes: make(map[string]bool)}
	runner.Permits = &runner.broker
	runner.Rules = func() berylconf.Rules { return runner.rules }
	runner.URL = func(name string) (string, bool, bool) {
		url, ok := runner.urls[name]
		return url, runner.resumes[name], ok
	}
	t.Cleanup(runner.Runner.Close)
	return runner
}

func (runner *testRunner) add(name, url string, resume bool) {
	runner.urls[name] = url
	runner.resumes[name] = resume
	runner.broker.upstreams = append(runner.broker.upstreams, name)
}

func (runner *testRunner) engine(t testing.TB, name string, options berylfake.EngineOptions) *berylfake.Engine {
	t.Helper()
	e, err := berylfake.StartEngine("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	runner.add(name, e.URL(), options.Resume)
	return e
}

// sink records an answer.
type sink struct {
	status      int
	contentType string
	body        bytes.Buffer
	events      int
	failAtEvent int
	onEvent     func(events int)
}

func (s *sink) Start(status int, contentType string) error {
	s.status = status
	s.contentType = contentType
	return nil
}

func (s *sink) Write(body []byte) error {
	s.events++
	if s.failAtEvent > 0 && s.events >= s.failAtEvent {
		return context.Canceled
	}
	s.body.Write(body)
	if s.onEvent != nil {
		s.onEvent(s.events)
	}
	return nil
}

func chatRequest(id string, stream bool, tokens int) berylcall.Request {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"stop %s please"}]}`,
		stream, tokens, id)
	return berylcall.Request{
		ID: id, Target: "m", Method: "POST", Path: "/v1/chat/completions", ContentType: "application/json",
		Body: []byte(body), Stream: stream, Repeatable: true, Tokens: tokens,
		Deadline: time.Now().Add(20 * time.Second),
	}
}

// restartableSink is a sink that can discard a partial answer.
type restartableSink struct {
	sink
	restarts int
}

func (s *restartableSink) Restart() error {
	s.restarts++
	s.body.Reset()
	return nil
}

func orderRequest(id string) berylcall.Request {
	return berylcall.Request{
		ID: id, Target: "orders", Method: "POST", Path: "/orders", ContentType: "text/plain",
		Body: []byte("order " + id), Deadline: time.Now().Add(20 * time.Second),
	}
}

func (runner *testRunner) service(t testing.TB, name string, options berylfake.ServiceOptions) *berylfake.Service {
	t.Helper()
	s, err := berylfake.StartService("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	runner.add(name, s.URL(), false)
	return s
}

// checkWholeAnswer checks that the sink holds the fake upstream's complete answer to the request.
func checkWholeAnswer(is *is.I, req berylcall.Request, s *sink) {
	is.Helper()
	want, err := berylfake.EngineAnswer(req.Path, req.Body)
	is.NoErr(err)
	got, whole, err := berylfake.ReadAnswer(req.Stream, s.body.Bytes())
	is.NoErr(err)
	is.True(whole)
	is.Equal(got, want)
}
