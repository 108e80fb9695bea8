package beryletcd

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes is the largest value that the service takes.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the longest key that the client sends.
	MaxKeyBytes = 4 << 10
	// MaxPage is the most records that one List returns.
	MaxPage = 1000
)

// Status says what is certain about a call once it has ended.
type Status uint8

const (
	// Unset is the zero value and marks a call that has not ended.
	Unset Status = iota
	// Done marks a read that was answered and a write that took effect.
	Done
	// Conflict marks a write that did not take effect because the key had another revision.
	Conflict
	// Unknown marks a write that may have taken effect or may still do so.
	Unknown
	// Unavailable marks a write that certainly did not and will not take effect, and a read without an answer.
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
	// ErrOverBudget says that the call's share of the service's rate was used up until its context ended.
	ErrOverBudget = errors.New("platform call budget used up")
	// ErrBreakerOpen says that every endpoint failed so often lately that none was asked.
	ErrBreakerOpen = errors.New("no platform endpoint is worth asking now")
	// ErrTooLarge says that a key or value is over its limit.
	ErrTooLarge = errors.New("platform key or value too large")
	// ErrStale says that an endpoint answered a read from a state older than one already seen.
	ErrStale = errors.New("platform answered from an older state")
	// ErrLeaseGone says that the lease has expired or never was.
	ErrLeaseGone = errors.New("platform lease not found")
)

// Record is one key with its value; a zero Revision means that the key is absent.
type Record struct {
	// Key is the whole key.
	Key string
	// Value is the value, at most MaxValueBytes long.
	Value []byte
	// Revision is the revision of the record's last change.
	Revision int64
	// Lease is the lease that the record expires with, or zero.
	Lease int64
}

// Read is the end of a Get.
type Read struct {
	// Status is Done or Unavailable.
	Status Status
	// Record is what was found; its Revision is zero when the key is absent.
	Record Record
	// Revision is the service's revision at the time of the read.
	Revision int64
	// Err says why when Status is not Done.
	Err error
}

// Listing is the end of a List.
type Listing struct {
	// Status is Done or Unavailable.
	Status Status
	// Records are in order of their keys.
	Records []Record
	// Next is the key to list on from, or empty when nothing is left.
	Next string
	// Revision is the service's revision at the time of the read.
	Revision int64
	// Err says why when Status is not Done.
	Err error
}

// Outcome is the end of a write.
type Outcome struct {
	// Status says what is certain about the write.
	Status Status
	// Revision is the record's new revision when Status is Done.
	Revision int64
	// Current is the record found instead when Status is Conflict; its Revision is zero when the key is absent.
	Current Record
	// Err says why when Status is Unknown or Unavailable.
	Err error
}

// Lease is the end of a Grant or KeepAlive.
type Lease struct {
	// Status says what is certain about the call.
	Status Status
	// ID names the lease; it is set also when Status is Unknown, since the client chooses it.
	ID int64
	// TTL is the time to live that the service promised from its answer on.
	TTL time.Duration
	// Err says why when Status is not Done; it is ErrLeaseGone when the lease has expired.
	Err error
}
