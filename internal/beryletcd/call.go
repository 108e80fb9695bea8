package beryletcd

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// delivery is what is certain about one request to the gateway.
type delivery uint8

const (
	// deliveryUnsent means that no byte of the request left this process.
	deliveryUnsent delivery = iota
	// deliveryRejected means that the service answered that it did nothing.
	deliveryRejected
	// deliveryUnknown means that the request may have been carried out.
	deliveryUnknown
	// deliveryAnswered means that the whole answer arrived.
	deliveryAnswered
)

// isRead reports whether a call changes nothing, so that it may be sent again elsewhere.
func (n callName) isRead() bool {
	return n == callGet || n == callList
}

// call sends in to an endpoint and decodes the answer into out. A request that was not sent is tried at the next
// endpoint, a read also when its answer was lost.
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
		f, err := c.callAt(ctx, e, path, body, out)
		if f == deliveryAnswered || f == deliveryRejected {
			c.preferred.CompareAndSwap(first, int64(index))
			return f, err
		}
		if f == deliveryUnknown && !name.isRead() || errors.Is(err, errAnswerTooLarge) || ctx.Err() != nil {
			return f, err
		}
		last, lastDelivery = err, f
	}
	return lastDelivery, last
}

// takeBudget takes one call from the budget; a lease's renewal is not held up, but the calls after it are.
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

// callAt sends one request to one endpoint; it passes over used connections that the peer has closed,
// and does not hold a context that ended early against the endpoint.
func (c *Client) callAt(ctx context.Context, e *endpoint, path string, body []byte, out wireAnswer) (delivery, error) {
	deadline := c.deadline(ctx)
	if !e.acquireSlot(deadline) {
		e.cancelCall()
		return deliveryUnsent, errBusy
	}
	defer e.freeSlot()
	c.counters.sent.Inc()
	f, err := c.roundTrip(e, path, body, out, deadline)
	for tries := 0; tries < maxConns && errors.Is(err, net.ErrClosed); tries++ {
		f, err = c.roundTrip(e, path, body, out, deadline)
	}
	switch {
	case f == deliveryAnswered || f == deliveryRejected || errors.Is(err, errAnswerTooLarge):
		e.recordSuccess()
	case ctx.Err() != nil:
		e.cancelCall()
	default:
		e.recordFailure(time.Now(), c.jitter(), err)
	}
	return f, err
}

// roundTrip makes one HTTP request and judges its answer.
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
		return deliveryUnknown, errors.Wrapf(err, "platform %s%s answered garbage", e.base, path)
	}
	if !out.complete() {
		return deliveryUnknown, errors.Newf("platform %s%s answered with fields missing", e.base, path)
	}
	return deliveryAnswered, nil
}

// deadline is the earlier of the context's deadline and the call's timeout.
func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

// deliveryOfError judges a request that ended without an HTTP answer; only where certainly nothing was written it is unsent.
func deliveryOfError(err error) delivery {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return deliveryUnsent
	}
	return deliveryUnknown
}

// deliveryOfStatus judges an HTTP error answer: the gateway's 4xx answers mean that the service did nothing, but for a request
// timeout, and its 5xx answers leave that open.
func deliveryOfStatus(status int) delivery {
	if status >= 400 && status < 500 && status != fasthttp.StatusRequestTimeout && status != statusClientClosed {
		return deliveryRejected
	}
	return deliveryUnknown
}

const (
	// statusClientClosed is how the gateway reports a cancelled call.
	statusClientClosed = 499
	// codeNotFound is the gateway's error code of a lease that is not there.
	codeNotFound = 5
	// maxMessageBytes is how much of an error message is kept.
	maxMessageBytes = 200
)

// statusError turns an HTTP error answer into an error.
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
