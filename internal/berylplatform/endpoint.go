package berylplatform

import (
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxAnswerBytes is the largest answer that is read from the service.
	maxAnswerBytes = 8 << 20
	// maxConns is the most connections to one endpoint, watches apart.
	maxConns = 64
	// idleConn is how long an idle connection is kept.
	idleConn = 10 * time.Second
)

// errAnswerTooLarge says that an answer was over maxAnswerBytes.
var errAnswerTooLarge = errors.New("platform answer too large")

// endpoint is one base URL of the service.
type endpoint struct {
	base    string
	address string
	secure  bool
	http    *fasthttp.HostClient
	mu      sync.Mutex
	breaker breaker
}

// dialError marks a failure to connect, after which certainly nothing was sent.
type dialError struct {
	cause error
}

// Error returns the cause.
func (e *dialError) Error() string {
	return "connect: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *dialError) Unwrap() error {
	return e.cause
}

// newEndpoint checks the base URL and returns its endpoint.
func newEndpoint(base string, config Config) (*endpoint, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrapf(err, "platform endpoint %q", base)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Newf("platform endpoint %q is not of the form http://HOST:PORT", base)
	}
	e := &endpoint{
		base:    strings.TrimSuffix(base, "/"),
		address: fasthttp.AddMissingPort(u.Host, u.Scheme == "https"),
		secure:  u.Scheme == "https",
	}
	e.http = e.client(config, dialTCP)
	return e, nil
}

// client returns an HTTP client that never sends a request twice.
func (e *endpoint) client(config Config, dial fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     e.address,
		IsTLS:                    e.secure,
		TLSConfig:                config.TLS,
		DialTimeout:              dial,
		MaxConns:                 maxConns,
		MaxConnWaitTimeout:       config.Timeout,
		MaxIdleConnDuration:      idleConn,
		MaxResponseBodySize:      maxAnswerBytes,
		WriteTimeout:             config.Timeout,
		NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// allow reports whether the endpoint's breaker lets a call go out.
func (e *endpoint) allow(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breaker.allow(now)
}

// succeed tells the breaker that the endpoint answered.
func (e *endpoint) succeed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.succeed()
}

// fail tells the breaker that the endpoint did not answer.
func (e *endpoint) fail(now time.Time, jitter float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.fail(now, jitter)
}

// release takes back an allowed call that was not made.
func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.probing = false
}
