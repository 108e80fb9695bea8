package beryljob

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// platformRetryInterval is the wait between two reads of a service that does not answer, and the Retry-After of refusals
// for that reason.
const platformRetryInterval = 2 * time.Second

// Platform is the part of the platform's client that this package uses; see beryletcd.Client for its methods.
type Platform interface {
	Get(ctx context.Context, key string) beryletcd.Read
	List(ctx context.Context, prefix string, limit int, from string) beryletcd.Listing
	SwapSettled(ctx context.Context, key string, value []byte, expect, lease int64) beryletcd.Outcome
	Remove(ctx context.Context, key string, expect int64) beryletcd.Outcome
}

// store reads and creates records in the platform's service.
type store struct {
	platform Platform
}

// encode encodes a value for the platform's service. The value must have a new nonce: if the answer to a write is lost,
// SwapSettled reads the key and compares the stored bytes with the value, so no other write may store the same bytes.
func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return data
}

func newNonce() string {
	return rand.Text()
}

// readValue reads the value of a key and its revision. A nil value with a nil refusal means that the key does not exist.
func readValue[T any](ctx context.Context, s store, key string) (*T, int64, *beryloutcome.Refusal) {
	read := s.platform.Get(ctx, key)
	if read.Status != beryletcd.Done {
		return nil, 0, platformUnavailable()
	}
	if read.Record.Revision == 0 {
		return nil, 0, nil
	}
	value, err := decode[T](read.Record.Value)
	if err != nil {
		return nil, 0, &beryloutcome.Refusal{Status: http.StatusInternalServerError, Code: beryloutcome.CodeUpstream, Message: "the record of " + key + " is damaged; tell the operators"}
	}
	return value, read.Record.Revision, nil
}

// create writes a key that must not exist yet; the outcome's status is Conflict if it exists.
func (s store) create(ctx context.Context, key string, value any) (beryletcd.Outcome, *beryloutcome.Refusal) {
	outcome := s.platform.SwapSettled(ctx, key, encode(value), 0, 0)
	switch outcome.Status {
	case beryletcd.Unavailable:
		return outcome, platformUnavailable()
	case beryletcd.Unknown:
		return outcome, &beryloutcome.Refusal{
			Status:  http.StatusGatewayTimeout,
			Code:    beryloutcome.CodeUnknown,
			Message: "it is not known whether " + key + " was recorded; ask for it, or send it again with the same Idempotency-Key",
		}
	}
	return outcome, nil
}

func platformUnavailable() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "the platform's service does not answer; nothing was changed, send it again later",
		RetryAfter: platformRetryInterval,
	}
}
