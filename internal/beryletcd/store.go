package beryletcd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylstore"
)

// Store implements berylstore.Store on a Client. Each call of Watch opens a stream of its own and closes it at the
// first change.
type Store struct {
	client *Client
}

var _ berylstore.Store = (*Store)(nil)

// NewStore returns a store that uses the client.
func NewStore(client *Client) *Store {
	return &Store{client: client}
}

// Get returns an item as it is now, or false if it does not exist.
func (s *Store) Get(ctx context.Context, key string) (berylstore.Item, bool, error) {
	read := s.client.Get(ctx, key)
	if read.Status != Done {
		return berylstore.Item{}, false, read.Err
	}
	return read.Record.item(), read.Record.Revision > 0, nil
}

// List returns one page of the items under a prefix.
func (s *Store) List(ctx context.Context, prefix, after string) (berylstore.Page, error) {
	from := ""
	if after != "" {
		from = after + "\x00"
	}
	listing := s.client.List(ctx, prefix, MaxPage, from)
	if listing.Status != Done {
		return berylstore.Page{}, listing.Err
	}
	page := berylstore.Page{More: listing.Next != "", AsOf: listing.Revision}
	for _, r := range listing.Records {
		page.Items = append(page.Items, r.item())
	}
	return page, nil
}

// ListStale is the same as List. A follower applies the changes since a stale listing from a watch with no wait, but
// here such a watch may end before those changes arrive.
func (s *Store) ListStale(ctx context.Context, prefix, after string) (berylstore.Page, error) {
	return s.List(ctx, prefix, after)
}

// Watch waits for changes under a prefix. If there is none, it returns the given revision and not the service's current
// one, which may be ahead of changes that have not arrived yet.
func (s *Store) Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]berylstore.Event, int64, error) {
	var events []berylstore.Event
	asOf := above
	w := watch{
		client: s.client, target: Target{Key: prefix, Prefix: true}, revision: above, idleTimeout: max(wait, time.Millisecond), single: true,
		handle: func(change Change) {
			asOf = change.Revision
			for _, r := range change.Records {
				events = append(events, berylstore.Event{Item: r.item()})
			}
			for _, key := range change.Deleted {
				events = append(events, berylstore.Event{Item: berylstore.Item{Key: key, Revision: change.Revision}, Deleted: true})
			}
		},
	}
	switch w.stream(ctx) {
	case watchDelivered, watchIdle:
		return events, asOf, nil
	case watchHistoryGone:
		return nil, 0, berylstore.ErrCompacted
	default:
		return nil, 0, errors.Mark(errNoWatch, berylstore.ErrUnknown)
	}
}

// Commit executes a change. The request is sent once.
func (s *Store) Commit(ctx context.Context, txn berylstore.Txn) berylstore.Result {
	request := wireTxn{Compare: []wireCompare{}, Success: []wireOp{}, Failure: []wireOp{}}
	for _, c := range txn.Checks {
		key := []byte(c.Key)
		request.Compare = append(request.Compare, wireCompare{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: c.Revision})
		request.Failure = append(request.Failure, wireOp{Range: &wireRange{Key: key}})
	}
	for _, p := range txn.Puts {
		if len(p.Key) > MaxKeyBytes || len(p.Value) > MaxValueBytes {
			return berylstore.Result{Status: berylstore.NotDone, Err: ErrTooLarge}
		}
		request.Success = append(request.Success, wireOp{Put: &wirePut{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, wireOp{Delete: &wireRange{Key: []byte(key)}})
	}
	answer, delivery, err := s.client.transact(ctx, callCommit, request)
	result := commitResult(delivery, err, answer)
	s.client.counters.count(callCommit, metricStatus[result.Status])
	return result
}

// metricStatus maps the status of a change to the status under which it is counted.
var metricStatus = map[berylstore.Status]Status{
	berylstore.Unknown: Unknown, berylstore.Done: Done, berylstore.Conflict: Conflict,
	berylstore.NotDone: Unavailable, berylstore.LeaseGone: Unavailable,
}

// commitResult converts the result of a transaction to the result of a change.
func commitResult(delivery delivery, err error, answer wireTxnAnswer) berylstore.Result {
	switch {
	case delivery == deliveryRejected && errors.Is(err, ErrLeaseGone):
		return berylstore.Result{Status: berylstore.LeaseGone}
	case delivery == deliveryUnsent || delivery == deliveryRejected:
		return berylstore.Result{Status: berylstore.NotDone, Err: err}
	case delivery == deliveryUnknown:
		return berylstore.Result{Status: berylstore.Unknown, Err: err}
	case answer.Succeeded:
		return berylstore.Result{Status: berylstore.Done, Revision: answer.Header.Revision}
	}
	result := berylstore.Result{Status: berylstore.Conflict}
	for _, r := range answer.Responses {
		for _, found := range r.Range.Kvs {
			result.Current = append(result.Current, found.record().item())
		}
	}
	return result
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, length time.Duration) (int64, error) {
	lease := s.client.Grant(ctx, length)
	return lease.ID, leaseError(lease)
}

// KeepAlive renews a lease; it returns false for one that has ended.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	renewed := s.client.KeepAlive(ctx, lease)
	if errors.Is(renewed.Err, ErrLeaseGone) {
		return false, nil
	}
	return renewed.Status == Done, leaseError(renewed)
}

// leaseError returns the error of a lease call, marked with what is certain about the call, or nil if it succeeded.
func leaseError(lease Lease) error {
	switch lease.Status {
	case Done:
		return nil
	case Unknown:
		return errors.Mark(lease.Err, berylstore.ErrUnknown)
	default:
		return errors.Mark(lease.Err, berylstore.ErrNotDone)
	}
}

// item converts the record to the type of package berylstore.
func (r Record) item() berylstore.Item {
	return berylstore.Item{Key: r.Key, Value: r.Value, Revision: r.Revision}
}
