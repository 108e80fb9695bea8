package berylstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCompacted says that the store has dropped the history that a watch asked for.
	ErrCompacted = errors.New("the store's history does not reach back that far")
	// ErrNotDone says that the store has certainly not carried the call out.
	ErrNotDone = errors.New("the store has not carried the call out")
	// ErrUnknown says that the call may have been carried out, or may be later.
	ErrUnknown = errors.New("the store's answer did not arrive")
	// ErrBusy says that the store is up and refuses the call because too many are made; it is marked ErrNotDone too.
	ErrBusy = errors.New("the store takes no more calls for now")
)

// Item is one key with its value.
type Item struct {
	// Key is the item's name.
	Key string `cbor:"1,keyasint"`
	// Value is what was written; it must not be changed.
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is that of the last change.
	Revision int64 `cbor:"3,keyasint"`
}

// Event is one change of an item.
type Event struct {
	Item
	// Deleted marks a removal; the item then has no value.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Check demands that an item still has a revision; zero demands that there is none of that key.
type Check struct {
	// Key names the item.
	Key string `cbor:"1,keyasint"`
	// Revision is the one that it must have.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Put writes one item.
type Put struct {
	// Key names the item.
	Key string `cbor:"1,keyasint"`
	// Value is what to write.
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Lease removes the item when it ends; zero keeps it.
	Lease int64 `cbor:"3,keyasint,omitempty"`
}

// Txn is a change that takes effect whole or not at all.
type Txn struct {
	// Checks must all hold.
	Checks []Check `cbor:"1,keyasint,omitempty"`
	// Puts are written.
	Puts []Put `cbor:"2,keyasint,omitempty"`
	// Deletes are removed.
	Deletes []string `cbor:"3,keyasint,omitempty"`
}

// Status says what is certain of a change.
type Status uint8

const (
	// Unknown marks a change that may have taken effect or may yet do so while its checks hold.
	Unknown Status = iota
	// Done marks a change that has taken effect.
	Done
	// Conflict marks a change of which a check did not hold; nothing was written.
	Conflict
	// NotDone marks a change that has not taken effect and never will.
	NotDone
	// LeaseGone marks a change under a lease that has ended; nothing was written.
	LeaseGone
)

// String returns the name used in logs and metrics.
func (s Status) String() string {
	return [...]string{"unknown", "done", "conflict", "not-done", "lease-gone"}[s]
}

// Result is the end of a change.
type Result struct {
	// Status says what is certain.
	Status Status
	// Revision is the change's own, when Status is Done.
	Revision int64
	// Current holds the checked items as they are, when Status is Conflict; missing ones are left out.
	Current []Item
	// Err says what went wrong, when Status is Unknown or NotDone.
	Err error
}

// Page is one part of a listing.
type Page struct {
	// Items are sorted by key.
	Items []Item
	// More says that further items follow the last one.
	More bool
	// AsOf is the store's revision at the time of the listing.
	AsOf int64
}

// Store is the platform's key-value store. Errors are marked ErrNotDone, ErrUnknown or ErrCompacted.
type Store interface {
	// Get returns an item as it is now, or false when there is none.
	Get(ctx context.Context, key string) (Item, bool, error)
	// List returns the items under a prefix whose keys come after the given one.
	List(ctx context.Context, prefix, after string) (Page, error)
	// ListStale is List of what the items may have been some seconds ago, which costs the store far less.
	ListStale(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits, no longer than the given time, for changes under a prefix above a revision and returns them with the
	// revision to go on from.
	Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]Event, int64, error)
	// Commit makes a change.
	Commit(ctx context.Context, txn Txn) Result
	// Grant makes a lease of at least the given length.
	Grant(ctx context.Context, length time.Duration) (int64, error)
	// KeepAlive renews a lease; it returns false for one that has ended.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
}
