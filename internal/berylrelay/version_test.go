package berylrelay

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

// noPeers is a fleet of one host.
type noPeers struct{}

func (noPeers) Keepers(string, int) []string { return nil }

func (noPeers) Exchange(context.Context, string, berylversion.Message) (berylversion.Reply, error) {
	return berylversion.Reply{}, errors.New("no other host")
}

// versionTest relays streams to upstreams whose IDs begin with their version.
type versionTest struct {
	*is.I
	relay  Relay
	route  berylroute.Route
	broker *fakeBroker
	client *fakeClient
	sink   *fakeSink
}

// newVersionTest returns a relay whose broker grants the upstreams in the given order, after their versions have settled.
func newVersionTest(t *testing.T, scripts map[string]script, ids ...string) *versionTest {
	s := &versionTest{I: is.New(t), broker: &fakeBroker{grants: ids}, client: &fakeClient{scripts: scripts}, sink: &fakeSink{}}
	s.route = berylroute.Route{
		Name: "r", Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond, Timeout: 5 * time.Second,
		Shares: []berylroute.Share{{Service: "svc", Weight: 1}},
	}
	registry := &berylroute.Registry{Log: discardLogger()}
	for _, id := range ids {
		version, _, _ := strings.Cut(id, "-")
		registry.Put(berylroute.Upstream{ID: id, Service: "svc", Version: version, Address: "10.0.0.1:1", Slots: 2})
	}
	routes := &berylroute.CurrentConfig{}
	routes.Install(&berylroute.Config{Version: 1, Routes: []berylroute.Route{s.route}})
	versions := berylversion.New(berylversion.Config{
		Store: &berylfake.MemoryStore{}, Upstreams: registry, CopiedAt: time.Now, StoreAway: func() bool { return false }, Routes: routes,
		Peers: noPeers{}, Rank: func(string) int { return 0 }, Log: discardLogger(),
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); versions.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	time.Sleep(2 * time.Second)
	s.relay = Relay{Permits: s.broker, Upstreams: registry, Client: s.client, Versions: versions, Log: discardLogger()}
	return s
}

func (s *versionTest) do(t *testing.T, request Request) beryloutcome.Result {
	request.Route, request.Deadline = &s.route, time.Now().Add(5*time.Second)
	return s.relay.Do(t.Context(), &request, s.sink)
}

// called returns the IDs of the upstreams that were called.
func (s *versionTest) called() string {
	var ids []string
	for _, c := range s.client.calls {
		ids = append(ids, c.Upstream.ID)
	}
	return strings.Join(ids, " ")
}

// Guards against a stream that goes on at another software version after its upstream has broken off.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("connection reset")
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(1, 2), end: broken}, "v1-b": {body: events(3, 4)}}, "v1-a", "v2-a", "v1-b")
		result := s.do(t, Request{ID: "q"})
		s.Equal(result.Kind, beryloutcome.Answered)
		s.Equal(s.sink.body.String(), events(1, 4))
		s.Equal(s.called(), "v1-a v1-b") // although the broker has granted v2-a
		s.Equal(s.broker.requests[1].Target, berylconf.VersionTarget("svc", "v1"))
	})
}

// Guards against a stream that goes on at another software version because no other upstream of its own is left.
func TestStreamWhoseVersionHasNoOtherUpstreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("connection reset")
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(1, 2), end: broken}, "v2-a": {body: events(3, 4)}}, "v1-a", "v2-a")
		result := s.do(t, Request{ID: "q"})
		s.Equal(result.Kind, beryloutcome.Unknown)
		s.Equal(s.called(), "v1-a")
	})
}

// A stream of which nothing has been passed on may begin anew at any version.
func TestStreamWithoutEventsBeginsAnewAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("connection reset")
		s := newVersionTest(t, map[string]script{"v1-a": {end: broken}, "v2-a": {body: events(1, 4)}}, "v1-a", "v2-a")
		result := s.do(t, Request{ID: "q"})
		s.Equal(result.Kind, beryloutcome.Answered)
		s.Equal(s.called(), "v1-a v2-a")
	})
}

// Guards against a stream that a caller takes up and that goes on at another software version.
func TestTakeUpGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(3, 4)}}, "v2-a", "v1-a")
		s.relay.Versions.Record(berylversion.Origin{Service: "svc", Version: "v1"}, "first")
		result := s.do(t, Request{ID: "second", TakesUp: true, FirstAttempt: "first"})
		s.Equal(result.Kind, beryloutcome.Answered)
		s.Equal(s.called(), "v1-a")
		s.Equal(s.broker.requests[0].Target, berylconf.VersionTarget("svc", "v1"))
		s.Equal(s.broker.requests[0].MaxQueueWait, time.Duration(0)) // the caller has events already
	})
}

// Guards against the version of a stream being guessed: what is not known is refused at once, and has not run.
func TestTakeUpOfUnknownOriginIsRefused(t *testing.T) {
	for name, request := range map[string]Request{
		"unknown attempt": {ID: "q", TakesUp: true, FirstAttempt: "unknown"},
		"no attempt":      {ID: "q", TakesUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newVersionTest(t, nil, "v1-a", "v2-a")
				began := time.Now()
				result := s.do(t, request)
				s.Equal(result.Kind, beryloutcome.NotRun)
				s.Equal(result.Refusal.Status, 503)
				s.True(time.Since(began) < 100*time.Millisecond)
				s.Equal(s.called(), "")
			})
		})
	}
}

// Guards against a take-up being refused because the owner of the only upstreams of its version has just been lost.
func TestTakeUpWaitsForItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(3, 4)}}, "v1-a", "v2-a")
		s.relay.Versions.Record(berylversion.Origin{Service: "svc", Version: "v1"}, "first")
		s.broker.grants = nil
		time.AfterFunc(1500*time.Millisecond, func() { s.broker.setGrants("v1-a") })
		s.Equal(s.do(t, Request{ID: "second", TakesUp: true, FirstAttempt: "first"}).Kind, beryloutcome.Answered)
	})
}

// What is known not to be servable is refused at once: no upstream of the version is in service.
func TestTakeUpWhoseVersionHasLeftIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, nil, "v1-a", "v2-a")
		s.relay.Versions.Record(berylversion.Origin{Service: "svc", Version: "v1"}, "first")
		s.relay.Upstreams.Put(berylroute.Upstream{ID: "v1-a", Service: "svc", Version: "v1", Address: "10.0.0.1:1", Slots: 2, Leaving: true})
		s.broker.grants = nil
		began := time.Now()
		s.Equal(s.do(t, Request{ID: "second", TakesUp: true, FirstAttempt: "first"}).Kind, beryloutcome.NotRun)
		s.True(time.Since(began) < 100*time.Millisecond)
	})
}

// A take-up goes on wherever the only version in service is, whatever is known of its attempt. A chain of take-ups names
// the first attempt each time.
func TestTakeUpWithOneVersionInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(3, 4)}}, "v1-a")
		s.Equal(s.do(t, Request{ID: "q", TakesUp: true, FirstAttempt: "unknown"}).Kind, beryloutcome.Answered)
		s.relay.Upstreams.Put(berylroute.Upstream{ID: "v2-a", Service: "svc", Version: "v2", Address: "10.0.0.1:1", Slots: 2})
		time.Sleep(2 * time.Second)
		s.Equal(s.do(t, Request{ID: "q2", TakesUp: true, FirstAttempt: "unknown"}).Kind, beryloutcome.Answered)
		s.Equal(s.called(), "v1-a v1-a")
	})
}

// Guards against an origin that another caller's request gives to an attempt: only a take-up speaks for its first attempt.
func TestNewStreamSaysNothingOfOtherAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, map[string]script{"v1-a": {body: events(1, 4)}}, "v1-a", "v2-a")
		s.Equal(s.do(t, Request{ID: "q", FirstAttempt: "of another caller"}).Kind, beryloutcome.Answered)
		s.Equal(s.do(t, Request{ID: "q2", TakesUp: true, FirstAttempt: "of another caller"}).Kind, beryloutcome.NotRun)
	})
}

// A version that not all hosts can know of yet begins no streams that may be taken up, but it serves all other requests.
func TestNewVersionBeginsStreamsOnceItIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionTest(t, map[string]script{"v2-a": {body: events(1, 4)}}, "v1-a") // the only version ever would begin at once
		s.broker.grants = []string{"v2-a"}
		s.relay.Upstreams.ReplaceAll(time.Now(), time.Time{}, []berylroute.Upstream{{ID: "v2-a", Service: "svc", Version: "v2", Address: "10.0.0.1:1", Slots: 2}})
		s.Equal(s.do(t, Request{ID: "q"}).Kind, beryloutcome.NotRun)
		s.route.Resumable = false
		s.Equal(s.do(t, Request{ID: "q"}).Kind, beryloutcome.Answered)
		s.route.Resumable = true
		time.Sleep(2 * time.Second)
		s.Equal(s.do(t, Request{ID: "q"}).Kind, beryloutcome.Answered)
	})
}
