package berylstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxFallbackHosts bounds the hosts that are asked for one call.
const maxFallbackHosts = 2

// fallbackPeriod is how long a host makes its calls through others after one of its own has failed, though its watches, which
// others may make for it, show no fault.
const fallbackPeriod = time.Second

// forwardTimeout bounds one call made by another host: the store's own answer and two hops.
const forwardTimeout = 600 * time.Millisecond

// CallKind names a call of the store.
type CallKind uint8

const (
	// CallGet reads one item.
	CallGet CallKind = iota
	// CallList reads one page.
	CallList
	// CallCommit makes a change.
	CallCommit
)

// Call is a call of the store that another host is asked to make.
type Call struct {
	// Kind says which call it is.
	Kind CallKind `cbor:"1,keyasint"`
	// Key is the item's key or the listing's prefix; After is the key that the listing goes on from.
	Key   string `cbor:"2,keyasint,omitempty"`
	After string `cbor:"3,keyasint,omitempty"`
	// Txn is the change.
	Txn Txn `cbor:"4,keyasint,omitempty"`
}

// CallReply answers a Call.
type CallReply struct {
	// Status says what is certain; of reads it is Done or NotDone.
	Status Status `cbor:"1,keyasint"`
	// Items are the item that was found, the page, or the items of a conflict.
	Items []Item `cbor:"2,keyasint,omitempty"`
	// More and AsOf are the page's.
	More bool  `cbor:"3,keyasint,omitempty"`
	AsOf int64 `cbor:"4,keyasint,omitempty"`
	// Revision is the change's.
	Revision int64 `cbor:"5,keyasint,omitempty"`
}

// FallbackStore is a store whose calls are made by other hosts while this host can't reach it. Watches go to the store alone.
type FallbackStore struct {
	Store
	// Unavailable says that this host does not reach the store.
	Unavailable func() bool
	// FallbackHosts returns hosts that may reach it, best first.
	FallbackHosts func() []string
	// Forward asks one of them.
	Forward func(ctx context.Context, host string, call Call) (CallReply, error)

	lastFailure atomic.Pointer[time.Time] // when a call of this host's own last failed
}

var _ Store = (*FallbackStore)(nil)

// errNoFallback says that no other host could make a call either.
var errNoFallback = errors.Mark(errors.New("no other host reaches the store"), ErrNotDone)

// forward has another host make a call. A call that may have been made is not given to the next host.
func (d *FallbackStore) forward(ctx context.Context, call Call) (CallReply, error) {
	hosts := d.FallbackHosts()
	for _, host := range hosts[:min(len(hosts), maxFallbackHosts)] {
		bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := d.Forward(bounded, host, call)
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

// prefersFallback says that calls are to be made by others first.
func (d *FallbackStore) prefersFallback() bool {
	if d.Unavailable() {
		return true
	}
	failed := d.lastFailure.Load()
	return failed != nil && time.Since(*failed) < fallbackPeriod
}

// recordResult notes how a call of this host's own has ended, and says whether others may do better. A store that is too busy is
// so for all.
func (d *FallbackStore) recordResult(ctx context.Context, err error) bool {
	if err == nil || errors.Is(err, ErrBusy) || errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	now := time.Now()
	d.lastFailure.Store(&now)
	return ctx.Err() == nil
}

// Get returns an item as it is now.
func (d *FallbackStore) Get(ctx context.Context, key string) (Item, bool, error) {
	var err error
	if !d.prefersFallback() {
		var item Item
		var found bool
		if item, found, err = d.Store.Get(ctx, key); !d.recordResult(ctx, err) {
			return item, found, err
		}
	}
	reply, detourErr := d.forward(ctx, Call{Kind: CallGet, Key: key})
	if detourErr != nil {
		return Item{}, false, errors.CombineErrors(detourErr, err)
	}
	if len(reply.Items) == 0 {
		return Item{}, false, nil
	}
	return reply.Items[0], true, nil
}

// List returns the items under a prefix whose keys come after the given one.
func (d *FallbackStore) List(ctx context.Context, prefix, after string) (Page, error) {
	page, err := d.Store.List(ctx, prefix, after)
	if !d.recordResult(ctx, err) {
		return page, err
	}
	reply, detourErr := d.forward(ctx, Call{Kind: CallList, Key: prefix, After: after})
	if detourErr != nil {
		return Page{}, errors.CombineErrors(detourErr, err)
	}
	return Page{Items: reply.Items, More: reply.More, AsOf: reply.AsOf}, nil
}

// ListStale returns the items under a prefix as they may have been some seconds ago.
func (d *FallbackStore) ListStale(ctx context.Context, prefix, after string) (Page, error) {
	page, err := d.Store.ListStale(ctx, prefix, after)
	if err == nil || !d.Unavailable() {
		return page, err
	}
	return d.List(ctx, prefix, after)
}

// Commit makes a change. One of unknown outcome is not made again here; who sends it again has it made by others.
func (d *FallbackStore) Commit(ctx context.Context, txn Txn) Result {
	if !d.prefersFallback() {
		result := d.Store.Commit(ctx, txn)
		if !d.recordResult(ctx, result.Err) || result.Status != NotDone {
			return result
		}
	}
	reply, err := d.forward(ctx, Call{Kind: CallCommit, Txn: txn})
	switch {
	case errors.Is(err, ErrUnknown):
		return Result{Status: Unknown, Err: err}
	case err != nil && !d.Unavailable():
		return d.Store.Commit(ctx, txn) // others do not reach the store either, or there are none
	case err != nil:
		return Result{Status: NotDone, Err: err}
	default:
		return Result{Status: reply.Status, Revision: reply.Revision, Current: reply.Items}
	}
}

// ServeCall makes a call for another host, at a store that this host reaches itself.
func ServeCall(ctx context.Context, s Store, away bool, call Call) CallReply {
	if away {
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
