package beryletcd

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes is the size of the largest value that the service accepts.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the length of the longest key that the client sends.
	MaxKeyBytes = 4 << 10
	// MaxPage is the maximum number of records that one List returns.
	MaxPage = 1000
)

// Status says what is certain about a call that has ended.
type Status uint8

const (
	// Unset is the zero value: the call has not ended.
	Unset Status = iota
	// Done means that a read was answered or a write took effect.
	Done
	// Conflict means that a write did not take effect because the key had another revision.
	Conflict
	// Unknown means that a write may have taken effect or may still do so.
	Unknown
	// Unavailable means that a write has not taken effect and never will, or that a read got no answer.
	Unavailable
)

// String returns the name used in metrics and logs.
func (s Status) String() string {
	switch s {
	case Done:
		return "done"
	case Conflict:
		return "conflict"
	case Unknown:
		return "unknown"
	case Unavailable:
		return "unavailable"
	default:
		return "unset"
	}
}

var (
	// ErrOverBudget means that the call's context or timeout ended before the limit on the call rate permitted the
	// call.
	ErrOverBudget = errors.New("platform call not sent: the limit on calls per second is reached")
	// ErrBreakerOpen means that no request was sent because the circuit breakers of all endpoints are open.
	ErrBreakerOpen = errors.New("platform call not sent: the circuit breakers of all endpoints are open")
	// ErrTooLarge means that a key or value exceeds its size limit.
	ErrTooLarge = errors.New("platform key or value is over its size limit")
	// ErrStale means that an endpoint answered a read from an older revision than one already seen.
	ErrStale = errors.New("platform answered from an older revision than one already seen")
	// ErrLeaseGone means that the lease has expired or never existed.
	ErrLeaseGone = errors.New("platform lease not found")
)

// Record is one key with its value; a zero Revision means that the key is absent.
type Record struct {
	// Key is the full key.
	Key string
	// Value is the value, at most MaxValueBytes long.
	Value []byte
	// Revision is the revision of the record's last change.
	Revision int64
	// Lease is the lease that the record expires with, or zero.
	Lease int64
}

// Read is the result of a Get.
type Read struct {
	// Status is Done or Unavailable.
	Status Status
	// Record is the record; its Revision is zero when the key is absent.
	Record Record
	// Revision is the service's revision at the time of the read.
	Revision int64
	// Err is the reason when Status is not Done.
	Err error
}

// Listing is the result of a List.
type Listing struct {
	// Status is Done or Unavailable.
	Status Status
	// Records are sorted by key.
	Records []Record
	// Next is the key at which the next page starts; empty on the last page.
	Next string
	// Revision is the service's revision at the time of the read.
	Revision int64
	// Err is the reason when Status is not Done.
	Err error
}

// Outcome is the result of a write.
type Outcome struct {
	// Status says what is certain about the write.
	Status Status
	// Revision is the record's new revision when Status is Done.
	Revision int64
	// Current is the record found instead when Status is Conflict; its Revision is zero when the key is absent.
	Current Record
	// Err is the reason when Status is Unknown or Unavailable.
	Err error
}

// Lease is the result of a Grant, KeepAlive or Revoke.
type Lease struct {
	// Status says what is certain about the call.
	Status Status
	// ID is the lease's ID. The client chooses it, so it is set also when Status is Unknown.
	ID int64
	// TTL is the lease's time to live, counted from the answer.
	TTL time.Duration
	// Err is the reason when Status is not Done; it is ErrLeaseGone when the lease has expired.
	Err error
}
