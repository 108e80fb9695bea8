package beryllimit

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// Run tells owners of ended requests, renews held slots and forgets idle callers until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case caller := <-l.returns:
			_ = l.renew(ctx, caller) // The quota has noted the failure.
		case <-ticker.C:
			l.renewAll(ctx)
			l.forget(time.Now())
		}
	}
}

// renewAll renews the quotas that hold slots; an owner that does not answer is asked once only.
func (l *Limiter) renewAll(ctx context.Context) {
	document := l.config.Document()
	if document == nil {
		return
	}
	silent := make(map[string]bool)
	for i := range document.Inventory.Callers {
		caller := &document.Inventory.Callers[i]
		if caller.Concurrent == 0 || ctx.Err() != nil {
			continue
		}
		owner := Owner(caller.Name, l.config.LiveHosts())
		if !silent[owner] && l.renew(ctx, caller) != nil {
			silent[owner] = true
		}
	}
}

// renew sets what this host holds at the owner to what is in use.
func (l *Limiter) renew(ctx context.Context, caller *berylconf.Caller) error {
	l.mu.RLock()
	p := l.quotas[caller.Name]
	l.mu.RUnlock()
	if p == nil {
		return nil
	}
	select {
	case p.asking <- struct{}{}:
	default:
		return nil // A request that is asking tells the owner itself.
	}
	defer func() { <-p.asking }()
	p.mu.Lock()
	holds := p.holdsSlots()
	ask := p.surplus()
	p.mu.Unlock()
	if !holds {
		return nil
	}
	grant, err := l.send(ctx, caller.Name, ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.settle(&p.quota, ask, grant, err)
	return err
}

// forget drops the state of callers that have been silent for long.
func (l *Limiter) forget(now time.Time) {
	l.mu.Lock()
	for name, p := range l.quotas {
		p.mu.Lock()
		if p.idle(now) {
			delete(l.quotas, name)
		}
		p.mu.Unlock()
	}
	l.mu.Unlock()
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	for name, a := range l.accounts {
		if now.After(a.keep) {
			delete(l.accounts, name)
		}
	}
}
