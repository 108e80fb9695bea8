package berylonce

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryletcd"
)

// errScripted is the reason that the memory store gives for its faults.
var errScripted = errors.New("scripted fault")

// memoryStore is a Store with scripted faults.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]beryletcd.Record
	revision int64
	grants   int64
	leases   map[int64]bool
	// down answers nothing and changes nothing.
	down bool
	// loseAnswers is the number of writes that take effect and whose answer and read-back are lost.
	loseAnswers int
	// dropWrites is the number of writes that are lost before they take effect.
	dropWrites int
	// delayWrites is the number of writes that are lost and take effect when deliver is called.
	delayWrites int
	// latency is the time that each call takes.
	latency       time.Duration
	delayedWrites []func()
	calls         int
	// uncertain counts the calls that got no certain answer.
	uncertain int
}

// newMemoryStore returns an empty store.
func newMemoryStore() *memoryStore {
	return &memoryStore{records: map[string]beryletcd.Record{}, leases: map[int64]bool{}}
}

// set changes the store's faults while others use it.
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
	s.uncertain++
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
	s.uncertain--
	return s.apply(key, value, expect, lease)
}

// apply carries out a compare-and-swap.
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

// applyDelayedWrites carries out the writes that were held back.
func (s *memoryStore) applyDelayedWrites() {
	for _, run := range s.delayedWrites {
		run()
	}
	s.delayedWrites = nil
}

// expire ends all leases and their records.
func (s *memoryStore) expire() {
	clear(s.records)
	clear(s.leases)
}

// consume uses up one of n.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
