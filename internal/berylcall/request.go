package berylcall

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Request is one request to be carried to upstreams on behalf of a caller.
type Request struct {
	// ID is unique across all hosts. Upstreams receive it as X-Request-Id.
	ID string
	// Target is the name of the model or plain service.
	Target string
	// Method is the HTTP method.
	Method string
	// Path is the path and query on the upstream, such as "/v1/chat/completions".
	Path string
	// ContentType is the content type of the body, or empty.
	ContentType string
	// Body is the request body. Do does not change it, and the caller must not reuse it until Do returns.
	Body []byte
	// Stream marks a request whose answer is a stream of server-sent events.
	Stream bool
	// Repeatable marks a request that may run more than once.
	Repeatable bool
	// Confirm is called, with a permit held, right before each attempt of a request that is not repeatable. A refusal
	// ends the request without running it. Nil means that no confirmation is needed.
	Confirm func(ctx context.Context) *beryloutcome.Refusal
	// Class is the priority class, online or batch.
	Class berylpermit.Class
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Tokens is the estimated answer length in tokens.
	Tokens int
	// ContinueFrom counts the events that the sink has from an earlier call that yielded. It requires a sink that is
	// a Restarter.
	ContinueFrom int
	// ContinueVersion is the Version in the result of that call.
	ContinueVersion string
	// PrefixHash is the hash of the prompt's first blocks, or zero for no affinity.
	PrefixHash uint64
}

// Sink receives an answer as it arrives. Its methods are called from one goroutine, and an error from one of them
// cancels the call.
type Sink interface {
	// Start is called once, before any Write, with the upstream's status and content type.
	Start(status int, contentType string) error
	// Write receives the next bytes of the body or, of a stream, one complete event. It must not retain them.
	Write(body []byte) error
}

// Restarter is a Sink that can discard a partial answer.
type Restarter interface {
	// Restart is called before the answer begins again from its first byte. Start is called again after it.
	Restart() error
}

// Keeper is a Sink that may keep the whole answer in memory.
type Keeper interface {
	// KeepsAnswer reports whether it does.
	KeepsAnswer() bool
}
