package beryletcd

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// delivery says what is certain about the delivery of one request to the service.
type delivery uint8

const (
	// deliveryUnsent means that no byte of the request was sent.
	deliveryUnsent delivery = iota
	// deliveryRejected means that the service answered that it rejected the request without effect.
	deliveryRejected
	// deliveryUnknown means that the service may have executed the request.
	deliveryUnknown
	// deliveryAnswered means that the complete answer arrived.
	deliveryAnswered
)

// isRead reports whether a call has no effect, so that it may be repeated at another endpoint.
func (n callName) isRead() bool {
	return n == callGet || n == callList
}

// call sends in to an endpoint and decodes the answer into out. It tries the next endpoint when the request was not
// sent, and for a read also when the answer was lost.
func (c *Client) call(ctx context.Context, name callName, path string, in any, out wireAnswer) (delivery, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return deliveryUnsent, err
	}
	last, lastDelivery := error(ErrBreakerOpen), deliveryUnsent
	first := c.preferred.Load()
	for i := range c.endpoints {
		index := (int(first) + i) % len(c.endpoints)
		e := c.endpoints[index]
		if !e.allow(time.Now()) {
			continue
		}
		if err := c.takeBudget(ctx, name); err != nil {
			e.cancelCall()
			return deliveryUnsent, err
		}
		sent, err := c.callAt(ctx, e, path, body, out)
		if sent == deliveryAnswered || sent == deliveryRejected {
			c.preferred.CompareAndSwap(first, int64(index))
			return sent, err
		}
		if sent == deliveryUnknown && !name.isRead() || errors.Is(err, errAnswerTooLarge) || ctx.Err() != nil {
			return sent, err
		}
		last, lastDelivery = err, sent
	}
	return lastDelivery, last
}

// takeBudget takes one call from the budget and waits for it if needed. A lease renewal does not wait, so that no lease
// expires because of the budget; it is charged to the calls after it.
func (c *Client) takeBudget(ctx context.Context, name callName) error {
	if name == callKeepAlive {
		c.budget.takeNow()
		return ctx.Err()
	}
	err := c.budget.wait(ctx, c.config.Timeout)
	if err != nil {
		c.counters.overBudget.Inc()
	}
	return err
}

// callAt sends one request to one endpoint. It retries when the peer had closed the idle connection that was used. A
// call that ended with its context does not count as a failure of the endpoint.
func (c *Client) callAt(ctx context.Context, e *endpoint, path string, body []byte, out wireAnswer) (delivery, error) {
	deadline := c.deadline(ctx)
	if !e.acquireSlot(deadline) {
		e.cancelCall()
		return deliveryUnsent, errBusy
	}
	defer e.freeSlot()
	c.counters.sent.Inc()
	sent, err := c.roundTrip(e, path, body, out, deadline)
	for tries := 0; tries < maxConns && errors.Is(err, net.ErrClosed); tries++ {
		sent, err = c.roundTrip(e, path, body, out, deadline)
	}
	switch {
	case sent == deliveryAnswered || sent == deliveryRejected || errors.Is(err, errAnswerTooLarge):
		e.recordSuccess()
	case ctx.Err() != nil:
		e.cancelCall()
	default:
		e.recordFailure(time.Now(), c.jitter(), err)
	}
	return sent, err
}

// roundTrip makes one HTTP request and classifies its outcome.
func (c *Client) roundTrip(e *endpoint, path string, body []byte, out wireAnswer, deadline time.Time) (delivery, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(e.base + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	c.counters.sentBytes.Add(len(body))
	err := e.http.DoDeadline(request, response, deadline)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return deliveryUnknown, errAnswerTooLarge
	}
	if err != nil {
		return deliveryOfError(err), errors.Wrapf(err, "platform %s%s", e.base, path)
	}
	c.counters.readBytes.Add(len(response.Body()))
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return deliveryOfStatus(status), statusError(status, response.Body())
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return deliveryUnknown, errors.Wrapf(err, "platform %s%s sent an answer that could not be decoded", e.base, path)
	}
	if !out.complete() {
		return deliveryUnknown, errors.Newf("platform %s%s answered with fields missing", e.base, path)
	}
	return deliveryAnswered, nil
}

// deadline returns the earlier of the context's deadline and the end of the call timeout.
func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

// deliveryOfError classifies a request that ended without an HTTP answer. It counts as unsent only if certainly nothing
// was written: no connection was made, none was free, or the peer had closed the reused one before the request.
func deliveryOfError(err error) delivery {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return deliveryUnsent
	}
	return deliveryUnknown
}

// deliveryOfStatus classifies an HTTP error status. The gateway's 4xx statuses mean that the service did nothing,
// except for a request timeout and a cancelled call; after a 5xx status the request may have been executed.
func deliveryOfStatus(status int) delivery {
	if status >= 400 && status < 500 && status != fasthttp.StatusRequestTimeout && status != statusClientClosed {
		return deliveryRejected
	}
	return deliveryUnknown
}

const (
	// statusClientClosed is the status by which the gateway reports a cancelled call.
	statusClientClosed = 499
	// codeNotFound is the gateway's error code for a lease that does not exist.
	codeNotFound = 5
	// maxMessageBytes is the length to which the service's error messages are cut.
	maxMessageBytes = 200
)

// statusError converts an HTTP error answer to an error.
func statusError(status int, body []byte) error {
	var refusal struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Code == codeNotFound {
		return ErrLeaseGone
	}
	message := refusal.Message
	if len(message) > maxMessageBytes {
		message = message[:maxMessageBytes]
	}
	return errors.Newf("platform answered %d: %s", status, message)
}
