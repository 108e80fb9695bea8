package berylrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylroute"
)

// pacedClient answers with a body that repeats the same bytes, one part after each pause, until the call ends.
type pacedClient struct {
	status int
	start  string
	repeat string
	pause  time.Duration
	// parts is how many times the bytes are repeated before the body ends cleanly; zero means that it never ends.
	parts int
	read  int
}

func (c *pacedClient) Call(ctx context.Context, _ *Call) (*Reply, error) {
	reader := io.MultiReader(strings.NewReader(c.start), &pacedBody{ctx: ctx, client: c})
	return &Reply{Status: c.status, Signed: true, EventStream: c.status == http.StatusOK && strings.Contains(c.start, "id:"), Body: io.NopCloser(reader)}, nil
}

type pacedBody struct {
	ctx    context.Context
	client *pacedClient
}

func (b *pacedBody) Read(p []byte) (int, error) {
	c := b.client
	if c.parts > 0 && c.read >= c.parts*len(c.repeat) {
		return 0, io.EOF
	}
	timer := time.NewTimer(c.pause)
	defer timer.Stop()
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-timer.C:
	}
	n := copy(p, c.repeat)
	if c.parts > 0 {
		n = min(n, c.parts*len(c.repeat)-c.read)
	}
	c.read += n
	return n, nil
}

// lengthSink records the announced length of the answer.
type lengthSink struct {
	fakeSink
	length int
}

func (s *lengthSink) Start(status int, header []HeaderField, length int) error {
	s.length = length
	return s.fakeSink.Start(status, header, length)
}

// relayPaced relays a request to the only upstream that grants a permit; another one is known.
func relayPaced(t *testing.T, route berylroute.Route, client *pacedClient, span time.Duration) (beryloutcome.Result, *lengthSink, time.Duration) {
	t.Helper()
	route.Name, route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
	r := Relay{Permits: &fakeBroker{grants: []string{"a"}}, Upstreams: newRegistry("a", "b"), Client: client, Log: discardLogger()}
	sink, began := &lengthSink{}, time.Now()
	result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: began.Add(span)}, sink)
	return result, sink, time.Since(began)
}

func TestAnswerWithoutEndIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &pacedClient{status: http.StatusNotFound, repeat: strings.Repeat("x", 16<<10), pause: time.Microsecond}
		result, sink, _ := relayPaced(t, berylroute.Route{Kind: berylroute.Safe}, client, time.Minute)
		is.Equal(result.Kind, beryloutcome.Unknown) // the answer is cut off at maxAnswerBytes, so it is not complete
		is.Equal(sink.length, -1)
		is.True(client.read <= maxAnswerBytes+passBufferBytes)
	})
}

func TestLongAnswerIsPassedOnAsItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &pacedClient{status: http.StatusCreated, repeat: strings.Repeat("y", 1<<10), pause: time.Millisecond, parts: 600}
		result, sink, _ := relayPaced(t, berylroute.Route{Kind: berylroute.Safe}, client, time.Minute)
		is.Equal(result.Kind, beryloutcome.Answered)
		is.Equal(sink.length, -1)
		is.True(bytes.Equal(sink.body.Bytes(), bytes.Repeat([]byte("y"), 600<<10)))
	})
}

func TestOnlyProgressKeepsAStreamAlive(t *testing.T) {
	resumable := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond}
	once := berylroute.Route{Kind: berylroute.Streaming, EventGapTarget: 500 * time.Millisecond}
	for _, tt := range []struct {
		name   string
		route  berylroute.Route
		repeat string
		pause  time.Duration
		ended  time.Duration
	}{
		{"comments", resumable, ": still here\n\n", 300 * time.Millisecond, time.Second},
		{"an event that has come before", resumable, "id: 1\ndata: w\n\n", 300 * time.Millisecond, time.Second},
		{"single bytes", resumable, "x", 300 * time.Millisecond, time.Second},
		{"comments where nothing may be repeated", once, ": still here\n\n", 300 * time.Millisecond, 5 * time.Second},
		{"one event without an end", once, "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 100 * time.Nanosecond, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &pacedClient{status: http.StatusOK, start: "id: 1\ndata: w\n\n", repeat: tt.repeat, pause: tt.pause}
				result, _, took := relayPaced(t, tt.route, client, 5*time.Second)
				is.Equal(result.Kind, beryloutcome.Unknown)
				is.True(took <= tt.ended)
			})
		})
	}
}

// TestSlowStreamIsNotCut checks that a slow stream whose events arrive within the stall timeout is not cut off.
func TestSlowStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		route := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond}
		pieces := strings.Split(events(2, 30), "\n\n")
		reader := &slowReader{pieces: pieces[:len(pieces)-1], pause: 900 * time.Millisecond}
		client := clientFunc(func(ctx context.Context, _ *Call) (*Reply, error) {
			reader.ctx = ctx
			return &Reply{Status: http.StatusOK, Signed: true, EventStream: true, Body: io.NopCloser(io.MultiReader(strings.NewReader(events(1, 1)), reader))}, nil
		})
		route.Name, route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
		r := Relay{Permits: &fakeBroker{grants: []string{"a"}}, Upstreams: newRegistry("a"), Client: client, Log: discardLogger()}
		sink := &fakeSink{}
		result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Minute)}, sink)
		is.Equal(result.Kind, beryloutcome.Answered)
		is.Equal(sink.body.String(), events(1, 30))
	})
}

type clientFunc func(ctx context.Context, call *Call) (*Reply, error)

func (f clientFunc) Call(ctx context.Context, call *Call) (*Reply, error) { return f(ctx, call) }

// slowReader returns one event after each pause.
type slowReader struct {
	ctx    context.Context
	pieces []string
	pause  time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
		return 0, context.Cause(r.ctx)
	case <-timer.C:
	}
	n := copy(p, r.pieces[0]+"\n\n")
	r.pieces = r.pieces[1:]
	return n, nil
}

// Without memory to hold an answer, it is passed on as it arrives, and a long event fails the call without blame for its upstream.
func TestAnswersWithoutMemoryToHoldThem(t *testing.T) {
	is := is.New(t)
	budget := &berylresponse.Budget{Limit: 1}
	relay := func(route berylroute.Route, reply *Reply) (beryloutcome.Result, *lengthSink, []berylpermit.Report) {
		broker := &fakeBroker{grants: []string{"a"}}
		route.Name, route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
		client := clientFunc(func(context.Context, *Call) (*Reply, error) { return reply, nil })
		r := Relay{Permits: broker, Upstreams: newRegistry("a"), Client: client, Memory: budget, Log: discardLogger()}
		sink := &lengthSink{}
		result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Minute)}, sink)
		return result, sink, broker.reports
	}
	text := strings.Repeat("y", 100<<10)
	result, sink, _ := relay(berylroute.Route{Kind: berylroute.Safe}, &Reply{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader(text))})
	is.Equal(result.Kind, beryloutcome.Answered)
	is.Equal(sink.length, -1)
	is.Equal(sink.body.String(), text)

	event := "id: 1\ndata: " + text + "\n\n"
	result, sink, reports := relay(berylroute.Route{Kind: berylroute.Streaming}, &Reply{Status: http.StatusOK, Signed: true, EventStream: true, Body: io.NopCloser(strings.NewReader(event))})
	is.Equal(result.Kind, beryloutcome.Unknown)
	is.Equal(sink.body.Len(), 0)
	is.Equal(len(reports), 1)
	is.True(!reports[0].Fault)
	is.Equal(budget.Held(), int64(0))
}
