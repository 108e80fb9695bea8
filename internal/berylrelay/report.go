package berylrelay

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// recordMetrics records how the request ended. To bound the number of label values, the metrics name the failure
// domain instead of the upstream, since upstreams come and go. The failure domain is empty if the request reached no
// upstream.
func (x *exchange) recordMetrics(result beryloutcome.Result) {
	if x.Metrics == nil {
		return
	}
	domain := ""
	if u, known := x.Upstreams.Get(x.upstream); known {
		domain = u.FailureDomain
	}
	labels := fmt.Sprintf("kind=%q,failure_domain=%q", x.request.Route.Kind, domain)
	x.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_relay_requests_total{%s,outcome=%q}", labels, result.Kind)).Inc()
	x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_permit_wait_seconds{kind=%q}", x.request.Route.Kind)).Update(x.permitWait.Seconds())
	x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_request_seconds{%s}", labels)).Update(time.Since(x.startedAt).Seconds())
	if x.timeToFirstEvent > 0 {
		x.Metrics.GetOrCreateHistogram(fmt.Sprintf("berylroad_relay_first_event_seconds{%s}", labels)).Update(x.timeToFirstEvent.Seconds())
	}
	if x.sends > 1 {
		x.Metrics.GetOrCreateCounter("berylroad_relay_further_sends_total").Add(x.sends - 1)
	}
}

// logResult logs how the request ended and why.
func (x *exchange) logResult(result beryloutcome.Result) {
	x.recordMetrics(result)
	fields := logrus.Fields{
		"request":   x.request.ID,
		"route":     x.request.Route.Name,
		"outcome":   result.Kind.String(),
		"upstream":  x.upstream,
		"sends":     x.sends,
		"ran":       x.possibleRuns,
		"waited-ms": x.permitWait.Milliseconds(),
		"first-ms":  x.timeToFirstEvent.Milliseconds(),
		"total-ms":  time.Since(x.startedAt).Milliseconds(),
	}
	if x.request.Account != nil {
		fields["account"] = x.request.Account.Name
	}
	if x.sends > 0 {
		fields["granted-by"], fields["version"] = x.grantedBy, x.calledUpstream.Version
	}
	if x.request.Account != nil {
		fields["account"] = x.request.Account.Name
	}
	if x.carriedBy != "" {
		fields["carried-by"] = x.carriedBy
	}
	if x.request.TakesUp {
		fields["takes-up"], fields["origin"] = x.request.FirstAttempt, string(x.originSource)
	}
	if x.sends > 1 {
		fields["tried"] = strings.Join(x.triedUpstreams, ",")
	}
	if x.statement.Limit.Limited {
		fields["limit"] = x.statement.Limit.PerSecond
	}
	if x.statement.Leaving {
		fields["leaving"] = true
	}
	if x.hasEvent {
		fields["last-event"] = x.lastEvent
	}
	if result.Refusal != nil {
		fields["status"] = result.Refusal.Status
		fields["retry-after-ms"] = result.Refusal.RetryAfter.Milliseconds()
	}
	if x.cause != nil {
		fields["cause"] = x.cause.Error()
	}
	if x.brokeUnanswered {
		fields["broke-unanswered"] = true
		fields["prompt-parts"] = strings.Join(x.request.PromptParts, ",")
	}
	if x.brokeEarly {
		fields["request-keys"] = strings.Join(x.prompt.Requests, ",")
	}
	x.Log.WithFields(fields).Info("request: ended")
}
