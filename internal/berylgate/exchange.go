package berylgate

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// idBase writes the numbers in request ids short.
	idBase = 36

	// codeOK is the metrics' code of an answered request.
	codeOK = "ok"
	// codeCallerGone is the metrics' code of a request whose caller went away.
	codeCallerGone = "caller-gone"
)

// exchange is one request of a caller and what its answer has come to.
type exchange struct {
	gate    *Gate
	id      string
	started time.Time
	route   string
	class   string
	index   *configIndex
	caller  *berylconf.Caller
	// body holds what the request body takes of the gate's budget; nil means nothing.
	body *bodyReader
	// release gives back the place on this host and the caller's limits; nil means none were taken.
	release func()
	// detached marks an answer that goes on after the handler has returned.
	detached  bool
	firstByte atomic.Int64
}

type exchangeKey struct{}

// exchangeOf returns the request's exchange.
func exchangeOf(c fiber.Ctx) *exchange {
	x, _ := c.Locals(exchangeKey{}).(*exchange)
	return x
}

// handleExchange is the outermost handler: it names the request, counts it and turns errors into answers.
func (g *Gate) handleExchange(c fiber.Ctx) error {
	x := &exchange{gate: g, id: g.nextID(), started: time.Now(), route: "other", class: "online"}
	c.Locals(exchangeKey{}, x)
	g.setIDs(c.RequestCtx(), x.id)
	if g.stopping.Load() {
		c.RequestCtx().Response.SetConnectionClose()
	}
	code := x.run(c)
	if !x.detached {
		x.end(code)
	}
	return nil
}

// run runs the handlers and returns the metrics' code.
func (x *exchange) run(c fiber.Ctx) (code string) {
	defer func() {
		if v := recover(); v != nil {
			code = x.handlePanic(c, v)
		}
	}()
	err := c.Next()
	if err == nil {
		return codeOK
	}
	refusal := refusalForError(err)
	writeRefusal(c.RequestCtx(), refusal)
	return string(refusal.Code)
}

// handlePanic answers a request whose handler broke an invariant; the caller sees nothing of the cause.
func (x *exchange) handlePanic(c fiber.Ctx, cause any) string {
	x.gate.metrics.panics.Inc()
	x.gate.config.Log.WithField("request", x.id).Errorf("gate: handler failed: %v\n%s", cause, debug.Stack())
	refusal := internalError()
	writeRefusal(c.RequestCtx(), refusal)
	c.RequestCtx().Response.SetConnectionClose()
	return string(refusal.Code)
}

// internalError refuses a request whose fate an internal fault has hidden.
func internalError() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusInternalServerError,
		Code:    beryloutcome.CodeUnknown,
		Message: "An internal fault ended the request; it may have run. Send it again only if it may run twice.",
	}
}

// end counts the request when its answer is over, and gives back what it held.
func (x *exchange) end(code string) {
	if x.body != nil {
		x.body.release()
	}
	if x.release != nil {
		x.release()
	}
	x.gate.metrics.count(x, code)
}

// refusalForError returns the answer for an error of a handler or of the router.
func refusalForError(err error) *beryloutcome.Refusal {
	var refusal *beryloutcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var routing *fiber.Error
	if !errors.As(err, &routing) {
		return internalError()
	}
	switch routing.Code {
	case http.StatusNotFound:
		return &beryloutcome.Refusal{
			Status:  routing.Code,
			Code:    beryloutcome.CodeNotFound,
			Message: "There is no such path; see the paths under /v1 and /services/NAME.",
		}
	case http.StatusMethodNotAllowed:
		return &beryloutcome.Refusal{
			Status:  routing.Code,
			Code:    beryloutcome.CodeBadRequest,
			Message: "The path does not take this method; the Allow header names those that it takes.",
			Param:   "method",
		}
	default:
		return &beryloutcome.Refusal{
			Status:  routing.Code,
			Code:    beryloutcome.CodeBadRequest,
			Message: fmt.Sprintf("The request can't be served: %s.", routing.Message),
		}
	}
}

// protocolError answers what never became a request.
func (g *Gate) protocolError(ctx *fasthttp.RequestCtx, err error) {
	g.setIDs(ctx, g.nextID())
	writeRefusal(ctx, protocolRefusal(err))
	ctx.Response.SetConnectionClose()
}

func protocolRefusal(err error) *beryloutcome.Refusal {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return &beryloutcome.Refusal{
			Status:  http.StatusRequestHeaderFieldsTooLarge,
			Code:    beryloutcome.CodeTooLarge,
			Message: fmt.Sprintf("The headers are over the limit of %d bytes together; send shorter ones.", maxHeaderBytes),
			Param:   "headers",
		}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return unreadable(err)
	}
	return badRequest("", "The request is not valid HTTP/1.1.")
}

// nextID returns a request id that is unique in the fleet.
func (g *Gate) nextID() string {
	boot := strconv.FormatUint(g.config.Boot, idBase)
	return g.config.Host + "-" + boot + "-" + strconv.FormatUint(g.sequence.Add(1), idBase)
}

// setIDs answers with the caller's own request id, if it sent one, and with ours.
func (g *Gate) setIDs(ctx *fasthttp.RequestCtx, id string) {
	echo := callerRequestID(&ctx.Request.Header)
	if echo == "" {
		echo = id
	}
	ctx.Response.Header.Set(headerRequestID, echo)
	ctx.Response.Header.Set(headerFleetRequestID, id)
}
