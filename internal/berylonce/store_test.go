package berylonce

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryletcd"
)

// errScripted is the error of scripted faults.
var errScripted = errors.New("scripted fault")

// memoryStore is an in-memory Store with scripted faults.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]beryletcd.Record
	revision int64
	grants   int64
	leases   map[int64]bool
	// down makes all calls fail without effect.
	down bool
	// loseAnswers is the number of coming writes that take effect and whose answer and read-back are lost.
	loseAnswers int
	// dropWrites is the number of coming writes that are lost without effect.
	dropWrites int
	// delayWrites is the number of coming writes that get no answer and take effect when applyDelayedWrites is called.
	delayWrites int
	// latency is the duration of each write.
	latency       time.Duration
	delayedWrites []func()
	calls         int
	// faulted counts the writes that met a scripted fault.
	faulted int
}

// newMemoryStore returns an empty store.
func newMemoryStore() *memoryStore {
	return &memoryStore{records: map[string]beryletcd.Record{}, leases: map[int64]bool{}}
}

// set changes the store's faults while it is in use.
func (s *memoryStore) set(change func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Get implements Store.
func (s *memoryStore) Get(_ context.Context, key string) beryletcd.Read {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return beryletcd.Read{Status: beryletcd.Unavailable, Err: errScripted}
	}
	return beryletcd.Read{Status: beryletcd.Done, Record: s.records[key], Revision: s.revision}
}

// SwapSettled implements Store.
func (s *memoryStore) SwapSettled(_ context.Context, key string, value []byte, expect, lease int64) beryletcd.Outcome {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	value = bytes.Clone(value)
	lost := beryletcd.Outcome{Status: beryletcd.Unknown, Err: errScripted}
	s.faulted++
	switch {
	case s.down:
		return beryletcd.Outcome{Status: beryletcd.Unavailable, Err: errScripted}
	case consume(&s.loseAnswers):
		s.apply(key, value, expect, lease)
		return lost
	case consume(&s.dropWrites):
		return lost
	case consume(&s.delayWrites):
		s.delayedWrites = append(s.delayedWrites, func() { s.apply(key, value, expect, lease) })
		return lost
	}
	s.faulted--
	return s.apply(key, value, expect, lease)
}

// apply executes a compare-and-swap.
func (s *memoryStore) apply(key string, value []byte, expect, lease int64) beryletcd.Outcome {
	if !s.leases[lease] {
		return beryletcd.Outcome{Status: beryletcd.Unavailable, Err: beryletcd.ErrLeaseGone}
	}
	current := s.records[key]
	if current.Revision != expect {
		return beryletcd.Outcome{Status: beryletcd.Conflict, Current: current}
	}
	s.revision++
	s.records[key] = beryletcd.Record{Key: key, Value: value, Revision: s.revision, Lease: lease}
	return beryletcd.Outcome{Status: beryletcd.Done, Revision: s.revision}
}

// Grant implements Store.
func (s *memoryStore) Grant(_ context.Context, ttl time.Duration) beryletcd.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return beryletcd.Lease{Status: beryletcd.Unavailable, Err: errScripted}
	}
	s.grants++
	s.leases[s.grants] = true
	return beryletcd.Lease{Status: beryletcd.Done, ID: s.grants, TTL: ttl}
}

// applyDelayedWrites executes the writes that were delayed.
func (s *memoryStore) applyDelayedWrites() {
	for _, run := range s.delayedWrites {
		run()
	}
	s.delayedWrites = nil
}

// expire ends all leases and removes all records.
func (s *memoryStore) expire() {
	clear(s.records)
	clear(s.leases)
}

// consume decrements n and reports true, or reports false when n is zero.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
