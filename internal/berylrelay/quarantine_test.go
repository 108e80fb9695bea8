package berylrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylroute"
)

// badPath is the path of a request that crashes upstreams whatever its prompt parts.
const badPath = "/bad"

// quarantineTest relays prompts to upstreams that crash on the part "bad".
type quarantineTest struct {
	*is.I
	relay  Relay
	route  berylroute.Route
	client *crashingClient
}

// crashingClient answers all prompts but those with the part "bad": their calls break off after as many events as
// eventsBefore.
type crashingClient struct {
	calls        int
	eventsBefore int
}

func (c *crashingClient) Call(_ context.Context, call *Call) (*Reply, error) {
	c.calls++
	s := script{body: events(1, 3)}
	if len(call.Body) > 0 { // the tests send a body only with the part
		time.Sleep(10 * time.Millisecond)
		s = script{body: events(1, c.eventsBefore), end: io.ErrUnexpectedEOF}
	}
	client := fakeClient{scripts: map[string]script{call.Upstream.ID: s}}
	return client.Call(context.Background(), call)
}

func newQuarantineTest(t *testing.T, route berylroute.Route) *quarantineTest {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	route.Name, route.Shares = "r", []berylroute.Share{{Service: "svc", Weight: 1}}
	s := &quarantineTest{I: is.New(t), route: route, client: &crashingClient{}}
	s.relay = Relay{Upstreams: newRegistry(ids...), Client: s.client, Log: discardLogger()}
	s.relay.Quarantine = berylquarantine.New(berylquarantine.Config{
		Host: "h", Store: &berylfake.MemoryStore{}, Rank: func(string) int { return 0 }, Log: discardLogger(),
		HasCrashed: func(context.Context, berylroute.Upstream) bool { return true },
	})
	return s
}

// send sends a request of its own to an upstream of its own and waits until the quarantine has looked at it.
func (s *quarantineTest) send(ctx context.Context, n int, parts ...string) (beryloutcome.Result, *fakeSink) {
	return s.sendTo(ctx, n, fmt.Sprint("/", n), parts...)
}

// sendTo is send with the path of the request, which is the same request if it comes again with the same path.
func (s *quarantineTest) sendTo(ctx context.Context, n int, path string, parts ...string) (beryloutcome.Result, *fakeSink) {
	request := &Request{ID: fmt.Sprint("q", n), Route: &s.route, Path: path, Deadline: time.Now().Add(5 * time.Second), PromptParts: parts}
	if len(parts) > 0 && parts[len(parts)-1] == "bad" || path == badPath {
		request.Body = []byte("bad")
	}
	s.relay.Permits = &fakeBroker{grants: []string{fmt.Sprint("u", n), fmt.Sprint("u", n+1), fmt.Sprint("u", n+2)}}
	sink := &fakeSink{}
	result := s.relay.Do(ctx, request, sink)
	time.Sleep(100 * time.Millisecond)
	return result, sink
}

// Guards against a prompt part that crashes upstreams being sent to one after the other.
func TestPromptThatCrashesUpstreamsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming})
		for i := range 3 {
			result, _ := s.send(t.Context(), i, "first", "bad")
			s.Equal(result.Refusal.Status, http.StatusBadGateway) // it may have run
			for k := range 3 {
				_, sink := s.send(t.Context(), 10+k, "first", "good")
				s.Equal(sink.status, http.StatusOK)
			}
		}
		calls := s.client.calls
		result, _ := s.send(t.Context(), 3, "first", "bad")
		s.Equal(s.client.calls, calls)
		s.Equal(result.Kind, beryloutcome.NotRun)
		s.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
		s.True(result.Refusal.RetryAfter > 25*time.Second)
		_, sink := s.send(t.Context(), 4, "first", "good")
		s.Equal(sink.body.String(), events(1, 3))
	})
}

// Guards against streams that break off after their first event counting against their prompts.
func TestStreamsCutMidwayAccuseNoPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming})
		s.client.eventsBefore = 1
		for i := range 6 {
			s.send(t.Context(), i, "first", "bad")
			s.send(t.Context(), 10+i, "first", "good")
		}
		s.Equal(s.client.calls, 12)
		s.Equal(len(s.relay.Quarantine.Status()), 0)
	})
}

// Guards against a request that crashes upstreams being sent to one after the other because it comes again under a new ID, with
// other prompt parts or none, or crashes them only after the first events of its answer.
func TestRequestThatComesAgainIsRefused(t *testing.T) {
	for eventsBefore := range soundEvents {
		t.Run(fmt.Sprintf("after event %d", eventsBefore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming})
				s.client.eventsBefore = eventsBefore
				for i := range 3 {
					s.sendTo(t.Context(), i, badPath, fmt.Sprint("part", i))
					s.send(t.Context(), 10+i, fmt.Sprint("part", i))
				}
				calls := s.client.calls
				result, _ := s.sendTo(t.Context(), 3, badPath)
				s.Equal(s.client.calls, calls)
				s.Equal(result.Kind, beryloutcome.NotRun)
				s.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
				_, sink := s.send(t.Context(), 4, "part1")
				s.Equal(sink.body.String(), events(1, 3))
			})
		})
	}
}

// Guards against a sound request being refused because its streams were cut, after soundEvents events, by crashes of others.
func TestStreamsThatWentOnDoNotAccuseTheirRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming})
		s.client.eventsBefore = soundEvents
		for i := range 6 {
			s.sendTo(t.Context(), i, badPath)
		}
		s.Equal(s.client.calls, 6)
		s.Equal(len(s.relay.Quarantine.Status()), 0)
	})
}

// Guards against a request that may be repeated crashing further upstreams after the verdict on its part.
func TestRepeatsStopAtTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2})
		for i := range 4 {
			s.send(t.Context(), 3*i, "first", "bad")
			for k := range 3 {
				s.send(t.Context(), 15+k, "first", "good")
			}
		}
		s.Equal(s.client.calls, 4+12) // two sends each of two requests with the part, and none of the others
		s.Equal(s.relay.Quarantine.Status()[0].Parts, []string{"bad"})
	})
}

// Guards against a verdict that is passed while a request waits for its permit being missed.
func TestVerdictDuringTheWaitForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuarantineTest(t, berylroute.Route{Kind: berylroute.Streaming})
		permits := &slowBroker{granted: make(chan struct{})}
		waiting := s.relay
		waiting.Permits = permits
		ended := make(chan beryloutcome.Result)
		go func() {
			ended <- waiting.Do(t.Context(), &Request{ID: "w", Route: &s.route, Deadline: time.Now().Add(time.Minute), PromptParts: []string{"bad"}, Body: []byte("bad")}, &fakeSink{})
		}()
		for i := range 3 {
			s.send(t.Context(), i, "bad")
			for k := range 3 {
				s.send(t.Context(), 10+k, "good")
			}
		}
		calls := s.client.calls
		close(permits.granted)
		result := <-ended
		s.Equal(result.Kind, beryloutcome.NotRun)
		s.Equal(s.client.calls, calls)
	})
}

// slowBroker grants a permit for u9 once granted is closed.
type slowBroker struct {
	fakeBroker
	granted chan struct{}
}

func (b *slowBroker) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	<-b.granted
	b.grants = []string{"u9"}
	return b.fakeBroker.Acquire(ctx, request)
}
