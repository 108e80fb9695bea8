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
	// maxAnswerBytes is the largest answer that is read from the service.
	maxAnswerBytes = 8 << 20
	// maxConns is the most connections to one endpoint, watches apart.
	maxConns = 64
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 10 * time.Second
)

// errBusy says that all connections to an endpoint were in use for as long as the call could wait.
var errBusy = errors.New("all connections to the platform are in use")

// errAnswerTooLarge says that an answer was over maxAnswerBytes.
var errAnswerTooLarge = errors.New("platform answer too large")

// endpoint is one base URL of the service.
type endpoint struct {
	base    string
	host    string
	address string
	useTLS  bool
	http    *fasthttp.HostClient
	log     logrus.FieldLogger
	// slots holds one entry for each call under way; waiting here rather than for a connection keeps it certain that a
	// call which waited in vain was not sent.
	slots   chan struct{}
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

// client returns an HTTP client that never sends a request twice.
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

// acquireSlot waits until the deadline for a free connection.
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

// freeSlot ends an acquire.
func (e *endpoint) freeSlot() {
	<-e.slots
}

// allow reports whether the endpoint's breaker lets a call go out.
func (e *endpoint) allow(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breaker.allow(now)
}

// recordSuccess tells the breaker that the endpoint answered.
func (e *endpoint) recordSuccess() {
	e.mu.Lock()
	changed := e.breaker.recordSuccess()
	e.mu.Unlock()
	if changed {
		e.log.WithField("endpoint", e.base).Info("platform endpoint answers again")
	}
}

// recordFailure tells the breaker that the endpoint did not answer.
func (e *endpoint) recordFailure(now time.Time, jitter float64, cause error) {
	e.mu.Lock()
	changed := e.breaker.recordFailure(now, jitter)
	e.mu.Unlock()
	if changed {
		e.log.WithField("endpoint", e.base).WithError(cause).Warn("platform endpoint does not answer")
	}
}

// up is 1 while calls go to the endpoint, and 0 while its breaker is open.
func (e *endpoint) up() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.breaker.open() {
		return 0
	}
	return 1
}

// cancelCall takes back an allowed call that was not made.
func (e *endpoint) cancelCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.probing = false
}
