package beryllimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Run returns released slots to their owners, renews slot leases and evicts idle accounts until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	if l.config.Owners != nil {
		var windowed sync.WaitGroup
		windowed.Go(func() { l.runWindowed(ctx) })
		defer windowed.Wait()
	}
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-l.returns:
			_ = l.renew(ctx, name) // On an error the quota has fallen back to its share.
		case <-ticker.C:
			l.renewAll(ctx)
			l.evictIdle(time.Now())
		}
	}
}

// renewAll renews the slot leases of all accounts. After an owner has failed to answer it skips that owner's other
// accounts, so that one frozen host costs one timeout.
func (l *Limiter) renewAll(ctx context.Context) {
	unresponsive := make(map[string]bool)
	for _, name := range l.quotaNames() {
		account, known := l.config.Account(name)
		if !known || account.Concurrent == 0 || ctx.Err() != nil {
			continue
		}
		owner := Owner(name, l.config.LiveHosts())
		if !unresponsive[owner] && l.renew(ctx, name) != nil {
			unresponsive[owner] = true
		}
	}
}

func (l *Limiter) quotaNames() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.quotas))
}

// renew sets this host's slot lease at the owner to the number of slots in use.
func (l *Limiter) renew(ctx context.Context, name string) error {
	l.mu.RLock()
	q := l.quotas[name]
	l.mu.RUnlock()
	if q == nil {
		return nil
	}
	select {
	case q.requesting <- struct{}{}:
	default:
		return nil // A lease request is in flight and renews the slots itself.
	}
	defer func() { <-q.requesting }()
	q.mu.Lock()
	hasSlots := q.holdsSlots()
	req := q.returnUnusedSlots()
	q.mu.Unlock()
	if !hasSlots {
		return nil
	}
	grant, err := l.requestLease(ctx, name, req)
	q.mu.Lock()
	defer q.mu.Unlock()
	l.applyGrant(&q.quota, req, grant, err)
	return err
}

// evictIdle drops the state of accounts without recent requests.
func (l *Limiter) evictIdle(now time.Time) {
	l.mu.Lock()
	for name, q := range l.quotas {
		q.mu.Lock()
		if q.idle(now) {
			delete(l.quotas, name)
		}
		q.mu.Unlock()
	}
	l.mu.Unlock()
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	for name, a := range l.accounts {
		if now.After(a.retainUntil) {
			delete(l.accounts, name)
		}
	}
}
