package berylgate

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylintake"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// bodyProgressTime is the time within which an arriving body must grow by bodyProgress bytes or end.
	bodyProgressTime = 5 * time.Second
	bodyProgress     = 256
	// closingGrace is how long a connection that has begun to send is not closed for others.
	closingGrace = 500 * time.Millisecond
)

func newIntake(config Config) *berylintake.Intake {
	return berylintake.New(berylintake.Rules{
		Bytes: config.BodyBudget, HeadTime: config.ReadTimeout, ProgressTime: bodyProgressTime, ProgressBytes: bodyProgress, GraceTime: closingGrace,
	}, config.Log, config.Metrics)
}

// connChanged tells the intake of a connection whose answer has been written.
func connChanged(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*berylintake.Conn); ok && state == fasthttp.StateIdle {
		c.Enter(berylintake.Idle)
		c.Release(berylintake.Heads, math.MaxInt64) // exchanges release their bodies themselves
	}
}

// readBody returns a copy of the request body that stays valid after the handler returns, or a refusal if the body is
// longer than limit bytes. The copy counts against Config.BodyBudget until the exchange ends.
func (x *exchange) readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, *beryloutcome.Refusal) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, cause := x.conn.ReadBody(stream, ctx.Request.Header.ContentLength(), limit)
	x.conn.Enter(berylintake.Running)
	if cause != berylintake.None {
		x.gate.intake.Refuse(cause)
		if x.conn.Cause() != berylintake.None {
			ctx.SetConnectionClose()
		}
		return nil, refusalForCause(cause, limit)
	}
	if x.bodyBytes = int64(cap(body)); x.bodyBytes > 0 {
		x.conn.Retain()
	}
	return body, nil
}

// refusalForCause returns the refusal of a request that did not arrive.
func refusalForCause(cause berylintake.Cause, limit int) *beryloutcome.Refusal {
	switch cause {
	case berylintake.BodyTooLarge:
		return tooLarge(limit)
	case berylintake.TooSlow:
		return unreadable(os.ErrDeadlineExceeded)
	case berylintake.Malformed:
		return unreadable(nil)
	default:
		return notRun("This host holds too many request bodies and has not run this one; send it again.")
	}
}

func tooLarge(limit int) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusRequestEntityTooLarge,
		Code:    beryloutcome.CodeTooLarge,
		Message: fmt.Sprintf("The body is over the limit of %d bytes; send a shorter one.", limit),
		Param:   "body",
	}
}

// unreadable returns the refusal of a request that arrived too slowly, was truncated or has invalid HTTP framing.
func unreadable(err error) *beryloutcome.Refusal {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &beryloutcome.Refusal{
			Status:     http.StatusRequestTimeout,
			Code:       beryloutcome.CodeNotRun,
			Message:    "The request did not arrive in time and was not run; send it again without pauses.",
			RetryAfter: minRetryAfter,
		}
	}
	return badRequest("body", "The body could not be read to its end; send it whole, with a right Content-Length or chunking.")
}
