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
	"berylroad.example/berylroad/internal/berylresponse"
)

const (
	// maxSavedHedges bounds the hedges that the budget accumulates.
	maxSavedHedges = 10
	// maxSavedRetries bounds the retries that the budget accumulates. It is enough for the calls in flight on several
	// upstreams that fail at the same time.
	maxSavedRetries = 100
	// minRetriesPerSecond is how many retries per second are allowed however few calls are made.
	minRetriesPerSecond = 1.0
)

// Runner makes calls to upstreams. Permits and URL must be set; other zero fields stand for their defaults.
type Runner struct {
	// Permits grants the permits to call upstreams.
	Permits berylpermit.Broker
	// URL returns an upstream's base URL and whether it can resume streams; ok is false for an unknown upstream.
	URL func(upstream string) (url string, resume bool, ok bool)
	// Version returns the software version of an upstream, which is empty if it states none. Nil means that none does.
	Version func(upstream string) string
	// Rules returns the current rules, whose zero fields stand for their defaults; nil means that all are defaults.
	// Each request calls it once, when it begins.
	Rules func() berylconf.Rules
	// Metrics receives the runner's metrics; nil records none.
	Metrics *metrics.Set
	// TLS is the client configuration for https URLs; nil means TLS 1.2 or later with the system's root certificates.
	TLS *tls.Config
	// Memory bounds the parts of answers that are held at once, by the runner and by sinks that are a Keeper; nil means no
	// bound.
	Memory *berylresponse.Budget
	// StallTimeout is the longest allowed pause between two events of a stream that another upstream can continue.
	// Zero derives it from the gaps between events of earlier streams.
	StallTimeout time.Duration

	pool               pool
	firstByteLatencies latencyTracker
	eventGaps          latencyTracker
	hedgeBudget        budget
	retryBudget        budget
}

// Do carries one request to its end. It calls the sink from the calling goroutine.
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
	c.sink.memory.Release()
	r.countCall(&req, &result)
	return result
}

// isValidPath reports whether a path can be written to an HTTP request line. A path from a batch file may contain
// anything.
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

func (r *Runner) version(upstream string) string {
	if r.Version == nil {
		return ""
	}
	return r.Version(upstream)
}

func (r *Runner) rules() berylconf.Rules {
	if r.Rules == nil {
		return berylconf.Rules{}.WithDefaults()
	}
	return r.Rules().WithDefaults()
}
