package berylgate

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// firstRead is how much memory a body of undeclared length gets at first, in bytes.
const firstRead = 4 << 10

// readBody returns a copy of the request body that outlives the handler, refusing more than limit bytes.
func readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, *beryloutcome.Refusal) {
	declared := ctx.Request.Header.ContentLength()
	if declared > limit {
		return nil, tooLarge(limit)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := readBounded(stream, declared, limit)
	if err != nil {
		return nil, unreadable(err)
	}
	if len(body) > limit {
		return nil, tooLarge(limit)
	}
	if declared > 0 && len(body) < declared {
		return nil, unreadable(io.ErrUnexpectedEOF)
	}
	return body, nil
}

// readBounded reads to the end of the stream, but at most one byte over the limit.
func readBounded(stream io.Reader, declared, limit int) ([]byte, error) {
	size := firstRead
	if declared >= 0 {
		size = declared
	}
	body := make([]byte, 0, size)
	for len(body) <= limit {
		if declared >= 0 && len(body) == declared {
			return body, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

func tooLarge(limit int) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusRequestEntityTooLarge,
		Code:    beryloutcome.CodeTooLarge,
		Message: fmt.Sprintf("The body is over the limit of %d bytes; send a shorter one.", limit),
		Param:   "body",
	}
}

// unreadable refuses a body that came too slowly, was cut, or breaks HTTP's framing.
func unreadable(err error) *beryloutcome.Refusal {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &beryloutcome.Refusal{
			Status:     http.StatusRequestTimeout,
			Code:       beryloutcome.CodeNotRun,
			Message:    "The body did not arrive in time and the request was not run; send it again without pauses.",
			Param:      "body",
			RetryAfter: minRetryAfter,
		}
	}
	return badRequest("body", "The body could not be read to its end; send it whole, with a right Content-Length or chunking.")
}
