package berylrelay

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// Guards against requests that are queued under another account or priority than their own, also when they are resumed elsewhere, and
// against deployments without accounts that are scheduled differently than before.
func TestPermitsAndCallsNameTheAccount(t *testing.T) {
	route := berylroute.Route{
		Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 500 * time.Millisecond, Priority: 3,
		Shares: []berylroute.Share{{Service: "svc", Weight: 1}},
	}
	acme := &berylaccount.Account{Name: "acme", Priority: 0}
	for _, tt := range []struct {
		name    string
		request Request
		want    berylpermit.Request
		call    Call
	}{
		{"without accounts", Request{PromptTokens: 9}, berylpermit.Request{}, Call{}},
		{"an account", Request{HasAccounts: true, Account: acme, PromptTokens: 9}, berylpermit.Request{Account: "acme", PromptTokens: 9}, Call{HasAccounts: true, Account: "acme"}},
		{"no key on a public route", Request{HasAccounts: true, PromptTokens: 9}, berylpermit.Request{Priority: 3, PromptTokens: 9}, Call{HasAccounts: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				broker := &fakeBroker{grants: []string{"a", "b"}}
				client := &fakeClient{scripts: map[string]script{"a": {body: events(1, 2), end: errors.New("reset")}, "b": {body: events(3, 4)}}}
				r := Relay{Permits: broker, Upstreams: newRegistry("a", "b"), Client: client, Log: discardLogger()}
				request := tt.request
				request.ID, request.Route, request.Deadline = "q", &route, time.Now().Add(5*time.Second)
				is.Equal(r.Do(t.Context(), &request, &fakeSink{}).Kind, beryloutcome.Answered)
				is.Equal(len(broker.requests), 2)
				for i, got := range broker.requests {
					is.Equal(berylpermit.Request{Account: got.Account, Priority: got.Priority, PromptTokens: got.PromptTokens}, tt.want)
					is.Equal(client.calls[i].Account, tt.call.Account)
					is.Equal(client.calls[i].HasAccounts, tt.call.HasAccounts)
				}
			})
		})
	}
}
