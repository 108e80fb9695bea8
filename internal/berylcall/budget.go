package berylcall

import (
	"sync"
	"time"
)

// budget limits extra calls (hedges or retries) to a share of all calls. Its zero value is empty.
type budget struct {
	mu         sync.Mutex
	balance    float64
	refilledAt time.Time
}

// deposit adds percent/100 of an extra call for a call that was made, and floor extra calls for each second since the
// last deposit, up to limit in all. A budget with a floor starts out full.
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

// tryWithdraw takes one extra call from the budget and reports whether there was one.
func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refund returns what tryWithdraw took for an extra call that was not made.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance++
}
