package berylonce

import (
	"context"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryletcd"
)

const (
	// leaseUsePeriod is how long one lease takes new records.
	leaseUsePeriod = time.Hour
	// leaseGrantAhead is how long before the end of a period the next lease is granted.
	leaseGrantAhead = 5 * time.Minute
	// leaseSlack is added to a lease's life for clocks and slow calls.
	leaseSlack = 10 * time.Minute
)

// leaseProvider hands out the lease that new records hang on: one an hour and host, not one a key. It outlives the last record
// put on it by the retention.
type leaseProvider struct {
	store     Store
	retention time.Duration

	mu          sync.Mutex
	id          int64
	usableUntil time.Time
	granted     chan struct{}
	granting    bool
}

// current returns a lease for a new record, or false when none can be had. At most one grant is under way at a time.
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

// grantLocked asks for a new lease; it is called with the lock held and lets go of it.
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

// grantAhead grants the next lease when the present one is about to stop taking records.
func (l *leaseProvider) grantAhead(ctx context.Context) {
	l.mu.Lock()
	if l.granting || time.Now().Add(leaseGrantAhead).Before(l.usableUntil) {
		l.mu.Unlock()
		return
	}
	l.grantLocked(ctx)
}

// invalidate forgets a lease that the service no longer knows.
func (l *leaseProvider) invalidate(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.usableUntil = time.Time{}
	}
}
