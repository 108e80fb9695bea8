package berylcall

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Request is one call to be made on behalf of a caller.
type Request struct {
	// ID is unique in the fleet; upstreams get it as X-Request-Id.
	ID string
	// Target is the model or plain service.
	Target string
	// Method is the HTTP method.
	Method string
	// Path is the path and query on the upstream, such as "/v1/chat/completions".
	Path string
	// ContentType is that of the body, or empty.
	ContentType string
	// Body is the request body; it is not changed and must not be reused by the caller until Do returns.
	Body []byte
	// Stream marks a request whose answer is a stream of server-sent events.
	Stream bool
	// Repeatable marks a request that may run more than once.
	Repeatable bool
	// Confirm is asked, with a permit in hand, right before each upstream call of a request that is not repeatable; a
	// refusal ends the request unrun. Nil means that none need be asked.
	Confirm func(ctx context.Context) *beryloutcome.Refusal
	// Class is the priority class.
	Class berylpermit.Class
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Tokens is the estimated answer length in tokens.
	Tokens int
	// ContinueFrom counts the events that the sink has from an earlier call which yielded; it needs a sink that is a Restarter.
	ContinueFrom int
	// PrefixHash is the hash of the prompt's first blocks, or zero for no affinity.
	PrefixHash uint64
}

// Sink takes an answer as it arrives; its calls come from one goroutine, and an error from it cancels the call.
type Sink interface {
	// Start is called once, before any Write, with the upstream's status and content type.
	Start(status int, contentType string) error
	// Write takes the next bytes of the body, for a stream one whole event, and does not keep them.
	Write(body []byte) error
}

// Restarter is a sink that can take back what it has of an answer.
type Restarter interface {
	// Restart is called before the answer begins again from its first byte, with Start called anew.
	Restart() error
}
