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

// deposit adds percent/100 of an extra call for a call that was made. For the time since the last deposit it also adds
// extra calls at a fixed rate, which the parameter floor gives in extra calls per second. The balance is at most limit.
// A budget with a floor above 0 starts out full.
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
