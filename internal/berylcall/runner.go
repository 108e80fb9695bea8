package berylcall

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// defaultStall is how long a stream may pause between two events.
	defaultStall = 10 * time.Second
	// extraLimit is the most extra calls that a budget saves up.
	extraLimit = 10
	// retryFloor is the retries a second that are allowed however few calls are made.
	retryFloor = 1.0
)

// Runner makes calls to upstreams. Permits and URL must be set; other zero fields mean their defaults.
type Runner struct {
	// Permits gives the right to call an upstream.
	Permits berylpermit.Broker
	// URL returns where an upstream answers, whether it resumes streams, and false for an unknown one.
	URL func(upstream string) (url string, resume bool, ok bool)
	// Rules returns the rules in force.
	Rules func() berylconf.Rules
	// Metrics takes the runner's metrics.
	Metrics *metrics.Set
	// TLS is used for https URLs.
	TLS *tls.Config
	// Prefer returns the upstreams to try first for a request, best first.
	Prefer func(Request) []string
	// Stall is the longest pause between two events of a stream; zero is 10 s.
	Stall time.Duration

	pool      pool
	latencies latencies
	hedges    budget
	retries   budget
}

// Do carries one request to its end; the sink's calls come from this goroutine.
func (r *Runner) Do(ctx context.Context, req Request, sink Sink) beryloutcome.Result {
	c := newCall(r, &req, sink)
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	result := c.run(ctx)
	c.group.Wait()
	r.countCall(&req, &result)
	return result
}

// Close closes the idle connections.
func (r *Runner) Close() {
	r.pool.close()
}

func (r *Runner) rules() berylconf.Rules {
	if r.Rules == nil {
		return berylconf.Rules{}.WithDefaults()
	}
	return r.Rules().WithDefaults()
}

func (r *Runner) stall() time.Duration {
	if r.Stall > 0 {
		return r.Stall
	}
	return defaultStall
}
