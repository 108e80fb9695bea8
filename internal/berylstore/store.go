package berylstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrCompacted means that the store has dropped the history that a watch asked for.
	ErrCompacted = errors.New("the store has dropped the history after the requested revision")
	// ErrNotDone means that the store has certainly not executed the call.
	ErrNotDone = errors.New("the store did not execute the call")
	// ErrUnknown means that the store may have executed the call, or may do so later.
	ErrUnknown = errors.New("the answer of the store did not arrive")
	// ErrBusy means that the store is up, but refuses the call because it receives too many. It is marked ErrNotDone
	// too.
	ErrBusy = errors.New("the store refused the call because it receives too many")
)

// Item is a key with its value.
type Item struct {
	// Key identifies the item; the store holds at most one item for each key.
	Key string `cbor:"1,keyasint"`
	// Value is the item's value; callers must not change it.
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the item's last change.
	Revision int64 `cbor:"3,keyasint"`
}

// Event is a change of one item.
type Event struct {
	Item
	// Deleted marks a removal; the item then has no value.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Check is a precondition of a change: the item must still have the given revision, or must not exist if the revision
// is zero.
type Check struct {
	// Key is the key of the item to check.
	Key string `cbor:"1,keyasint"`
	// Revision is the required Item.Revision, or zero if no item may have the key.
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Put writes one item.
type Put struct {
	// Key is the key to write; an item that has it is replaced.
	Key string `cbor:"1,keyasint"`
	// Value is the new value.
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Lease is the lease whose end removes the item; zero keeps the item.
	Lease int64 `cbor:"3,keyasint,omitempty"`
}

// Txn is a change of several items that takes effect completely or not at all.
type Txn struct {
	// Checks are the preconditions; all must hold.
	Checks []Check `cbor:"1,keyasint,omitempty"`
	// Puts are the items to write.
	Puts []Put `cbor:"2,keyasint,omitempty"`
	// Deletes are the keys of the items to remove.
	Deletes []string `cbor:"3,keyasint,omitempty"`
}

// Status says what is certain about a change.
type Status uint8

const (
	// Unknown means that the change may have taken effect, or may still do so as long as its checks hold.
	Unknown Status = iota
	// Done means that the change has taken effect.
	Done
	// Conflict means that a check did not hold; nothing was written.
	Conflict
	// NotDone means that the change has not taken effect and never will.
	NotDone
	// LeaseGone means that a lease of the change has ended; nothing was written.
	LeaseGone
)

// String returns the name used in logs and metrics.
func (s Status) String() string {
	return [...]string{"unknown", "done", "conflict", "not-done", "lease-gone"}[s]
}

// Result says whether a change was made, was not made or may have been made.
type Result struct {
	// Status says what is certain about the change.
	Status Status
	// Revision is the revision of the change, if Status is Done.
	Revision int64
	// Current holds the current state of the checked items, if Status is Conflict; items that do not exist are left out.
	Current []Item
	// Err is the reason, if Status is Unknown or NotDone.
	Err error
}

// Page is one page of a listing.
type Page struct {
	// Items are sorted by key.
	Items []Item
	// More means that further items follow the last one.
	More bool
	// AsOf is the store's revision when the page was read.
	AsOf int64
}

// Store is the platform's key-value store. Its errors are marked ErrNotDone, ErrUnknown or ErrCompacted.
type Store interface {
	// Get returns an item as it is now, or false if it does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// List returns the items under a prefix whose keys are greater than after.
	List(ctx context.Context, prefix, after string) (Page, error)
	// ListStale is List, but may return items as they were some seconds ago; it costs the store far less.
	ListStale(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits at most the given time for changes under a prefix after a revision. It returns the changes and the
	// revision to continue from.
	Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]Event, int64, error)
	// Commit executes a change.
	Commit(ctx context.Context, txn Txn) Result
	// Grant creates a lease that lives at least for the given length.
	Grant(ctx context.Context, length time.Duration) (int64, error)
	// KeepAlive renews a lease; it returns false for one that has ended.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
}
