package berylfake

import (
	"container/list"
	"sync"
	"time"
)

// batchModel models continuous batching: the more runs, the longer each token takes.
type batchModel struct {
	mu      sync.Mutex
	running int
	history []loadPoint
}

type loadPoint struct {
	at      time.Time
	running int
}

// enter adds a run and returns how many there are.
func (b *batchModel) addRunning(by int, now time.Time, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += by
	b.history = append(b.history, loadPoint{at: now, running: b.running})
	b.prune(now.Add(-lag))
}

// prune drops the points that the late report no longer needs: all but the last one before the moment reported.
func (b *batchModel) prune(reported time.Time) {
	old := 0
	for old+1 < len(b.history) && !b.history[old+1].at.After(reported) {
		old++
	}
	b.history = b.history[old:]
}

// laggedLoad returns the load as it was lag ago.
func (b *batchModel) laggedLoad(now time.Time, lag time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now.Add(-lag))
	if len(b.history) == 0 || b.history[0].at.After(now.Add(-lag)) {
		return 0
	}
	return b.history[0].running
}

// tokenTime returns how long one token takes now.
func (b *batchModel) tokenTime(token time.Duration, growth float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := max(b.running-1, 0)
	return time.Duration(float64(token) * (1 + growth*float64(others)))
}

// prefixCache remembers the prompts' first blocks, least recently used out first.
type prefixCache struct {
	mu      sync.Mutex
	order   *list.List
	entries map[string]*list.Element
}

// touch reports whether the prefix was cached, and caches it.
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
