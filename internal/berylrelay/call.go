package berylrelay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylroute"
)

// HeaderField is one header field.
type HeaderField struct {
	Name  string
	Value string
}

// Call is one request to one upstream.
type Call struct {
	// Upstream is called, and no other replica may answer in its place.
	Upstream berylroute.Upstream
	// ID is the request's, as its caller sent it.
	ID string
	// Method, Path and Host are those of the request.
	Method, Path, Host string
	// Header holds the fields to pass on.
	Header []HeaderField
	// Body is the whole body.
	Body []byte
	// Timeout is the time after which the upstream is to stop; zero is no bound.
	Timeout time.Duration
	// Resume asks the upstream to go on after the event ResumeAfter.
	Resume bool
	// ResumeAfter is the number of the last event that has arrived.
	ResumeAfter int64
}

// Reply is an upstream's answer; its body must be closed.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds the fields to pass on.
	Header []HeaderField
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// Misdirected says, beside that, that another upstream is at the address by now.
	Misdirected bool
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// EventStream says that the body is a stream of events.
	EventStream bool
	// Body is the body; it ends with io.EOF only when it is whole.
	Body io.ReadCloser
}

// UpstreamClient makes calls. An error without ErrUnsent says that the upstream may have run the request.
type UpstreamClient interface {
	// Call sends a request and returns the head of its answer; when ctx ends the call is broken off.
	Call(ctx context.Context, call *Call) (*Reply, error)
}

// ErrUnsent marks the error of a call of which nothing can have reached the upstream.
var ErrUnsent = errors.New("nothing was sent")
