package berylonce

import (
	"context"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryletcd"
)

const (
	// leaseUsePeriod is how long new records are attached to one lease.
	leaseUsePeriod = time.Hour
	// leaseGrantAhead is how long before the end of that period the next lease is granted.
	leaseGrantAhead = 5 * time.Minute
	// leaseSlack is added to a lease's time to live to allow for clock differences and slow calls.
	leaseSlack = 10 * time.Minute
)

// leaseProvider provides the lease that new records are attached to. Records share one lease per hour and host, so that
// leases cost few calls. A lease lives long enough to keep the last record attached to it for the retention time.
type leaseProvider struct {
	store     Store
	retention time.Duration

	mu          sync.Mutex
	id          int64
	usableUntil time.Time
	granted     chan struct{}
	granting    bool
}

// current returns a lease for a new record, or false when none can be had. Concurrent callers wait for the same grant.
func (l *leaseProvider) current(ctx context.Context) (int64, bool) {
	l.mu.Lock()
	if time.Now().Before(l.usableUntil) {
		defer l.mu.Unlock()
		return l.id, true
	}
	if !l.granting {
		return l.grantLocked(ctx)
	}
	granted := l.granted
	l.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, time.Now().Before(l.usableUntil)
}

// grantLocked asks the service for a new lease. It is called with the lock held and releases it.
func (l *leaseProvider) grantLocked(ctx context.Context) (int64, bool) {
	l.granting, l.granted = true, make(chan struct{})
	l.mu.Unlock()
	lease := l.store.Grant(ctx, l.retention+leaseUsePeriod+leaseSlack)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease.Status == beryletcd.Done {
		l.id, l.usableUntil = lease.ID, time.Now().Add(leaseUsePeriod)
	}
	l.granting = false
	close(l.granted)
	return l.id, time.Now().Before(l.usableUntil)
}

// grantAhead grants the next lease when the current one is about to stop taking records.
func (l *leaseProvider) grantAhead(ctx context.Context) {
	l.mu.Lock()
	if l.granting || time.Now().Add(leaseGrantAhead).Before(l.usableUntil) {
		l.mu.Unlock()
		return
	}
	l.grantLocked(ctx)
}

// invalidate stops the use of a lease that the service no longer knows.
func (l *leaseProvider) invalidate(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.usableUntil = time.Time{}
	}
}
