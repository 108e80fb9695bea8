package berylcall

import (
	"sync"
	"time"
)

// budget lets a share of calls be followed by an extra one; its zero value is empty.
type budget struct {
	mu     sync.Mutex
	saved  float64
	filled time.Time
}

// earn adds percent of a call, and floor calls for each second since the last one, up to limit calls in all. A budget
// with a floor begins full.
func (b *budget) earn(now time.Time, percent, floor, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled.IsZero() {
		b.saved += floor * now.Sub(b.filled).Seconds()
	} else if floor > 0 {
		b.saved = limit
	}
	b.filled = now
	b.saved = min(b.saved+percent/100, limit)
}

// spend takes one call from the budget and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// refund gives back what spend took for a call that was not made.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved++
}
