package berylrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

// timedPart is a part of a body that arrives after a pause.
type timedPart struct {
	pause time.Duration
	text  string
}

// timedAnswer is how an upstream answers: its head after a time, then the parts of its body. Without parts it never answers.
type timedAnswer struct {
	head   time.Duration
	status int
	notRun bool
	parts  []timedPart
	// end is the error after the last part; nil means that the body is whole.
	end error
}

// timedClient answers by upstream and records the calls.
type timedClient struct {
	answers map[string]timedAnswer
	calls   []*Call
}

func (c *timedClient) Call(ctx context.Context, call *Call) (*Reply, error) {
	c.calls = append(c.calls, call)
	a := c.answers[call.Upstream.ID]
	if a.parts == nil && !a.notRun {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if !pause(ctx, a.head) {
		return nil, context.Cause(ctx)
	}
	if a.status == 0 {
		a.status = http.StatusOK
	}
	return &Reply{Status: a.status, NotRun: a.notRun, Signed: true, EventStream: a.status == http.StatusOK, Body: &timedBody{ctx: ctx, parts: a.parts, end: a.end}}, nil
}

type timedBody struct {
	ctx   context.Context
	parts []timedPart
	end   error
	rest  strings.Reader
}

func (b *timedBody) Read(p []byte) (int, error) {
	if b.rest.Len() == 0 {
		if len(b.parts) == 0 && b.end != nil {
			return 0, b.end
		}
		if len(b.parts) == 0 {
			return 0, io.EOF
		}
		if !pause(b.ctx, b.parts[0].pause) {
			return 0, context.Cause(b.ctx)
		}
		b.rest.Reset(b.parts[0].text)
		b.parts = b.parts[1:]
	}
	return b.rest.Read(p)
}

func (b *timedBody) Close() error { return nil }

// slowSink takes a time for each part.
type slowSink struct {
	fakeSink
	pause time.Duration
}

func (s *slowSink) Write(part []byte) error {
	time.Sleep(s.pause)
	return s.fakeSink.Write(part)
}

// repeatPart returns the same part several times.
func repeatPart(n int, part timedPart) []timedPart {
	parts := make([]timedPart, n)
	for i := range parts {
		parts[i] = part
	}
	return parts
}

// TestSilenceEndsNoLastRun guards against whole answers that are cut because their upstream was silent for a while, though no other
// upstream may run the request any more.
func TestSilenceEndsNoLastRun(t *testing.T) {
	const pausing = 1500 * time.Millisecond // above the stall timeout of the routes
	resumable := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond}
	resumableOnce := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 1, EventGapTarget: 500 * time.Millisecond}
	resumableOften := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 9, EventGapTarget: 500 * time.Millisecond}
	safe := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 2}
	safeOnce := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 1}
	paused := timedAnswer{parts: []timedPart{{0, events(1, 2)}, {pausing, events(3, 4)}}}
	rest := timedAnswer{parts: []timedPart{{0, events(3, 3)}, {pausing, events(4, 4)}}}
	refused := timedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	megabyte := timedPart{500 * time.Millisecond, strings.Repeat("x", 1<<20)}
	kilobyte := timedPart{1500 * time.Millisecond, strings.Repeat("x", 1<<10)}
	for _, tt := range []struct {
		name      string
		route     berylroute.Route
		upstreams []string
		answers   map[string]timedAnswer
		slow      time.Duration // of the caller, for each part
		body      string
		calls     int
		took      time.Duration
	}{
		{"second and last run", resumable, []string{"a", "b", "c"}, map[string]timedAnswer{"a": {parts: []timedPart{{0, events(1, 2)}, {time.Hour, ""}}}, "b": rest}, 0, events(1, 4), 2, time.Second + pausing},
		{"before the head of the last run", resumable, []string{"a", "b", "c"}, map[string]timedAnswer{"b": {head: pausing, parts: paused.parts}}, 0, events(1, 4), 2, time.Second + 2*pausing},
		{"only run", resumableOnce, []string{"a", "b"}, map[string]timedAnswer{"a": paused}, 0, events(1, 4), 1, pausing},
		{"no other upstream", resumable, []string{"a"}, map[string]timedAnswer{"a": paused}, 0, events(1, 4), 1, pausing},
		{"as many upstreams tried as may be", resumableOften, []string{"a", "b", "c", "d", "e"}, map[string]timedAnswer{"a": refused, "b": refused, "c": refused, "d": paused}, 0, events(1, 4), 4, pausing},
		{"a head without an event", resumable, []string{"a", "b"}, map[string]timedAnswer{"a": {parts: []timedPart{{0, ": hello\n\n"}, {pausing, events(1, 2)}}}}, 0, ": hello\n\n" + events(1, 2), 1, pausing},
		{"a slow caller", resumable, []string{"a", "b"}, map[string]timedAnswer{"a": {parts: []timedPart{{0, events(1, 1)}, {0, events(2, 2)}}}}, pausing, events(1, 2), 1, 2 * pausing},
		{"safe request, last run", safe, []string{"a", "b", "c"}, map[string]timedAnswer{"b": {head: 4 * time.Second, status: 201, parts: []timedPart{{0, "made"}}}}, 0, "made", 2, 6 * time.Second},
		{"safe request, only run", safeOnce, []string{"a", "b"}, map[string]timedAnswer{"a": {head: 4 * time.Second, status: 201, parts: []timedPart{{0, "made"}}}}, 0, "made", 1, 4 * time.Second},
		{"long answer that takes its time", safe, []string{"a", "b"}, map[string]timedAnswer{"a": {status: 201, parts: repeatPart(10, megabyte)}}, 0, strings.Repeat(megabyte.text, 10), 1, 5 * time.Second},
		{"long answer with a pause", safe, []string{"a", "b"}, map[string]timedAnswer{"a": {status: 201, parts: []timedPart{megabyte, {5 * time.Second, "end"}}}}, 0, megabyte.text + "end", 1, 5500 * time.Millisecond},
		{"short answer that takes its time", safe, []string{"a", "b"}, map[string]timedAnswer{"a": {status: 201, parts: repeatPart(4, kilobyte)}}, 0, strings.Repeat(kilobyte.text, 4), 1, 6 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.route.Name, tt.route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
				client, sink := &timedClient{answers: tt.answers}, &slowSink{pause: tt.slow}
				r := Relay{Permits: &fakeBroker{grants: tt.upstreams}, Upstreams: newRegistry(tt.upstreams...), Client: client, Log: discardLogger()}
				began := time.Now()
				result := r.Do(t.Context(), &Request{ID: "q", Route: &tt.route, Deadline: began.Add(20 * time.Second)}, sink)
				is.Equal(result.Kind, beryloutcome.Answered)
				is.Equal(len(client.calls), tt.calls)
				is.Equal(sink.body.String(), tt.body)
				is.Equal(time.Since(began), tt.took)
				for i, call := range client.calls {
					runs := i + 1
					if tt.answers[tt.upstreams[0]].notRun {
						runs = 1
					}
					is.Equal(call.Last, runs >= tt.route.MaxAttempts || i+1 >= maxSends)
				}
			})
		})
	}
}

// TestSilenceEndsRunsThatOthersMayFollow guards against requests that stay at an upstream that has fallen silent, though others may
// run them.
func TestSilenceEndsRunsThatOthersMayFollow(t *testing.T) {
	resumable := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond}
	safe := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 2}
	whole := timedAnswer{parts: []timedPart{{0, events(1, 4)}}}
	for _, tt := range []struct {
		name  string
		route berylroute.Route
		first timedAnswer
		other timedAnswer
		// appears is when the other upstream becomes known.
		appears time.Duration
		body    string
		took    time.Duration
	}{
		{"before the head", resumable, timedAnswer{}, whole, 0, events(1, 4), time.Second},
		{"within the stream", resumable, timedAnswer{parts: []timedPart{{0, events(1, 2)}, {time.Hour, ""}}}, whole, 0, events(1, 4), time.Second},
		{"within a later pause", resumable, timedAnswer{parts: []timedPart{{0, events(1, 1)}, {900 * time.Millisecond, events(2, 2)}, {time.Hour, ""}}}, whole, 0, events(1, 4), 1900 * time.Millisecond},
		{"another upstream appears", resumable, timedAnswer{parts: []timedPart{{0, events(1, 2)}, {time.Hour, ""}}}, whole, 2500 * time.Millisecond, events(1, 4), 3 * time.Second},
		{"safe request", safe, timedAnswer{}, timedAnswer{status: 201, parts: []timedPart{{0, "made"}}}, 0, "made", 2 * time.Second},
		{"within a short body", safe, timedAnswer{status: 201, parts: []timedPart{{0, "ma"}, {time.Hour, ""}}}, timedAnswer{status: 201, parts: []timedPart{{0, "made"}}}, 0, "made", 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.route.Name, tt.route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
				client, sink := &timedClient{answers: map[string]timedAnswer{"a": tt.first, "b": tt.other}}, &fakeSink{}
				registry := newRegistry("a")
				time.AfterFunc(tt.appears, func() { registry.Put(berylroute.Upstream{ID: "b", Service: "svc", Address: "10.0.0.1:1", Slots: 2}) })
				r := Relay{Permits: &fakeBroker{grants: []string{"a", "b"}}, Upstreams: registry, Client: client, Log: discardLogger()}
				began := time.Now()
				result := r.Do(t.Context(), &Request{ID: "q", Route: &tt.route, Deadline: began.Add(20 * time.Second)}, sink)
				is.Equal(result.Kind, beryloutcome.Answered)
				is.Equal(len(client.calls), 2)
				is.Equal(sink.body.String(), tt.body)
				is.Equal(time.Since(began), tt.took)
			})
		})
	}
}

// TestSilentLastRunEndsAtTheDeadline checks that the caller of a request whose last run stays silent gets its final answer in time.
func TestSilentLastRunEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 1, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
		broker := &fakeBroker{grants: []string{"a", "b"}}
		r := Relay{Permits: broker, Upstreams: newRegistry("a", "b"), Client: &timedClient{}, Log: discardLogger()}
		began := time.Now()
		result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: began.Add(5 * time.Second)}, &fakeSink{})
		is.Equal(result.Kind, beryloutcome.Unknown)
		is.Equal(result.Refusal.Status, http.StatusGatewayTimeout)
		is.Equal(time.Since(began), 5*time.Second)
		is.True(broker.reports[0].Fault)
	})
}

// TestAnswerThatBreaksAfterAPause guards against a part of an answer that is passed on as whole when its upstream resets the
// connection after the silence that a last run may keep.
func TestAnswerThatBreaksAfterAPause(t *testing.T) {
	safe := berylroute.Route{Kind: berylroute.Safe, MaxAttempts: 1}
	resumable := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 1, EventGapTarget: 500 * time.Millisecond}
	long := strings.Repeat("x", maxBufferedBytes+1)
	for _, tt := range []struct {
		name   string
		route  berylroute.Route
		status int
		parts  []timedPart
		body   string
	}{
		{"short body", safe, 201, []timedPart{{0, "ma"}, {5 * time.Second, "d"}}, ""},
		{"long body", safe, 201, []timedPart{{0, long}, {5 * time.Second, "d"}}, long + "d"},
		{"stream", resumable, 200, []timedPart{{0, events(1, 2)}, {5 * time.Second, "id: 3\ndata: wo"}}, events(1, 2)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.route.Shares = []berylroute.Share{{Service: "svc", Weight: 1}}
				client, sink := &timedClient{answers: map[string]timedAnswer{"a": {status: tt.status, parts: tt.parts, end: errReset}}}, &lengthSink{}
				r := Relay{Permits: &fakeBroker{grants: []string{"a", "b"}}, Upstreams: newRegistry("a", "b"), Client: client, Log: discardLogger()}
				result := r.Do(t.Context(), &Request{ID: "q", Route: &tt.route, Deadline: time.Now().Add(20 * time.Second)}, sink)
				is.Equal(result.Kind, beryloutcome.Unknown)
				is.Equal(sink.body.String(), tt.body)
				is.True(sink.length <= 0) // no length is announced that the part would satisfy
			})
		})
	}
}

// TestOtherUpstreamsOfTheVersion guards against a stream that is cut because its upstream paused, though upstreams of other versions
// alone are left, which do not go on with it.
func TestOtherUpstreamsOfTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := newRegistry()
		for id, version := range map[string]string{"old-1": "1", "old-2": "1", "old-3": "1", "new-1": "2"} {
			registry.Put(berylroute.Upstream{ID: id, Service: "svc", Slots: 1, Version: version, Leaving: id == "old-3"})
		}
		route := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 3}
		x := exchange{
			Relay:   &Relay{Upstreams: registry, Versions: &berylversion.Versions{}},
			request: &Request{Route: &route}, service: "svc", triedUpstreams: []string{"old-1"},
			hasOrigin: true, origin: berylversion.Origin{Service: "svc", Version: "1"},
		}
		var timer stallTimer
		is.True(x.otherUpstreams(&timer.progressed)()) // old-2
		x.triedUpstreams = append(x.triedUpstreams, "old-2")
		is.True(!x.otherUpstreams(&timer.progressed)())
		x.hasOrigin, x.calledUpstream = false, berylroute.Upstream{ID: "old-2", Version: "1"}
		timer.progressed.Store(true) // the stream begins with the call under way
		is.True(!x.otherUpstreams(&timer.progressed)())
	})
}

var (
	errSilent = errors.New("silent for too long")
	errReset  = errors.New("connection reset")
)

// TestStallTimerThatIsStopped guards against a timer that ends a call after it was stopped, or goes on for ever.
func TestStallTimerThatIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		var asked atomic.Int64
		s := &stallTimer{timeout: time.Second, cancel: func(error) { cancel(errSilent) }, hasOther: func() bool { return asked.Add(1) > 3 }}
		s.start()
		time.Sleep(2500 * time.Millisecond)
		s.stop()
		time.Sleep(time.Minute)
		is.Equal(asked.Load(), int64(2))
		is.NoErr(ctx.Err())
		s.start()
		asked.Store(3)
		s.expire() // as if the timer had fired just before it was started anew
		is.NoErr(ctx.Err())
		asked.Store(2)
		time.Sleep(1500 * time.Millisecond)
		is.NoErr(ctx.Err())
		time.Sleep(time.Second)
		is.Equal(context.Cause(ctx), errSilent)
	})
}
