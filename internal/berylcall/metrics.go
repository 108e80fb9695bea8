package berylcall

import (
	"fmt"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

func (r *Runner) countCall(req *Request, result *beryloutcome.Result) {
	if r.Metrics == nil {
		return
	}
	name := fmt.Sprintf(`berylroad_calls_total{outcome=%q,class=%q}`, result.Kind, req.Class)
	r.Metrics.GetOrCreateCounter(name).Inc()
}

// countAttempt counts one attempt by the reason for which it ended.
func (r *Runner) countAttempt(e endReason) {
	if r.Metrics == nil {
		return
	}
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`berylroad_upstream_calls_total{end=%q}`, e)).Inc()
}

func (r *Runner) countFirstToken(class berylpermit.Class, duration time.Duration) {
	if r.Metrics == nil {
		return
	}
	name := fmt.Sprintf(`berylroad_call_first_token_seconds{class=%q}`, class)
	r.Metrics.GetOrCreateHistogram(name).Update(duration.Seconds())
}

// countStep counts a step beyond a request's first attempt: "retries", "hedges", "hedge_wins" or "resumes".
func (r *Runner) countStep(step string) {
	if r.Metrics == nil {
		return
	}
	r.Metrics.GetOrCreateCounter("berylroad_call_" + step + "_total").Inc()
}
