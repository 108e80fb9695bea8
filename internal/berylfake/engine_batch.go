package berylfake

import (
	"container/list"
	"sync"
	"time"
)

// batcher models continuous batching: the more runs, the longer each token takes.
type batcher struct {
	mu      sync.Mutex
	running int
	history []loadPoint
}

type loadPoint struct {
	at      time.Time
	running int
}

// enter adds a run and returns how many there are.
func (b *batcher) change(by int, now time.Time, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += by
	b.history = append(b.history, loadPoint{at: now, running: b.running})
	b.prune(now.Add(-lag))
}

// prune drops the points that the late report no longer needs: all but the last one before the moment reported.
func (b *batcher) prune(reported time.Time) {
	old := 0
	for old+1 < len(b.history) && !b.history[old+1].at.After(reported) {
		old++
	}
	b.history = b.history[old:]
}

// reported returns the load as it was lag ago.
func (b *batcher) reported(now time.Time, lag time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now.Add(-lag))
	if len(b.history) == 0 || b.history[0].at.After(now.Add(-lag)) {
		return 0
	}
	return b.history[0].running
}

// step returns how long one token takes now.
func (b *batcher) step(token time.Duration, growth float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := max(b.running-1, 0)
	return time.Duration(float64(token) * (1 + growth*float64(others)))
}

// prefixCache remembers the prompts' first blocks, least recently used out first.
type prefixCache struct {
	mu    sync.Mutex
	order *list.List
	known map[string]*list.Element
}

// touch reports whether the prefix was cached, and caches it.
func (c *prefixCache) touch(prefix string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.order = list.New()
		c.known = make(map[string]*list.Element)
	}
	if e, hit := c.known[prefix]; hit {
		c.order.MoveToFront(e)
		return true
	}
	c.known[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.known, oldest.Value.(string))
	}
	return false
}
