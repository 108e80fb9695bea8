package berylcall

import (
	"sync"
	"time"
)

// budget lets a share of calls be followed by an extra one; its zero value is empty.
type budget struct {
	mu         sync.Mutex
	balance    float64
	refilledAt time.Time
}

// deposit adds percent of a call, and floor calls for each second since the last one, up to limit calls in all. A budget
// with a floor begins full.
func (b *budget) deposit(now time.Time, percent, floor, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() {
		b.balance += floor * now.Sub(b.refilledAt).Seconds()
	} else if floor > 0 {
		b.balance = limit
	}
	b.refilledAt = now
	b.balance = min(b.balance+percent/100, limit)
}

// tryWithdraw takes one call from the budget and reports whether there was one.
func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refund gives back what spend took for a call that was not made.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance++
}
