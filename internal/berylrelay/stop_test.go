package berylrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// delayedBroker grants permits after a delay.
type delayedBroker struct {
	fakeBroker
	delay time.Duration
}

func (b *delayedBroker) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	select {
	case <-time.After(b.delay):
		return b.fakeBroker.Acquire(ctx, request)
	case <-ctx.Done():
		return nil, &beryloutcome.Refusal{}
	}
}

// Guards against requests that are sent to an upstream so late in a planned stop that they are cut: those that wait for a permit when
// the notice comes, and those that are tried again.
func TestRequestsThatStartLateInAStop(t *testing.T) {
	once := berylroute.Route{Name: "r", Kind: berylroute.Streaming, MaxAttempts: 2}
	resumable := berylroute.Route{Name: "r", Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2}
	for _, tt := range []struct {
		name     string
		route    berylroute.Route
		scripts  map[string]script
		wait     time.Duration // for each permit
		deadline time.Duration
		kind     beryloutcome.Kind
		calls    int
		within   time.Duration
	}{
		{"granted within the notice", once, map[string]script{"a": {body: events(1, 2)}}, 2 * time.Second, 20 * time.Second, beryloutcome.Answered, 1, 2 * time.Second},
		{"waits beyond the notice", once, map[string]script{"a": {body: events(1, 2)}}, 5 * time.Second, 20 * time.Second, beryloutcome.NotRun, 0, 3100 * time.Millisecond},
		{"waits beyond the notice, ends before the host", once, map[string]script{"a": {body: events(1, 2)}}, 5 * time.Second, 6 * time.Second, beryloutcome.Answered, 1, 5 * time.Second},
		{"refused unrun, tried again", once, map[string]script{"a": {status: 503, notRun: true}, "b": {body: events(1, 2)}}, 2 * time.Second, 20 * time.Second, beryloutcome.NotRun, 1, 3100 * time.Millisecond},
		{"may have run, goes on", resumable, map[string]script{"a": {body: events(1, 2), end: context.Canceled}, "b": {body: events(3, 4)}}, 2 * time.Second, 20 * time.Second, beryloutcome.Answered, 2, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				broker := &delayedBroker{fakeBroker: fakeBroker{grants: []string{"a", "b"}}, delay: tt.wait}
				client := &fakeClient{scripts: tt.scripts}
				var stop beryldrain.Stop
				relay := Relay{Permits: broker, Upstreams: newRegistry("a", "b"), Client: client, Stop: &stop, Log: discardLogger()}
				began := time.Now()
				go func() {
					time.Sleep(time.Millisecond)
					stop.Begin(began.Add(3*time.Second), began.Add(6800*time.Millisecond))
				}()
				request := &Request{ID: "q", Route: &tt.route, Deadline: began.Add(tt.deadline)}
				request.Route.Shares = []berylroute.Share{{Service: "svc", Weight: 1}}
				result := relay.Do(t.Context(), request, &fakeSink{})
				is.Equal(result.Kind, tt.kind)
				is.Equal(len(client.calls), tt.calls)
				is.True(time.Since(began) <= tt.within+50*time.Millisecond)
				if tt.kind == beryloutcome.NotRun {
					is.Equal(result.Refusal.Status, 503)
				}
			})
		})
	}
}
