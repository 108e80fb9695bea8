package beryllimit

import (
	"context"
	"time"
)

// runWindowed reports unspent leases and debts to the owners, and notes changes of owners, until ctx ends.
func (l *Limiter) runWindowed(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	evictAt := time.Now().Add(renewInterval)
	l.checkOwnership(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		l.checkOwnership(now)
		for _, h := range l.unsettled(now) {
			l.renewAhead(h)
		}
		if now.After(evictAt) {
			l.evictWindowed(now)
			evictAt = now.Add(renewInterval)
		}
	}
}

// unsettled returns the holdings whose owners should be told of unspent requests or debts.
func (l *Limiter) unsettled(now time.Time) []*lockedHolding {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*lockedHolding
	for _, h := range l.holdings {
		h.mu.Lock()
		if h.needsSettlement(now) {
			list = append(list, h)
		}
		h.mu.Unlock()
	}
	return list
}

// evictWindowed drops the state of windowed accounts without recent requests.
func (l *Limiter) evictWindowed(now time.Time) {
	l.mu.Lock()
	for name, h := range l.holdings {
		h.mu.Lock()
		if h.idle(now) && h.waiting == 0 {
			delete(l.holdings, name)
		}
		h.mu.Unlock()
	}
	l.mu.Unlock()
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	for name, g := range l.ownership.ledgers {
		if g.evict(now) {
			delete(l.ownership.ledgers, name)
		}
	}
}
