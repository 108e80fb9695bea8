package berylrelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// fakeBroker grants the first of its upstreams that the request does not avoid.
type fakeBroker struct {
	mu       sync.Mutex // guards grants
	grants   []string
	requests []berylpermit.Request
	reports  []berylpermit.Report
	released []string
	// onStatement, if set, gets what answers say about their upstreams.
	onStatement func(berylpermit.Statement)
}

func (b *fakeBroker) Acquire(_ context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	b.requests = append(b.requests, request)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range b.grants {
		avoided := false
		for _, a := range request.Avoid {
			avoided = avoided || a == name
		}
		if avoided {
			continue
		}
		return &berylpermit.Permit{Upstream: name, OnStatement: b.onStatement, Release: func(r berylpermit.Report) {
			b.released = append(b.released, name)
			b.reports = append(b.reports, r)
		}}, nil
	}
	return nil, &beryloutcome.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: 400 * time.Millisecond}
}

// setGrants changes the upstreams that are granted while requests may wait.
func (b *fakeBroker) setGrants(names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants = names
}

// script is what one upstream answers.
type script struct {
	// err, if set, fails the call before the head of the answer arrives.
	err error
	// status is the status of the answer; zero means 200.
	status int
	notRun bool
	// unsigned omits the signature.
	unsigned bool
	// carriedBy is the host that carries the connection.
	carriedBy string
	// leaving makes the answer say that the upstream leaves.
	leaving bool
	// body is sent first. Then the stream ends with end, or stays silent if hang is set.
	body string
	end  error
	hang bool
}

type fakeClient struct {
	scripts map[string]script
	calls   []Call
}

func (c *fakeClient) Call(ctx context.Context, call *Call) (*Reply, error) {
	c.calls = append(c.calls, *call)
	s := c.scripts[call.Upstream.ID]
	if s.err != nil {
		return nil, s.err
	}
	if s.status == 0 {
		s.status = http.StatusOK
	}
	return &Reply{
		Status: s.status, NotRun: s.notRun, Signed: !s.unsigned, EventStream: s.status == http.StatusOK,
		Header:    []HeaderField{{Name: "X-Stamp", Value: call.Upstream.ID}},
		CarriedBy: s.carriedBy,
		Statement: berylpermit.Statement{Leaving: s.leaving, Run: call.Upstream.StartedAtMillis},
		Body:      &fakeBody{ctx: ctx, script: s, reader: strings.NewReader(s.body)},
	}, nil
}

type fakeBody struct {
	ctx    context.Context
	script script
	reader *strings.Reader
}

func (b *fakeBody) Read(p []byte) (int, error) {
	if b.reader.Len() > 0 {
		return b.reader.Read(p)
	}
	if b.script.hang {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	if b.script.end != nil {
		return 0, b.script.end
	}
	return 0, io.EOF
}

func (b *fakeBody) Close() error { return nil }

type fakeSink struct {
	status int
	header []HeaderField
	body   bytes.Buffer
}

func (s *fakeSink) Start(status int, header []HeaderField, _ int) error {
	s.status, s.header = status, header
	return nil
}

func (s *fakeSink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word %d\n\n", i, i)
	}
	return b.String()
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newRegistry(ids ...string) *berylroute.Registry {
	f := &berylroute.Registry{Log: discardLogger()}
	for _, id := range ids {
		f.Put(berylroute.Upstream{ID: id, Service: "svc", Address: "10.0.0.1:1", Slots: 2})
	}
	return f
}

func TestRelay(t *testing.T) {
	broken := errors.New("connection reset")
	unsent := fmt.Errorf("%w: refused", ErrUnsent)
	resumable := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond}
	once := berylroute.Route{Kind: berylroute.Streaming, MaxAttempts: 2}
	safe := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 2}
	unsafe := berylroute.Route{Kind: berylroute.Unsafe, MaxAttempts: 1}
	tests := []struct {
		name    string
		route   berylroute.Route
		scripts map[string]script
		kind    beryloutcome.Kind
		body    string
		status  int // HTTP status of the refusal or, without one, of the answer
		calls   int
	}{
		{"whole stream", once, map[string]script{"a": {body: events(1, 3)}}, beryloutcome.Answered, events(1, 3), 200, 1},
		{"refused without running, then answered", once, map[string]script{"a": {status: 503, notRun: true}, "b": {body: events(1, 2)}}, beryloutcome.Answered, events(1, 2), 200, 2},
		{"misdirected, then answered", once, map[string]script{"a": {status: 421, notRun: true}, "b": {body: events(1, 2)}}, beryloutcome.Answered, events(1, 2), 200, 2},
		{"not connected, then answered", once, map[string]script{"a": {err: unsent}, "b": {body: events(1, 2)}}, beryloutcome.Answered, events(1, 2), 200, 2},
		{"refused without running everywhere", once, map[string]script{"a": {status: 503, notRun: true}, "b": {status: 503, notRun: true}, "c": {err: unsent}}, beryloutcome.NotRun, "", 503, 3},
		{"lost before its head runs once", once, map[string]script{"a": {err: broken}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"cut stream that may not be resumed", once, map[string]script{"a": {body: events(1, 2), end: broken}}, beryloutcome.Unknown, events(1, 2), 502, 1},
		{"cut stream goes on elsewhere", resumable, map[string]script{"a": {body: events(1, 2) + "id: 3\ndata: wo", end: broken}, "b": {body: events(3, 4)}}, beryloutcome.Answered, events(1, 4), 200, 2},
		{"stream that ends within an event goes on elsewhere", resumable, map[string]script{"a": {body: events(1, 2) + "id: 3\ndata: wo"}, "b": {body: events(3, 4)}}, beryloutcome.Answered, events(1, 4), 200, 2},
		{"stream that ends within its last blank line", once, map[string]script{"a": {body: strings.TrimSuffix(events(1, 2), "\n")}}, beryloutcome.Unknown, events(1, 1), 502, 1},
		{"stream that ends within its first event", once, map[string]script{"a": {body: "id: 1\ndata: wo"}}, beryloutcome.Unknown, "", 502, 1},
		{"silent stream goes on elsewhere", resumable, map[string]script{"a": {body: events(1, 2), hang: true}, "b": {body: events(3, 4)}}, beryloutcome.Answered, events(1, 4), 200, 2},
		{"resumed stream repeats events", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {body: events(1, 4)}}, beryloutcome.Answered, events(1, 4), 200, 2},
		{"resumed stream leaves a gap", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {body: events(4, 5)}}, beryloutcome.Unknown, events(1, 2), 502, 2},
		{"error instead of the rest", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {status: 500, body: "internal error"}}, beryloutcome.Unknown, events(1, 2), 502, 2},
		{"error that is not signed instead of the rest", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {status: 502, body: "internal error", unsigned: true}}, beryloutcome.Unknown, events(1, 2), 502, 2},
		{"error as an event instead of the rest", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {body: "data: internal error\n\n"}}, beryloutcome.Unknown, events(1, 2), 502, 2},
		{"comment in the rest", resumable, map[string]script{"a": {body: events(1, 2), end: broken}, "b": {body: ": still here\n\n" + events(3, 4)}}, beryloutcome.Answered, events(1, 2) + ": still here\n\n" + events(3, 4), 200, 2},
		{"attempts are used up", resumable, map[string]script{"a": {body: events(1, 1), end: broken}, "b": {body: events(2, 2), end: broken}, "c": {body: events(3, 3)}}, beryloutcome.Unknown, events(1, 2), 502, 2},
		{"success without a signature is no answer", once, map[string]script{"a": {body: events(1, 2), unsigned: true}}, beryloutcome.Unknown, "", 502, 1},
		{"failure is passed on", once, map[string]script{"a": {status: 500, body: "no"}}, beryloutcome.Answered, "no", 500, 1},
		{"request timeout of the upstream that may have run it", once, map[string]script{"a": {status: 408, body: "no"}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"refusal of the upstream that may have run it", once, map[string]script{"a": {status: 429, body: "no"}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"failure of the upstream that may have run it", once, map[string]script{"a": {status: 503, body: "no"}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"the same of an unsafe request", unsafe, map[string]script{"a": {status: 503, body: "no"}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"the same by way of another host", unsafe, map[string]script{"a": {status: 503, body: "no", carriedBy: "h2"}, "b": {body: events(1, 2)}}, beryloutcome.Unknown, "", 502, 1},
		{"the same after a refusal without running", unsafe, map[string]script{"a": {status: 503, notRun: true}, "b": {status: 503, body: "no"}}, beryloutcome.Unknown, "", 502, 2},
		{"refusals without running after a run that may have gone through", safe, map[string]script{"a": {err: broken}, "b": {status: 503, notRun: true}, "c": {status: 429, notRun: true}}, beryloutcome.Unknown, "", 502, 3},
		{"timeouts and refusals of safe requests are passed on", safe, map[string]script{"a": {status: 503, body: "no"}}, beryloutcome.Answered, "no", 503, 1},
		{"refusals of resumable streams are passed on", resumable, map[string]script{"a": {status: 429, body: "no"}}, beryloutcome.Answered, "no", 429, 1},
		{"safe request runs again", safe, map[string]script{"a": {err: broken}, "b": {status: 201, body: "made"}}, beryloutcome.Answered, "made", 201, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.route.Name, tt.route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
				broker, client, sink := &fakeBroker{grants: []string{"a", "b", "c"}}, &fakeClient{scripts: tt.scripts}, &fakeSink{}
				r := Relay{Permits: broker, Upstreams: newRegistry("a", "b", "c"), Client: client, Log: discardLogger()}
				result := r.Do(t.Context(), &Request{ID: "q", Route: &tt.route, Deadline: time.Now().Add(5 * time.Second)}, sink)
				is.Equal(result.Kind, tt.kind)
				is.Equal(sink.body.String(), tt.body)
				is.Equal(len(client.calls), tt.calls)
				if result.Refusal != nil {
					is.Equal(result.Refusal.Status, tt.status)
				} else {
					is.Equal(sink.status, tt.status)
				}
				is.Equal(len(broker.released), tt.calls) // each permit is released
			})
		})
	}
}

func TestResumeRequestsRemainingEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
		client := &fakeClient{scripts: map[string]script{"a": {body: events(1, 7), end: io.ErrUnexpectedEOF}, "b": {body: events(8, 9)}}}
		sink := &fakeSink{}
		r := Relay{Permits: &fakeBroker{grants: []string{"a", "b"}}, Upstreams: newRegistry("a", "b"), Client: client, Log: discardLogger()}
		r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Second)}, sink)
		is.Equal(client.calls[0].Resume, false)
		is.Equal(client.calls[1].Resume, true)
		is.Equal(client.calls[1].ResumeAfter, int64(7))
		is.Equal(sink.header[0].Value, "a") // the header is from a, which began the answer; b sends only the rest of the body
	})
}

// TestLeavingUpstreamIsNotCalled covers an owner that is cut off from the store and still grants permits for an
// upstream that has begun to leave. The host that gets the permit knows that the upstream is leaving and must not call
// it.
func TestLeavingUpstreamIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Streaming, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
		registry := newRegistry("a", "b")
		registry.Put(berylroute.Upstream{ID: "a", Service: "svc", Address: "10.0.0.1:1", Slots: 2, Leaving: true})
		client := &fakeClient{scripts: map[string]script{"a": {body: events(1, 1)}, "b": {body: events(1, 2)}}}
		r := Relay{Permits: &fakeBroker{grants: []string{"a", "b"}}, Upstreams: registry, Client: client, Log: discardLogger()}
		result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Second)}, &fakeSink{})
		is.Equal(result.Kind, beryloutcome.Answered)
		is.Equal(len(client.calls), 1)
		is.Equal(client.calls[0].Upstream.ID, "b")
	})
}

func TestCallerThatLeavesEndsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Streaming, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
		broker := &fakeBroker{grants: []string{"a"}}
		r := Relay{Permits: broker, Upstreams: newRegistry("a"), Client: &fakeClient{scripts: map[string]script{"a": {body: events(1, 1), hang: true}}}, Log: discardLogger()}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		result := r.Do(ctx, &Request{ID: "q", Route: &route, Deadline: time.Now().Add(5 * time.Second)}, &fakeSink{})
		is.Equal(result.Kind, beryloutcome.Cancelled)
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.Equal(broker.reports[0].Fault, false) // the upstream is not at fault
	})
}

// TestAnswerAtTheTimeout checks that a request gets its final answer at its deadline, not only when its caller gives
// up.
func TestAnswerAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Streaming, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
		r := Relay{Permits: &fakeBroker{grants: []string{"a"}}, Upstreams: newRegistry("a"), Client: &fakeClient{scripts: map[string]script{"a": {hang: true}}}, Log: discardLogger()}
		began := time.Now()
		result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(800 * time.Millisecond)}, &fakeSink{})
		is.Equal(result.Kind, beryloutcome.Unknown)
		is.Equal(result.Refusal.Status, http.StatusGatewayTimeout)
		is.Equal(time.Since(began), 800*time.Millisecond)
	})
}

// expiredContext is a context whose deadline has passed although its timer has not fired yet.
type expiredContext struct {
	context.Context
}

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestFaultsAtTheDeadline checks that a call that ends at the request's own deadline counts as a fault of the upstream
// only if the upstream was silent for too long.
func TestFaultsAtTheDeadline(t *testing.T) {
	unsent := clientFunc(func(ctx context.Context, _ *Call) (*Reply, error) {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	})
	failsAtOnce := clientFunc(func(context.Context, *Call) (*Reply, error) {
		return nil, fmt.Errorf("%w: i/o timeout", ErrUnsent)
	})
	healthy := clientFunc(func(ctx context.Context, _ *Call) (*Reply, error) {
		pieces := strings.Split(events(1, 30), "\n\n")
		reader := &slowReader{ctx: ctx, pieces: pieces[:len(pieces)-1], pause: 900 * time.Millisecond}
		return &Reply{Status: http.StatusOK, Signed: true, EventStream: true, Body: io.NopCloser(reader)}, nil
	})
	for _, tt := range []struct {
		name   string
		parent func(context.Context) context.Context
		client UpstreamClient
		left   time.Duration
		want   bool
	}{
		{"no time left to connect", nil, unsent, 5 * time.Millisecond, false},
		{"the dialer's timer fires first", func(ctx context.Context) context.Context { return expiredContext{ctx} }, failsAtOnce, time.Second, false},
		{"not connected for long", nil, unsent, 5 * time.Second, true},
		{"connection refused", nil, failsAtOnce, time.Second, true},
		{"healthy stream", nil, healthy, 5 * time.Second, false},
		{"no answer within a short remaining time", nil, &fakeClient{scripts: map[string]script{"a": {hang: true}}}, 100 * time.Millisecond, false},
		{"no answer for long", nil, &fakeClient{scripts: map[string]script{"a": {hang: true}}}, 5 * time.Second, true},
		{"silent in a stream", nil, &fakeClient{scripts: map[string]script{"a": {body: events(1, 2), hang: true}}}, 5 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				route := berylroute.Route{
					Kind: berylroute.Streaming, EventGapTarget: 500 * time.Millisecond, Shares: []berylroute.Share{{Service: "svc", Weight: 1}},
				}
				ctx := t.Context()
				if tt.parent != nil {
					ctx = tt.parent(ctx)
				}
				broker := &fakeBroker{grants: []string{"a"}}
				r := Relay{Permits: broker, Upstreams: newRegistry("a"), Client: tt.client, Log: discardLogger()}
				r.Do(ctx, &Request{ID: "q", Route: &route, Deadline: time.Now().Add(tt.left)}, &fakeSink{})
				is.Equal(broker.reports[0].Fault, tt.want)
			})
		})
	}
}

// TestRefusalsAreReported checks that a call that was refused without being run is reported as such. If the address
// belongs to another upstream by now, that counts as a fault of the intended upstream.
func TestRefusalsAreReported(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reply Reply
		want  berylpermit.Report
	}{
		{"full", Reply{Status: http.StatusServiceUnavailable, NotRun: true}, berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true}},
		{"misdirected", Reply{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true}, berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true, Fault: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				route := berylroute.Route{Kind: berylroute.Streaming, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
				broker := &fakeBroker{grants: []string{"a"}}
				client := clientFunc(func(context.Context, *Call) (*Reply, error) {
					reply := tt.reply
					reply.Body = io.NopCloser(strings.NewReader(""))
					return &reply, nil
				})
				r := Relay{Permits: broker, Upstreams: newRegistry("a"), Client: client, Log: discardLogger()}
				r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Second)}, &fakeSink{})
				is.Equal(broker.reports[0], tt.want)
			})
		})
	}
}
