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

// initialBodyBuffer is the size, in bytes, of the first buffer for a body without Content-Length.
const initialBodyBuffer = 4 << 10

// readBody returns a copy of the request body that stays valid after the handler returns, or a refusal if the body is
// longer than limit bytes. The copy counts against Config.BodyBudget until the exchange ends.
func (x *exchange) readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, *beryloutcome.Refusal) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	r := &bodyReader{gate: x.gate, declared: ctx.Request.Header.ContentLength(), limit: limit}
	x.body = r
	if r.declared > limit {
		return nil, tooLarge(limit)
	}
	return r.read(stream)
}

// bodyReader reads one request body within its limit and the gate's body budget.
type bodyReader struct {
	gate *Gate
	// declared is the Content-Length; it is negative if there is none.
	declared int
	// limit is the largest body to accept, in bytes.
	limit int
	// reserved is this body's share of the gate's body budget, in bytes.
	reserved int64
}

// read reads the body. A body without Content-Length is read into a buffer that doubles in size up to the limit.
func (r *bodyReader) read(stream io.Reader) ([]byte, *beryloutcome.Refusal) {
	size := min(initialBodyBuffer, r.limit+1)
	if r.declared >= 0 {
		size = r.declared
	}
	var body []byte
	for {
		if !r.reserve(size) {
			return nil, notRun("This host holds too many request bodies and has not run this one; send it again.")
		}
		body = append(make([]byte, 0, size), body...)
		n, err := readFull(stream, body[len(body):size])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return r.finishAtEOF(body)
		case err != nil:
			return nil, unreadable(err)
		case r.declared >= 0:
			return body, nil
		case size > r.limit:
			return nil, tooLarge(r.limit)
		}
		size = min(2*size, r.limit+1)
	}
}

// readFull reads until the buffer is full or the stream fails, and returns the stream's error unchanged. io.ReadFull would
// turn the io.EOF of a clean end after some bytes into io.ErrUnexpectedEOF, as for a truncated body.
func readFull(stream io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := stream.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// finishAtEOF returns the body at the end of the stream, or a refusal if Content-Length declared a longer one.
func (r *bodyReader) finishAtEOF(body []byte) ([]byte, *beryloutcome.Refusal) {
	if r.declared > len(body) {
		return nil, unreadable(io.ErrUnexpectedEOF)
	}
	return body, nil
}

// reserve raises this body's share of the gate's body budget to size bytes. If the budget does not allow that, it changes
// nothing and returns false.
func (r *bodyReader) reserve(size int) bool {
	more := int64(size) - r.reserved
	if r.gate.bodyBytes.Add(more) > r.gate.config.BodyBudget {
		r.gate.bodyBytes.Add(-more)
		return false
	}
	r.reserved += more
	return true
}

// release returns this body's share to the gate's body budget.
func (r *bodyReader) release() {
	r.gate.bodyBytes.Add(-r.reserved)
	r.reserved = 0
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
