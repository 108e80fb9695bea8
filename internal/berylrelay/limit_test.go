package berylrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
)

// fakeLimits counts what is admitted, given back and charged.
type fakeLimits struct {
	refusal                    *beryloutcome.Refusal
	unlimited                  bool
	admitted, refunds, charges int
}

func (l *fakeLimits) Admit(context.Context, *berylaccount.Account) (Admission, *beryloutcome.Refusal) {
	if l.refusal != nil {
		return nil, l.refusal
	}
	l.admitted++
	if l.unlimited {
		return nil, nil
	}
	return l, nil
}

func (l *fakeLimits) Refund() { l.refunds++ }
func (l *fakeLimits) Charge() { l.charges++ }

// Guards against runs that the limit of the account does not count, and against requests that did not run and use it up.
func TestRequestsCountAgainstTheLimit(t *testing.T) {
	broken := errors.New("connection reset")
	full := script{status: 503, notRun: true}
	for _, tt := range []struct {
		name             string
		scripts          map[string]script
		grants           []string
		refunds, charges int
	}{
		{"answered", map[string]script{"a": {body: events(1, 3)}}, []string{"a"}, 0, 0},
		{"refused unrun, then answered", map[string]script{"a": full, "b": {body: events(1, 2)}}, []string{"a", "b"}, 0, 0},
		{"refused unrun everywhere", map[string]script{"a": full, "b": {err: fmt.Errorf("%w: refused", ErrUnsent)}}, []string{"a", "b"}, 1, 0},
		{"no permit", nil, nil, 1, 0},
		{"resumed elsewhere", map[string]script{"a": {body: events(1, 2), end: broken}, "b": {body: events(3, 4)}}, []string{"a", "b"}, 0, 1},
		{"resumed after a refusal", map[string]script{"a": {body: events(1, 2), end: broken}, "b": full, "c": {body: events(3, 4)}}, []string{"a", "b", "c"}, 0, 1},
		{"broken twice", map[string]script{"a": {err: broken}, "b": {err: broken}}, []string{"a", "b"}, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				route := berylroute.Route{Kind: berylroute.Streaming, Resumable: true, MaxAttempts: 2, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
				for _, unlimited := range []bool{false, true} {
					limits := &fakeLimits{unlimited: unlimited}
					r := Relay{Permits: &fakeBroker{grants: tt.grants}, Upstreams: newRegistry("a", "b", "c"), Client: &fakeClient{scripts: tt.scripts}, Log: discardLogger(), Limits: limits}
					request := &Request{ID: "q", Route: &route, Deadline: time.Now().Add(5 * time.Second), Account: &berylaccount.Account{Name: "kaje80"}}
					r.Do(t.Context(), request, &fakeSink{})
					is.Equal(limits.admitted, 1)
					if !unlimited {
						is.Equal(limits.refunds, tt.refunds)
						is.Equal(limits.charges, tt.charges)
					}
					request.Account = nil // nothing is asked for a request without an account
					r.Do(t.Context(), request, &fakeSink{})
					is.Equal(limits.admitted, 1)
				}
			})
		})
	}
}

// Guards against a request over the limit that takes a permit, reaches an upstream or gets another time than the owner's.
func TestRequestOverTheLimit(t *testing.T) {
	is := is.New(t)
	route := berylroute.Route{Kind: berylroute.Streaming, Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
	broker, client := &fakeBroker{grants: []string{"a"}}, &fakeClient{}
	limits := &fakeLimits{refusal: &beryloutcome.Refusal{Status: http.StatusTooManyRequests, RetryAfter: 30 * time.Millisecond}}
	r := Relay{Permits: broker, Upstreams: newRegistry("a"), Client: client, Log: discardLogger(), Limits: limits}
	result := r.Do(t.Context(), &Request{ID: "q", Route: &route, Deadline: time.Now().Add(time.Second), Account: &berylaccount.Account{Name: "kaje80"}}, &fakeSink{})
	is.Equal(result.Kind, beryloutcome.NotRun)
	is.Equal(result.Refusal, limits.refusal)
	is.Equal(len(broker.requests)+len(client.calls), 0)
}
