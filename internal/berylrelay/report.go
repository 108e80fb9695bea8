package berylrelay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// measure counts how the request ended. Its labels are bounded: upstreams, which come and go, are told by their failure
// domain, which is empty where the request reached none.
func (x *exchange) measure(result beryloutcome.Result) {
	if x.Metrics == nil {
		return
	}
	domain := ""
	if u, known := x.Upstreams.Get(x.upstream); known {
		domain = u.FailureDomain
	}
	labels := fmt.Sprintf("kind=%q,failure_domain=%q", x.request.Route.Kind, domain)
	x.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_relay_requests_total{%s,outcome=%q}", labels, result.Kind)).Inc()
	x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_permit_wait_seconds{kind=%q}", x.request.Route.Kind)).Update(x.waited.Seconds())
	x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_request_seconds{%s}", labels)).Update(time.Since(x.began).Seconds())
	if x.first > 0 {
		x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_first_event_seconds{%s}", labels)).Update(x.first.Seconds())
	}
	if x.sends > 1 {
		x.Metrics.GetOrCreateCounter("berylroad_relay_further_sends_total").Add(x.sends - 1)
	}
}

// report logs how the request ended and what decided it.
func (x *exchange) report(result beryloutcome.Result) {
	x.measure(result)
	fields := logrus.Fields{
		"request":   x.request.ID,
		"route":     x.request.Route.Name,
		"outcome":   result.Kind.String(),
		"upstream":  x.upstream,
		"sends":     x.sends,
		"ran":       x.ran,
		"waited-ms": x.waited.Milliseconds(),
		"first-ms":  x.first.Milliseconds(),
		"total-ms":  time.Since(x.began).Milliseconds(),
	}
	if x.seen {
		fields["last-event"] = x.last
	}
	if result.Refusal != nil {
		fields["status"] = result.Refusal.Status
		fields["retry-after-ms"] = result.Refusal.RetryAfter.Milliseconds()
	}
	if x.cause != nil {
		fields["cause"] = x.cause.Error()
	}
	x.Log.WithFields(fields).Info("request: ended")
}
