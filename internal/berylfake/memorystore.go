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

// MemoryStoreFault is the scripted outcome of a call to a MemoryStore.
type MemoryStoreFault uint8

const (
	// StoreHealthy executes the call and returns its result.
	StoreHealthy MemoryStoreFault = iota
	// StoreRefuses does not execute the call and returns an error that says so (berylstore.NotDone).
	StoreRefuses
	// StoreBusy does the same as StoreRefuses and marks the error of a read with berylstore.ErrBusy, as for too many calls.
	StoreBusy
	// StoreLosesAnswer executes a commit and returns an unknown outcome, as if the response was lost. All other calls return an
	// unknown outcome without effect, as with StoreLosesCall.
	StoreLosesAnswer
	// StoreLosesCall does not execute the call and returns an unknown outcome, as if the request was lost.
	StoreLosesCall
	// StoreDelaysCall returns an unknown outcome for a commit and executes it later, when ApplyDelayed is called, if its checks hold
	// then. All other calls return an unknown outcome without effect, as with StoreLosesCall.
	StoreDelaysCall
)

// pageItems is the number of items on a page of a listing. It is small so that tests cover listings of several pages.
const pageItems = 5

// MemoryStore is a berylstore.Store in memory with scripted faults. Its zero value is an empty store without faults.
type MemoryStore struct {
	mu        sync.Mutex
	fault     func(call, key string) MemoryStoreFault
	staleView *MemoryStore // the items that ListStale returns; nil means the current ones
	revision  int64
	items     map[string]memoryItem
	history   []berylstore.Event
	compacted int64 // history up to and including this revision has been dropped
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

var errUnavailable = errors.New("the stand-in is unavailable")

// Calls returns how often each kind of call was made. The keys are the names that SetFault describes.
func (s *MemoryStore) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for call, n := range s.calls {
		calls[call] = n
	}
	return calls
}

// SetFault sets the function that decides the outcome of each later call; nil removes all faults. Its argument call is one
// of get, list, list-stale (a listing that may be stale), watch, commit, grant and keep. It is never called concurrently.
func (s *MemoryStore) SetFault(fault func(call, key string) MemoryStoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// FailCalls applies the fault to all later calls.
func (s *MemoryStore) FailCalls(fault MemoryStoreFault) {
	s.SetFault(func(string, string) MemoryStoreFault { return fault })
}

// lockAndCount locks s.mu, counts a call and returns its fault. The caller unlocks s.mu.
func (s *MemoryStore) lockAndCount(call, key string) MemoryStoreFault {
	s.mu.Lock()
	fault := StoreHealthy
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

// readError returns the error of a call that writes no items, marked with the berylstore error that says whether the call was
// executed.
func readError(fault MemoryStoreFault) error {
	switch fault {
	case StoreHealthy:
		return nil
	case StoreRefuses:
		return errors.Mark(errUnavailable, berylstore.ErrNotDone)
	case StoreBusy:
		return errors.Mark(errors.Mark(errUnavailable, berylstore.ErrBusy), berylstore.ErrNotDone)
	default:
		return errors.Mark(errUnavailable, berylstore.ErrUnknown)
	}
}

// Get returns the item with the key and whether it exists.
func (s *MemoryStore) Get(_ context.Context, key string) (berylstore.Item, bool, error) {
	fault := s.lockAndCount("get", key)
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item.Item, found, readError(fault)
}

// List returns one page of the items whose keys have the prefix and sort after the given key.
func (s *MemoryStore) List(_ context.Context, prefix, after string) (berylstore.Page, error) {
	fault := s.lockAndCount("list", prefix)
	defer s.mu.Unlock()
	return s.page(prefix, after), readError(fault)
}

// ListStale returns one page as of the last call of FreezeStaleLists, or the current one if FreezeStaleLists has not been called.
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

// FreezeStaleLists makes ListStale return the present items until FreezeStaleLists is called again.
func (s *MemoryStore) FreezeStaleLists() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleView = &MemoryStore{items: maps.Clone(s.items), revision: s.revision}
}

// Watch returns the changes with a revision greater than above. If there are none yet, it waits for one, at most for the given
// time.
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
		if len(events) > 0 || wait <= 0 {
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

// Commit executes a transaction, under the fault for the key of its first check.
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
	case StoreDelaysCall:
		s.delayed = append(s.delayed, txn)
		return berylstore.Result{Status: berylstore.Unknown, Err: errUnavailable}
	}
	result := s.apply(txn)
	if fault == StoreLosesAnswer {
		return berylstore.Result{Status: berylstore.Unknown, Err: errUnavailable}
	}
	return result
}

// Write writes an item unaffected by the scripted fault, as another client of the store would.
func (s *MemoryStore) Write(key, value string) {
	fault := s.takeFault()
	s.Commit(context.Background(), berylstore.Txn{Puts: []berylstore.Put{{Key: key, Value: []byte(value)}}})
	s.SetFault(fault)
}

func (s *MemoryStore) takeFault() func(call, key string) MemoryStoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	s.fault = nil
	return fault
}

// ApplyDelayed executes the commits that the scripted fault has delayed.
func (s *MemoryStore) ApplyDelayed() {
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

// Compact drops the history, so that watches from an earlier revision fail with berylstore.ErrCompacted.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notify()
}

// Grant creates a lease that expires after length unless KeepAlive extends it.
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

// KeepAlive extends a lease to one minute from now and reports whether the lease still exists.
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

// Revoke ends a lease and deletes its items.
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
