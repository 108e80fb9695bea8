package berylfake

import (
	"container/list"
	"sync"
	"time"
)

// batchModel models the cost of continuous batching: each token takes longer the more requests run. It also keeps the
// recent history of the load, from which it reports the load with a lag.
type batchModel struct {
	mu      sync.Mutex
	running int
	history []loadPoint
}

// loadPoint records the number of running requests from one moment on.
type loadPoint struct {
	at      time.Time
	running int
}

// addRunning changes the number of running requests by the given amount.
func (b *batchModel) addRunning(by int, now time.Time, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += by
	b.history = append(b.history, loadPoint{at: now, running: b.running})
	b.prune(now.Add(-lag))
}

// prune drops the history before the reported moment, except the last point, which still holds at that moment.
func (b *batchModel) prune(reported time.Time) {
	old := 0
	for old+1 < len(b.history) && !b.history[old+1].at.After(reported) {
		old++
	}
	b.history = b.history[old:]
}

// laggedLoad returns the number of requests that ran at the time now minus lag.
func (b *batchModel) laggedLoad(now time.Time, lag time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now.Add(-lag))
	if len(b.history) == 0 || b.history[0].at.After(now.Add(-lag)) {
		return 0
	}
	return b.history[0].running
}

// tokenTime returns the time to generate one token under the current load.
func (b *batchModel) tokenTime(token time.Duration, growth float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := max(b.running-1, 0)
	return time.Duration(float64(token) * (1 + growth*float64(others)))
}

// prefixCache models an engine's prefix cache as an LRU set of prompt prefixes.
type prefixCache struct {
	mu      sync.Mutex
	order   *list.List
	entries map[string]*list.Element
}

// touch reports whether the prefix was cached, and marks it as the most recently used one.
func (c *prefixCache) touch(prefix string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.order = list.New()
		c.entries = make(map[string]*list.Element)
	}
	if e, hit := c.entries[prefix]; hit {
		c.order.MoveToFront(e)
		return true
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.entries, oldest.Value.(string))
	}
	return false
}
