package beryletcd

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

const (
	// maxAnswerBytes is the size of the largest answer that is accepted from the service.
	maxAnswerBytes = 8 << 20
	// maxConns is the maximum number of connections to one endpoint, not counting watches.
	maxConns = 64
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 10 * time.Second
)

// errBusy is the error of a call that found no free connection before its deadline.
var errBusy = errors.New("all connections to the platform are in use")

// errAnswerTooLarge is the error for an answer of more than maxAnswerBytes.
var errAnswerTooLarge = errors.New("platform answer too large")

// endpoint is one base URL of the service.
type endpoint struct {
	base    string
	host    string
	address string
	useTLS  bool
	http    *fasthttp.HostClient
	log     logrus.FieldLogger
	// slots holds one entry per call in flight. Calls wait here and not for a connection, so that a call that times out
	// while waiting was certainly not sent.
	slots   chan struct{}
	mu      sync.Mutex
	breaker breaker
}

// dialError is a failure to connect, or a reused connection that the peer has closed before the request; the request was
// certainly not sent.
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

// newEndpoint parses the base URL and returns its endpoint.
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
		host:    u.Hostname(),
		address: fasthttp.AddMissingPort(u.Host, u.Scheme == "https"),
		useTLS:  u.Scheme == "https",
		log:     config.Log,
		slots:   make(chan struct{}, maxConns),
	}
	config.Metrics.GetOrCreateGauge(fmt.Sprintf(`berylroad_platform_endpoint_up{endpoint=%q}`, e.base), e.up)
	e.http = e.client(config, e.dialer(config, func(c net.Conn) net.Conn { return &checkedConn{Conn: c} }))
	return e, nil
}

// client returns an HTTP client that never retries a request.
func (e *endpoint) client(config Config, dial fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     e.address,
		IsTLS:                    e.useTLS,
		DialTimeout:              dial,
		MaxConns:                 maxConns,
		MaxIdleConnDuration:      idleConnTimeout,
		MaxResponseBodySize:      maxAnswerBytes,
		WriteTimeout:             config.Timeout,
		NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// acquireSlot waits for a free connection slot and reports false when there is none before the deadline.
func (e *endpoint) acquireSlot(deadline time.Time) bool {
	wait := time.Until(deadline)
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case e.slots <- struct{}{}:
		if time.Until(deadline) > 0 {
			return true
		}
		e.freeSlot()
		return false
	case <-timer.C:
		return false
	}
}

// freeSlot frees a slot taken by acquireSlot.
func (e *endpoint) freeSlot() {
	<-e.slots
}

// allow reports whether the endpoint's breaker permits a call.
func (e *endpoint) allow(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breaker.allow(now)
}

// recordSuccess records in the breaker that the endpoint answered.
func (e *endpoint) recordSuccess() {
	e.mu.Lock()
	changed := e.breaker.recordSuccess()
	e.mu.Unlock()
	if changed {
		e.log.WithField("endpoint", e.base).Info("platform endpoint answers again")
	}
}

// recordFailure records in the breaker that the endpoint did not answer.
func (e *endpoint) recordFailure(now time.Time, jitter float64, cause error) {
	e.mu.Lock()
	changed := e.breaker.recordFailure(now, jitter)
	e.mu.Unlock()
	if changed {
		e.log.WithField("endpoint", e.base).WithError(cause).Warn("platform endpoint does not answer")
	}
}

// up returns 1 while calls are sent to the endpoint, and 0 while its breaker is open.
func (e *endpoint) up() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.breaker.open() {
		return 0
	}
	return 1
}

// cancelCall tells the breaker that a call which allow permitted has ended without showing whether the endpoint works,
// so that another call may probe it.
func (e *endpoint) cancelCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.probing = false
}
