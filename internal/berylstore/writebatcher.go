package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// batchDelay is how long items wait for others before they are written together.
	batchDelay = 400 * time.Millisecond
	// maxBatchPuts and gatherBytes bound one change, below the store's limits for entries and for a body.
	maxBatchPuts  = 30
	maxBatchBytes = 700 << 10
	// commitTimeout bounds the writing of one change, and gatherAsk with it the way to the host that writes it.
	commitTimeout     = time.Second
	forwardPutTimeout = batchDelay + commitTimeout + 300*time.Millisecond
)

// WriteBatcher writes items without checks for several hosts in one change, since the store's price is by the call.
type WriteBatcher struct {
	// Store takes the changes.
	Store Store
	// Writer returns the host that writes for this one, or an empty name where this host writes itself.
	Writer func() string
	// Forward has that host write an item; it returns false where the store has not taken it.
	Forward func(ctx context.Context, host string, put Put) (bool, error)

	mu      sync.Mutex
	pending []*pendingPut
}

// pendingPut is an item that waits to be written.
type pendingPut struct {
	put       Put
	committed chan bool
}

// Put writes an item; it returns true once the store has taken it. A host that can't reach the one that writes for it
// writes itself.
func (g *WriteBatcher) Put(ctx context.Context, put Put) bool {
	if host := g.Writer(); host != "" {
		bounded, cancel := context.WithTimeout(ctx, forwardPutTimeout)
		defer cancel()
		done, err := g.Forward(bounded, host, put)
		if err == nil {
			return done
		}
		return ctx.Err() == nil && g.commit([]*pendingPut{{put: put}}).Status == Done
	}
	return g.Add(ctx, put)
}

// Add writes an item together with those of other hosts that come within a moment.
func (g *WriteBatcher) Add(ctx context.Context, put Put) bool {
	item := &pendingPut{put: put, committed: make(chan bool, 1)}
	g.mu.Lock()
	g.pending = append(g.pending, item)
	if len(g.pending) == 1 {
		time.AfterFunc(batchDelay, g.flush)
	}
	g.mu.Unlock()
	select {
	case done := <-item.committed:
		return done
	case <-ctx.Done():
		return false
	}
}

// flush writes what has gathered.
func (g *WriteBatcher) flush() {
	g.mu.Lock()
	waiting := g.pending
	g.pending = nil
	g.mu.Unlock()
	for len(waiting) > 0 {
		count, size := 0, 0
		for count < min(len(waiting), maxBatchPuts) && (count == 0 || size+len(waiting[count].put.Value) <= maxBatchBytes) {
			size += len(waiting[count].put.Value)
			count++
		}
		g.write(waiting[:count])
		waiting = waiting[count:]
	}
}

// write writes items in one change, or each by itself where the lease of one of them has ended.
func (g *WriteBatcher) write(items []*pendingPut) {
	result := g.commit(items)
	if result.Status == LeaseGone && len(items) > 1 {
		for i := range items {
			g.write(items[i : i+1])
		}
		return
	}
	for _, item := range items {
		item.committed <- result.Status == Done
	}
}

func (g *WriteBatcher) commit(items []*pendingPut) Result {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var txn Txn
	seen := make(map[string]int, len(items))
	for _, item := range items {
		if at, again := seen[item.put.Key]; again {
			txn.Puts[at] = item.put // of two writes of one item the later one counts
			continue
		}
		seen[item.put.Key] = len(txn.Puts)
		txn.Puts = append(txn.Puts, item.put)
	}
	return g.Store.Commit(ctx, txn)
}
