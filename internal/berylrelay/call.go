package berylrelay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string
	Value string
}

// Call is one request to one upstream.
type Call struct {
	// Upstream is the replica to call. No other replica may answer in its place.
	Upstream berylroute.Upstream
	// ID is the request's ID as its caller sent it.
	ID string
	// Method, Path and Host are those of the caller's request.
	Method, Path, Host string
	// Header holds the header fields to pass on.
	Header []HeaderField
	// Body is the complete request body.
	Body []byte
	// Account is the name of the client account for which the upstream runs the request, or empty.
	Account string
	// HasAccounts says that the deployment has client accounts: what the caller sent to name its account or to prove its identity
	// is not passed on.
	HasAccounts bool
	// Timeout is how long the upstream may work on the request; zero means no limit.
	Timeout time.Duration
	// Resume asks the upstream to continue a stream after the event ResumeAfter.
	Resume bool
	// ResumeAfter is the number of the last event that was received.
	ResumeAfter int64
	// Last says that no other upstream may run the request after this call, so that silence does not end it.
	Last bool
}

// Reply is an upstream's answer. Its body must be closed.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds the header fields to pass on.
	Header []HeaderField
	// NotRun says that the upstream has not run the request and will not run it.
	NotRun bool
	// Misdirected says, in addition to NotRun, that the address now belongs to another upstream.
	Misdirected bool
	// Signed says that the answer carries the upstream's signature.
	Signed bool
	// CarriedBy is the host that carried the connection, or empty if it was this host's own.
	CarriedBy string
	// Statement is what the answer says about the upstream.
	Statement berylpermit.Statement
	// EventStream says that the body is a stream of events.
	EventStream bool
	// Body is the answer's body. It ends with io.EOF only if it is complete.
	Body io.ReadCloser
}

// UpstreamClient calls upstreams. An error that does not wrap ErrUnsent means that the upstream may have run the
// request.
type UpstreamClient interface {
	// Call sends a request and returns the head of its answer. It aborts the call when ctx ends.
	Call(ctx context.Context, call *Call) (*Reply, error)
}

// ErrUnsent marks the error of a call of which nothing can have reached the upstream.
var ErrUnsent = errors.New("nothing was sent")
