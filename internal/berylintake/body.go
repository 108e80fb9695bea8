package berylintake

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// firstBodyBuffer is the first buffer for a body that is longer or has no announced length, in bytes. It doubles as the body
	// grows, so that an announced length alone holds nothing.
	firstBodyBuffer = 16 << 10
	// prefetchedBody is the length up to which fasthttp has read an announced body before it calls the handler, in bytes.
	prefetchedBody = 8 << 10
)

// ReadBody reads a request's body into memory that is reserved before it is read: the body's capacity, which Finish, Close or Release
// returns. A negative length means that none was announced. If the body is refused or did not arrive whole, ReadBody returns a cause
// and nothing stays reserved.
func (c *Conn) ReadBody(stream io.Reader, length, limit int) ([]byte, Cause) {
	if length > limit {
		return nil, BodyTooLarge
	}
	body, cause := c.readBody(stream, length, limit)
	if cause != None {
		c.Release(Bodies, int64(cap(body)))
		return nil, cause
	}
	return body, None
}

// readBody returns the buffer for which memory is reserved, and a cause if the body is not whole.
func (c *Conn) readBody(stream io.Reader, length, limit int) ([]byte, Cause) {
	size := min(firstBodyBuffer, limit+1)
	if length >= 0 {
		size = min(length, firstBodyBuffer)
	}
	if length < 0 || length > prefetchedBody {
		c.Enter(ReadingBody)
	}
	var body []byte
	for {
		if !c.Reserve(Bodies, int64(size)) {
			return body, c.causeOr(NoRoom)
		}
		old := cap(body)
		body = append(make([]byte, 0, size), body...)
		if old > 0 {
			c.Release(Bodies, int64(old))
		}
		for len(body) < size {
			n, err := stream.Read(body[len(body):size])
			body = body[:len(body)+n]
			if err == io.EOF {
				if len(body) < length {
					return body, c.causeOr(Malformed)
				}
				return c.whole(body, limit)
			}
			if err != nil {
				return body, c.readCause(err)
			}
		}
		if length >= 0 && len(body) == length || len(body) > limit {
			return c.whole(body, limit)
		}
		size = min(2*size, limit+1)
		if length >= 0 {
			size = min(size, length)
		}
	}
}

func (c *Conn) whole(body []byte, limit int) ([]byte, Cause) {
	if len(body) > limit {
		return body, BodyTooLarge
	}
	return body, c.Cause()
}

func (c *Conn) readCause(err error) Cause {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return c.causeOr(TooSlow)
	}
	return c.causeOr(Malformed)
}

// causeOr returns why the connection is being closed, or else the given cause.
func (c *Conn) causeOr(cause Cause) Cause {
	if aborted := c.Cause(); aborted != None {
		return aborted
	}
	return cause
}
