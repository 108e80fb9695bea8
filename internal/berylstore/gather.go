package berylstore

import (
	"context"
	"sync"
	"time"
)

const (
	// gatherWait is how long items wait for others before they are written together.
	gatherWait = 400 * time.Millisecond
	// gatherPuts and gatherBytes bound one change, below the store's limits for entries and for a body.
	gatherPuts  = 30
	gatherBytes = 700 << 10
	// gatherTimeout bounds the writing of one change, and gatherAsk with it the way to the host that writes it.
	gatherTimeout = time.Second
	gatherAsk     = gatherWait + gatherTimeout + 300*time.Millisecond
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
	waiting []*gathered
}

// gathered is an item that waits to be written.
type gathered struct {
	put   Put
	ended chan bool
}

// Put writes an item; it returns true once the store has taken it. A host that can't reach the one that writes for it
// writes itself.
func (g *WriteBatcher) Put(ctx context.Context, put Put) bool {
	if host := g.Writer(); host != "" {
		bounded, cancel := context.WithTimeout(ctx, gatherAsk)
		defer cancel()
		done, err := g.Forward(bounded, host, put)
		if err == nil {
			return done
		}
		return ctx.Err() == nil && g.commit([]*gathered{{put: put}}).Status == Done
	}
	return g.Add(ctx, put)
}

// Add writes an item together with those of other hosts that come within a moment.
func (g *WriteBatcher) Add(ctx context.Context, put Put) bool {
	item := &gathered{put: put, ended: make(chan bool, 1)}
	g.mu.Lock()
	g.waiting = append(g.waiting, item)
	if len(g.waiting) == 1 {
		time.AfterFunc(gatherWait, g.flush)
	}
	g.mu.Unlock()
	select {
	case done := <-item.ended:
		return done
	case <-ctx.Done():
		return false
	}
}

// flush writes what has gathered.
func (g *WriteBatcher) flush() {
	g.mu.Lock()
	waiting := g.waiting
	g.waiting = nil
	g.mu.Unlock()
	for len(waiting) > 0 {
		count, size := 0, 0
		for count < min(len(waiting), gatherPuts) && (count == 0 || size+len(waiting[count].put.Value) <= gatherBytes) {
			size += len(waiting[count].put.Value)
			count++
		}
		g.write(waiting[:count])
		waiting = waiting[count:]
	}
}

// write writes items in one change, or each by itself where the lease of one of them has ended.
func (g *WriteBatcher) write(items []*gathered) {
	result := g.commit(items)
	if result.Status == LeaseGone && len(items) > 1 {
		for i := range items {
			g.write(items[i : i+1])
		}
		return
	}
	for _, item := range items {
		item.ended <- result.Status == Done
	}
}

func (g *WriteBatcher) commit(items []*gathered) Result {
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
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
