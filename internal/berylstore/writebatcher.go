package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// batchDelay is how long a put waits for others to be written with it.
	batchDelay = 400 * time.Millisecond
	// maxBatchPuts and maxBatchBytes bound one change; they are below the store's limits for the number of entries and
	// for the size of a request.
	maxBatchPuts  = 30
	maxBatchBytes = 700 << 10
	// commitTimeout bounds the write of one change. forwardPutTimeout bounds a put forwarded to another host: it covers
	// the delay and the write there, and the way to that host.
	commitTimeout     = time.Second
	forwardPutTimeout = batchDelay + commitTimeout + 300*time.Millisecond
)

// WriteBatcher writes items of several hosts together in one change, since the store's cost is per call. The puts have
// no preconditions.
type WriteBatcher struct {
	// Store executes the changes.
	Store Store
	// Writer returns the host that writes for this one, or an empty name if this host writes for itself.
	Writer func() string
	// Forward has that host write an item; it returns false if the store did not accept the write.
	Forward func(ctx context.Context, host string, put Put) (bool, error)

	mu      sync.Mutex
	pending []*pendingPut
}

// pendingPut is a put that waits to be written.
type pendingPut struct {
	put       Put
	committed chan bool
}

// Put writes an item and returns true once the store has accepted it. If the host that writes for this one can't be
// reached, this host writes the item itself.
func (b *WriteBatcher) Put(ctx context.Context, put Put) bool {
	if host := b.Writer(); host != "" {
		bounded, cancel := context.WithTimeout(ctx, forwardPutTimeout)
		defer cancel()
		done, err := b.Forward(bounded, host, put)
		if err == nil {
			return done
		}
		return ctx.Err() == nil && b.commit([]*pendingPut{{put: put}}).Status == Done
	}
	return b.Add(ctx, put)
}

// Add writes an item together with those that arrive within batchDelay, and returns true once the store has accepted
// it.
func (b *WriteBatcher) Add(ctx context.Context, put Put) bool {
	item := &pendingPut{put: put, committed: make(chan bool, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, item)
	if len(b.pending) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
	b.mu.Unlock()
	select {
	case done := <-item.committed:
		return done
	case <-ctx.Done():
		return false
	}
}

// flush writes all pending puts, in as many changes as the limits require.
func (b *WriteBatcher) flush() {
	b.mu.Lock()
	waiting := b.pending
	b.pending = nil
	b.mu.Unlock()
	for len(waiting) > 0 {
		count, size := 0, 0
		for count < min(len(waiting), maxBatchPuts) && (count == 0 || size+len(waiting[count].put.Value) <= maxBatchBytes) {
			size += len(waiting[count].put.Value)
			count++
		}
		b.write(waiting[:count])
		waiting = waiting[count:]
	}
}

// write writes items in one change. If the lease of one of them has ended, it writes each item separately, so that the
// others do not fail with it.
func (b *WriteBatcher) write(items []*pendingPut) {
	result := b.commit(items)
	if result.Status == LeaseGone && len(items) > 1 {
		for i := range items {
			b.write(items[i : i+1])
		}
		return
	}
	for _, item := range items {
		item.committed <- result.Status == Done
	}
}

// commit commits one change with all items.
func (b *WriteBatcher) commit(items []*pendingPut) Result {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var txn Txn
	seen := make(map[string]int, len(items))
	for _, item := range items {
		if i, duplicate := seen[item.put.Key]; duplicate {
			txn.Puts[i] = item.put // the last put of a key replaces the earlier ones
			continue
		}
		seen[item.put.Key] = len(txn.Puts)
		txn.Puts = append(txn.Puts, item.put)
	}
	return b.Store.Commit(ctx, txn)
}
