package berylfake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylstore"
)

// StoreFault is what happens to a call of a MemoryStore.
type StoreFault uint8

const (
	// StoreWell carries the call out and answers it.
	StoreWell StoreFault = iota
	// StoreRefuses does not carry the call out and says so.
	StoreRefuses
	// StoreBusy is StoreRefuses because too many calls are made.
	StoreBusy
	// StoreLosesAnswer carries the call out but does not answer it.
	StoreLosesAnswer
	// StoreLosesCall neither carries the call out nor answers it.
	StoreLosesCall
	// StoreActsLate does not answer the call and carries it out when Late is called, if its checks then hold.
	StoreActsLate
)

// pageItems is how many items a listing's page holds; it is small, so that tests meet more than one page.
const pageItems = 5

// MemoryStore is a berylstore.Store in memory with scripted faults; its zero value is empty and well.
type MemoryStore struct {
	mu        sync.Mutex
	fault     func(call, key string) StoreFault
	staleView *MemoryStore // what stale listings show; nil shows what there is
	revision  int64
	items     map[string]memoryItem
	history   []berylstore.Event
	compacted int64 // history up to here is gone
	leases    map[int64]time.Time
	lastLease int64
	delayed   []berylstore.Txn
	changed   chan struct{}
	calls     map[string]int
}

type memoryItem struct {
	berylstore.Item
	lease int64
}

var _ berylstore.Store = (*MemoryStore)(nil)

var errUnavailable = errors.New("the stand-in is away")

// Calls returns how often each call was made.
func (s *MemoryStore) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for call, n := range s.calls {
		calls[call] = n
	}
	return calls
}

// SetFault says what happens to calls from now on; nil means that all goes well. The call is one of get, list, watch,
// commit, grant and keep, or list-stale for a listing that may be stale, and the function is called for one at a time.
func (s *MemoryStore) SetFault(fault func(call, key string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Fail makes all calls from now on end with the fault.
func (s *MemoryStore) Fail(fault StoreFault) {
	s.SetFault(func(string, string) StoreFault { return fault })
}

// lockAndCount takes the lock, counts a call and returns its fault.
func (s *MemoryStore) lockAndCount(call, key string) StoreFault {
	s.mu.Lock()
	fault := StoreWell
	if s.fault != nil {
		fault = s.fault(call, key)
	}
	if s.items == nil {
		s.items = make(map[string]memoryItem)
		s.leases = make(map[int64]time.Time)
		s.calls = make(map[string]int)
		s.changed = make(chan struct{})
		s.revision = 1
	}
	s.calls[call]++
	s.expire()
	return fault
}

func readError(fault StoreFault) error {
	switch fault {
	case StoreWell:
		return nil
	case StoreRefuses:
		return errors.Mark(errUnavailable, berylstore.ErrNotDone)
	case StoreBusy:
		return errors.Mark(errors.Mark(errUnavailable, berylstore.ErrBusy), berylstore.ErrNotDone)
	default:
		return errors.Mark(errUnavailable, berylstore.ErrUnknown)
	}
}

// Get returns an item.
func (s *MemoryStore) Get(_ context.Context, key string) (berylstore.Item, bool, error) {
	fault := s.lockAndCount("get", key)
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item.Item, found, readError(fault)
}

// List returns one page.
func (s *MemoryStore) List(_ context.Context, prefix, after string) (berylstore.Page, error) {
	fault := s.lockAndCount("list", prefix)
	defer s.mu.Unlock()
	return s.page(prefix, after), readError(fault)
}

// ListStale returns one page as of the last Freeze, or as it is.
func (s *MemoryStore) ListStale(_ context.Context, prefix, after string) (berylstore.Page, error) {
	fault := s.lockAndCount("list-stale", prefix)
	defer s.mu.Unlock()
	if s.staleView != nil {
		return s.staleView.page(prefix, after), readError(fault)
	}
	return s.page(prefix, after), readError(fault)
}

func (s *MemoryStore) page(prefix, after string) berylstore.Page {
	page := berylstore.Page{AsOf: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item.Item)
		}
	}
	slices.SortFunc(page.Items, func(a, b berylstore.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	return page
}

// Freeze makes stale listings show what there is now, until it is called again.
func (s *MemoryStore) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleView = &MemoryStore{items: maps.Clone(s.items), revision: s.revision}
}

// Watch waits for changes.
func (s *MemoryStore) Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]berylstore.Event, int64, error) {
	fault := s.lockAndCount("watch", prefix)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := readError(fault); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		if above < s.compacted {
			s.mu.Unlock()
			return nil, 0, berylstore.ErrCompacted
		}
		var events []berylstore.Event
		for _, e := range s.history {
			if e.Revision > above && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, asOf, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Mark(ctx.Err(), berylstore.ErrUnknown)
		case <-timer.C:
			return nil, asOf, nil
		case <-changed:
		}
		s.mu.Lock()
	}
}

// Commit makes a change.
func (s *MemoryStore) Commit(_ context.Context, txn berylstore.Txn) berylstore.Result {
	key := ""
	if len(txn.Checks) > 0 {
		key = txn.Checks[0].Key
	}
	fault := s.lockAndCount("commit", key)
	defer s.mu.Unlock()
	switch fault {
	case StoreRefuses, StoreBusy:
		return berylstore.Result{Status: berylstore.NotDone, Err: errUnavailable}
	case StoreLosesCall:
		return berylstore.Result{Status: berylstore.Unknown, Err: errUnavailable}
	case StoreActsLate:
		s.delayed = append(s.delayed, txn)
		return berylstore.Result{Status: berylstore.Unknown, Err: errUnavailable}
	}
	result := s.apply(txn)
	if fault == StoreLosesAnswer {
		return berylstore.Result{Status: berylstore.Unknown, Err: errUnavailable}
	}
	return result
}

// Write writes an item past all faults, as somebody else would.
func (s *MemoryStore) Write(key, value string) {
	fault := s.takeFault()
	s.Commit(context.Background(), berylstore.Txn{Puts: []berylstore.Put{{Key: key, Value: []byte(value)}}})
	s.SetFault(fault)
}

func (s *MemoryStore) takeFault() func(call, key string) StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	s.fault = nil
	return fault
}

// Late carries out the calls that were held up.
func (s *MemoryStore) Late() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		s.apply(txn)
	}
	s.delayed = nil
}

func (s *MemoryStore) apply(txn berylstore.Txn) berylstore.Result {
	conflict := berylstore.Result{Status: berylstore.Conflict}
	failed := false
	for _, c := range txn.Checks {
		item, found := s.items[c.Key]
		if found {
			conflict.Current = append(conflict.Current, item.Item)
		}
		failed = failed || item.Revision != c.Revision
	}
	if failed {
		return conflict
	}
	for _, p := range txn.Puts {
		if _, alive := s.leases[p.Lease]; p.Lease != 0 && !alive {
			return berylstore.Result{Status: berylstore.LeaseGone}
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		item := berylstore.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision}
		s.items[p.Key] = memoryItem{Item: item, lease: p.Lease}
		s.history = append(s.history, berylstore.Event{Item: item})
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.notify()
	return berylstore.Result{Status: berylstore.Done, Revision: s.revision}
}

func (s *MemoryStore) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, berylstore.Event{Item: berylstore.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *MemoryStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notify()
}

// Grant makes a lease.
func (s *MemoryStore) Grant(_ context.Context, length time.Duration) (int64, error) {
	fault := s.lockAndCount("grant", "")
	defer s.mu.Unlock()
	if err := readError(fault); err != nil {
		return 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(length)
	return s.lastLease, nil
}

// KeepAlive renews a lease for a minute.
func (s *MemoryStore) KeepAlive(_ context.Context, lease int64) (bool, error) {
	fault := s.lockAndCount("keep", "")
	defer s.mu.Unlock()
	if err := readError(fault); err != nil {
		return false, err
	}
	_, alive := s.leases[lease]
	if alive {
		s.leases[lease] = time.Now().Add(time.Minute)
	}
	return alive, nil
}

// Revoke ends a lease and removes its items.
func (s *MemoryStore) Revoke(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(lease)
}

func (s *MemoryStore) expire() {
	now := time.Now()
	for lease, until := range s.leases {
		if now.After(until) {
			s.endLease(lease)
		}
	}
}

func (s *MemoryStore) endLease(lease int64) {
	delete(s.leases, lease)
	s.revision++
	for key, item := range s.items {
		if item.lease == lease {
			s.remove(key)
		}
	}
	s.notify()
}
