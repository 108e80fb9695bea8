package berylstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxFallbackHosts is the maximum number of hosts that are asked for one call.
const maxFallbackHosts = 2

// fallbackPeriod is how long a host makes its calls through other hosts after one of its own calls has failed. It
// applies even while the host's watches show no fault, since other hosts may make those watches for it.
const fallbackPeriod = time.Second

// forwardTimeout bounds one call made by another host; it allows for the store's own answer and two network hops.
const forwardTimeout = 600 * time.Millisecond

// CallKind is a kind of call to the store.
type CallKind uint8

const (
	// CallGet reads one item.
	CallGet CallKind = iota
	// CallList reads one page.
	CallList
	// CallCommit executes a change.
	CallCommit
)

// Call is a call to the store that another host is asked to make.
type Call struct {
	// Kind is the kind of call.
	Kind CallKind `cbor:"1,keyasint"`
	// Key is the item's key or the listing's prefix; After is the key after which the listing continues.
	Key   string `cbor:"2,keyasint,omitempty"`
	After string `cbor:"3,keyasint,omitempty"`
	// Txn is the change to commit.
	Txn Txn `cbor:"4,keyasint,omitempty"`
}

// CallReply is the reply to a Call.
type CallReply struct {
	// Status says what is certain about the call; for reads it is Done or NotDone.
	Status Status `cbor:"1,keyasint"`
	// Items holds the item found, the items of the page, or the current items of a conflict.
	Items []Item `cbor:"2,keyasint,omitempty"`
	// More and AsOf are the fields of the Page that a CallList has read.
	More bool  `cbor:"3,keyasint,omitempty"`
	AsOf int64 `cbor:"4,keyasint,omitempty"`
	// Revision is the store's revision after the change of a CallCommit.
	Revision int64 `cbor:"5,keyasint,omitempty"`
}

// FallbackStore is a store whose calls are forwarded to other hosts while this host can't reach the store. Watches are
// not forwarded.
type FallbackStore struct {
	Store
	// Unavailable reports whether this host can't reach the store.
	Unavailable func() bool
	// FallbackHosts returns hosts that may reach the store, best first.
	FallbackHosts func() []string
	// Forward asks another host to make a call.
	Forward func(ctx context.Context, host string, call Call) (CallReply, error)

	lastFailure atomic.Pointer[time.Time] // when a direct call of this host last failed
}

var _ Store = (*FallbackStore)(nil)

// errNoFallback is the error when no other host could make the call either.
var errNoFallback = errors.Mark(errors.New("no other host can reach the store"), ErrNotDone)

// forward has another host make a call. A change that may have been executed is not forwarded to the next host.
func (f *FallbackStore) forward(ctx context.Context, call Call) (CallReply, error) {
	hosts := f.FallbackHosts()
	for _, host := range hosts[:min(len(hosts), maxFallbackHosts)] {
		bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := f.Forward(bounded, host, call)
		cancel()
		switch {
		case err != nil && call.Kind == CallCommit:
			return CallReply{}, errors.Mark(err, ErrUnknown)
		case err == nil && reply.Status != NotDone:
			return reply, nil
		}
	}
	return CallReply{}, errNoFallback
}

// prefersFallback reports whether calls are to be forwarded without trying the store first.
func (f *FallbackStore) prefersFallback() bool {
	if f.Unavailable() {
		return true
	}
	failed := f.lastFailure.Load()
	return failed != nil && time.Since(*failed) < fallbackPeriod
}

// recordResult records how a direct call of this host has ended and reports whether to forward it. A call is not
// forwarded when the store is too busy, since it is so for all hosts, or when the call's context has ended.
func (f *FallbackStore) recordResult(ctx context.Context, err error) bool {
	if err == nil || errors.Is(err, ErrBusy) || errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	now := time.Now()
	f.lastFailure.Store(&now)
	return ctx.Err() == nil
}

// Get returns an item as it is now.
func (f *FallbackStore) Get(ctx context.Context, key string) (Item, bool, error) {
	var err error
	if !f.prefersFallback() {
		var item Item
		var found bool
		if item, found, err = f.Store.Get(ctx, key); !f.recordResult(ctx, err) {
			return item, found, err
		}
	}
	reply, fallbackErr := f.forward(ctx, Call{Kind: CallGet, Key: key})
	if fallbackErr != nil {
		return Item{}, false, errors.CombineErrors(fallbackErr, err)
	}
	if len(reply.Items) == 0 {
		return Item{}, false, nil
	}
	return reply.Items[0], true, nil
}

// List returns the items under a prefix whose keys are greater than after.
func (f *FallbackStore) List(ctx context.Context, prefix, after string) (Page, error) {
	page, err := f.Store.List(ctx, prefix, after)
	if !f.recordResult(ctx, err) {
		return page, err
	}
	reply, fallbackErr := f.forward(ctx, Call{Kind: CallList, Key: prefix, After: after})
	if fallbackErr != nil {
		return Page{}, errors.CombineErrors(fallbackErr, err)
	}
	return Page{Items: reply.Items, More: reply.More, AsOf: reply.AsOf}, nil
}

// ListStale returns the items under a prefix as they may have been some seconds ago.
func (f *FallbackStore) ListStale(ctx context.Context, prefix, after string) (Page, error) {
	page, err := f.Store.ListStale(ctx, prefix, after)
	if err == nil || !f.Unavailable() {
		return page, err
	}
	return f.List(ctx, prefix, after)
}

// Commit executes a change. A change of unknown outcome is not forwarded, since it may have taken effect; if the caller
// sends it again, it goes through another host.
func (f *FallbackStore) Commit(ctx context.Context, txn Txn) Result {
	if !f.prefersFallback() {
		result := f.Store.Commit(ctx, txn)
		if !f.recordResult(ctx, result.Err) || result.Status != NotDone {
			return result
		}
	}
	reply, err := f.forward(ctx, Call{Kind: CallCommit, Txn: txn})
	switch {
	case errors.Is(err, ErrUnknown):
		return Result{Status: Unknown, Err: err}
	case err != nil && !f.Unavailable():
		return f.Store.Commit(ctx, txn) // no other host can reach the store either, or there is none
	case err != nil:
		return Result{Status: NotDone, Err: err}
	default:
		return Result{Status: reply.Status, Revision: reply.Revision, Current: reply.Items}
	}
}

// ServeCall makes a call for another host. It refuses the call while this host can't reach the store itself.
func ServeCall(ctx context.Context, s Store, unavailable bool, call Call) CallReply {
	if unavailable {
		return CallReply{Status: NotDone}
	}
	switch call.Kind {
	case CallGet:
		item, found, err := s.Get(ctx, call.Key)
		if err != nil {
			return CallReply{Status: NotDone}
		}
		reply := CallReply{Status: Done}
		if found {
			reply.Items = []Item{item}
		}
		return reply
	case CallList:
		page, err := s.List(ctx, call.Key, call.After)
		if err != nil {
			return CallReply{Status: NotDone}
		}
		return CallReply{Status: Done, Items: page.Items, More: page.More, AsOf: page.AsOf}
	case CallCommit:
		result := s.Commit(ctx, call.Txn)
		return CallReply{Status: result.Status, Items: result.Current, Revision: result.Revision}
	default:
		return CallReply{Status: NotDone}
	}
}
