package berylonce

import (
	"context"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// Intent is what a host means to run under an idempotency key.
type Intent struct {
	// Caller names the account; keys of different callers never meet.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// BodyHash tells one request from another under the same key; it covers method, path and body.
	BodyHash [32]byte
	// NeverRepeat marks a request that must run at most once.
	NeverRepeat bool
}

// Answer is a whole answer, kept for replay.
type Answer struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// ContentType is that of the body.
	ContentType string `cbor:"2,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint"`
}

// Decision says what to do with a keyed request; exactly one field is set.
type Decision struct {
	// Run means that this host runs the request and then calls Finish on the ticket.
	Run Ticket
	// Replay is the answer of the run that is done.
	Replay *Answer
	// Refusal is what to tell the caller instead.
	Refusal *beryloutcome.Refusal
}

// Ticket is the right to run a keyed request.
type Ticket interface {
	// Finish records the end of the run. Answered keeps the answer for replay; NotRun frees the key for another try;
	// any other kind leaves a never-repeat key as outcome-unknown and frees a repeatable one.
	// A non-nil refusal replaces the answer: the key was lost to another host meanwhile or the record could not be written.
	Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal
}

// Deduplicator decides what to do with keyed requests.
type Deduplicator interface {
	// Begin records the intent in the platform's service before anything runs.
	Begin(ctx context.Context, intent Intent) Decision
}
