package berylrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// Guards against requests that a host sends to an upstream although an answer that it has passed on, or a refusal that it has
// not, said that the upstream leaves.
func TestNothingIsSentOnceAnAnswerSaysLeaving(t *testing.T) {
	for _, tt := range []struct {
		name   string
		first  script // what a answers
		status int    // of the second answer
		others []string
		want   string // the upstream that gets the second request
	}{
		{"an answer that is passed on", script{body: events(1, 2), leaving: true}, 200, []string{"b"}, "b"},
		{"a refusal that is not passed on", script{status: 503, notRun: true, leaving: true}, 200, []string{"b", "c"}, "b"},
		{"no other upstream", script{body: events(1, 2), leaving: true}, 503, nil, ""},
		{"an answer that does not say so", script{body: events(1, 2)}, 200, []string{"b"}, "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				grants := append([]string{"a"}, tt.others...)
				scripts := map[string]script{"a": tt.first, "b": {body: events(1, 2)}, "c": {body: events(1, 2)}}
				client, registry := &fakeClient{scripts: scripts}, newRegistry(grants...)
				sink := &fakeSink{}
				broker := &fakeBroker{grants: grants, onStatement: func(s berylpermit.Statement) {
					if s.Leaving {
						is.Equal(sink.status, 0) // known before the answer is passed on
						registry.MarkLeaving(time.Now(), "a", s.Run, true)
					}
				}}
				r := Relay{Permits: broker, Upstreams: registry, Client: client, Log: discardLogger()}
				route := berylroute.Route{Name: "r", Kind: berylroute.Streaming, MaxAttempts: 2, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
				r.Do(t.Context(), &Request{ID: "q1", Route: &route, Deadline: time.Now().Add(time.Second)}, sink)
				before := len(client.calls)
				sink = &fakeSink{}
				began := time.Now()
				result := r.Do(t.Context(), &Request{ID: "q2", Route: &route, Deadline: time.Now().Add(time.Second)}, sink)
				if tt.want == "" {
					is.Equal(result.Kind, beryloutcome.NotRun)
					is.Equal(time.Since(began), time.Duration(0)) // refused at once
					is.Equal(len(client.calls), before)
					return
				}
				is.Equal(sink.status, tt.status)
				is.Equal(client.calls[before].Upstream.ID, tt.want)
			})
		})
	}
}
