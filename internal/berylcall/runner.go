package berylcall

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// maxSavedHedges is the most hedges that are saved up.
	maxSavedHedges = 10
	// maxSavedRetries is the most retries that are saved up, enough for the calls in flight on upstreams that go at once.
	maxSavedRetries = 100
	// minRetriesPerSecond is the retries a second that are allowed however few calls are made.
	minRetriesPerSecond = 1.0
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
	// StallTimeout is the longest pause between two events of a stream that another upstream can continue; zero learns it
	// from the streams before.
	StallTimeout time.Duration

	pool               pool
	firstByteLatencies latencyTracker
	eventGaps          latencyTracker
	hedgeBudget        budget
	retryBudget        budget
}

// Do carries one request to its end; the sink's calls come from this goroutine.
func (r *Runner) Do(ctx context.Context, req Request, sink Sink) beryloutcome.Result {
	if !isValidPath(req.Path) {
		return badPathResult()
	}
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

// isValidPath reports whether a path fits into a request line; a path from a batch file may hold anything.
func isValidPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	return !strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c == '\x7f' })
}

func badPathResult() beryloutcome.Result {
	return beryloutcome.Result{Kind: beryloutcome.NotRun, Refusal: &beryloutcome.Refusal{
		Status:  http.StatusBadRequest,
		Code:    beryloutcome.CodeBadRequest,
		Message: "the path must begin with a slash and hold no blank or control character",
		Param:   "url",
	}}
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
