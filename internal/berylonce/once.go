package berylonce

import (
	"context"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// Intent describes a request that is to run under an idempotency key.
type Intent struct {
	// Caller is the name of the client account. Each account has its own keys.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is a hash of the request's method, path and body; a key must not be used again with another hash.
	BodyHash [32]byte
	// NeverRepeat marks a request that must run at most once.
	NeverRepeat bool
}

// Answer is a complete answer to a request, kept for replay.
type Answer struct {
	// Status is the HTTP status code.
	Status int `cbor:"1,keyasint"`
	// ContentType is the content type of the body.
	ContentType string `cbor:"2,keyasint"`
	// Body is the complete body.
	Body []byte `cbor:"3,keyasint"`
}

// Decision says how to handle a keyed request; exactly one field is set.
type Decision struct {
	// Run means that this host is to run the request and then call Finish on the ticket.
	Run Ticket
	// Replay is the recorded answer of an earlier run, to be returned to the caller.
	Replay *Answer
	// Refusal is the error to return to the caller.
	Refusal *beryloutcome.Refusal
}

// Ticket permits its holder to run the request of one claimed key.
type Ticket interface {
	// Finish records the result of the run. Answered keeps the answer for replay, and NotRun frees the key for a retry;
	// any other kind marks a never-repeat key as outcome-unknown and frees a repeatable one. A non-nil refusal must be
	// returned to the caller instead of the answer: another host's run has taken over the key, or the result
	// could be neither written nor queued.
	Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal
}

// Deduplicator decides whether a keyed request runs, is answered from an earlier run or is refused.
type Deduplicator interface {
	// Begin claims the key in the platform's key-value service before the request runs.
	Begin(ctx context.Context, intent Intent) Decision
}
