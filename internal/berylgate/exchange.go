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
	"berylroad.example/berylroad/internal/berylintake"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// idBase is the base of the numbers in request ids; 36 keeps the ids short.
	idBase = 36

	// codeOK is the code in the metrics of an answered request.
	codeOK = "ok"
	// codeCallerGone is the code in the metrics of a request whose caller closed the connection.
	codeCallerGone = "caller-gone"
)

// exchange is the state of one request and its answer.
type exchange struct {
	gate    *Gate
	id      string
	started time.Time
	// route and class are labels of the metrics.
	route string
	class string
	// index is the configuration that was in force when the request was authenticated.
	index  *configIndex
	caller *berylconf.Caller
	// conn is the caller's connection, and bodyBytes what the exchange holds of the gate's body budget; zero if no body was read.
	conn      *berylintake.Conn
	bodyBytes int64
	// release undoes admit; nil if the request was not admitted.
	release func()
	// detached is set if the answer is streamed after the handler has returned.
	detached bool
	// firstByte is the time from started to the first byte of the answer, in nanoseconds; zero if there was none.
	firstByte atomic.Int64
}

type exchangeKey struct{}

// exchangeOf returns the request's exchange.
func exchangeOf(c fiber.Ctx) *exchange {
	x, _ := c.Locals(exchangeKey{}).(*exchange)
	return x
}

// handleExchange is the outermost handler. It assigns the request id, counts the request in the metrics and turns errors
// of the other handlers into answers.
func (g *Gate) handleExchange(c fiber.Ctx) error {
	x := &exchange{gate: g, id: g.nextID(), started: time.Now(), route: "other", class: "online", conn: c.RequestCtx().Conn().(*berylintake.Conn)}
	x.conn.Enter(berylintake.Running)
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

// run runs the other handlers and returns the code for the metrics.
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

// handlePanic logs a panic of a handler and answers the request with an internal error that does not show the cause.
func (x *exchange) handlePanic(c fiber.Ctx, cause any) string {
	x.gate.metrics.panics.Inc()
	x.gate.config.Log.WithField("request", x.id).Errorf("gate: handler failed: %v\n%s", cause, debug.Stack())
	refusal := internalError()
	writeRefusal(c.RequestCtx(), refusal)
	c.RequestCtx().Response.SetConnectionClose()
	return string(refusal.Code)
}

// internalError returns the refusal of a request that failed by an internal error, so that it may or may not have run.
func internalError() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusInternalServerError,
		Code:    beryloutcome.CodeUnknown,
		Message: "An internal fault ended the request; it may have run. Send it again only if it may run twice.",
	}
}

// end releases the exchange's resources and counts the request, once the answer has ended.
func (x *exchange) end(code string) {
	if x.bodyBytes > 0 {
		x.conn.Release(berylintake.Bodies, x.bodyBytes)
		x.conn.Done()
	}
	if x.release != nil {
		x.release()
	}
	x.gate.metrics.count(x, code)
}

// refusalForError returns the refusal for an error of a handler or of the router.
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

// protocolError answers input that could not be parsed as an HTTP request, and closes the connection.
func (g *Gate) protocolError(ctx *fasthttp.RequestCtx, err error) {
	g.setIDs(ctx, g.nextID())
	if conn, ok := ctx.Conn().(*berylintake.Conn); ok && conn.Cause() != berylintake.None {
		writeRefusal(ctx, refusalForCause(conn.Cause(), 0))
	} else {
		writeRefusal(ctx, protocolRefusal(err))
	}
	ctx.Response.SetConnectionClose()
}

func protocolRefusal(err error) *beryloutcome.Refusal {
	var bufferErr *fasthttp.ErrSmallBuffer
	if errors.As(err, &bufferErr) {
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

// setIDs sets the two response headers with request ids: headerFleetRequestID to id, which the gate assigned, and
// headerRequestID to the id that the caller sent, or to the gate's if the caller sent none or an invalid one.
func (g *Gate) setIDs(ctx *fasthttp.RequestCtx, id string) {
	echo := callerRequestID(&ctx.Request.Header)
	if echo == "" {
		echo = id
	}
	ctx.Response.Header.Set(headerRequestID, echo)
	ctx.Response.Header.Set(headerFleetRequestID, id)
}
