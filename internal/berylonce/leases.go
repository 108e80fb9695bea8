package berylonce

import (
	"context"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryletcd"
)

const (
	// leasePeriod is how long one lease takes new records.
	leasePeriod = time.Hour
	// leaseAhead is how long before the end of a period the next lease is granted.
	leaseAhead = 5 * time.Minute
	// leaseSlack is added to a lease's life for clocks and slow calls.
	leaseSlack = 10 * time.Minute
)

// leases hands out the lease that new records hang on: one an hour and host, not one a key. It outlives the last record
// put on it by the retention.
type leases struct {
	store     Store
	retention time.Duration

	mu      sync.Mutex
	id      int64
	until   time.Time
	granted chan struct{}
	running bool
}

// current returns a lease for a new record, or false when none can be had. At most one grant is under way at a time.
func (l *leases) current(ctx context.Context) (int64, bool) {
	l.mu.Lock()
	if time.Now().Before(l.until) {
		defer l.mu.Unlock()
		return l.id, true
	}
	if !l.running {
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
	return l.id, time.Now().Before(l.until)
}

// grantLocked asks for a new lease; it is called with the lock held and lets go of it.
func (l *leases) grantLocked(ctx context.Context) (int64, bool) {
	l.running, l.granted = true, make(chan struct{})
	l.mu.Unlock()
	lease := l.store.Grant(ctx, l.retention+leasePeriod+leaseSlack)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease.Status == beryletcd.Done {
		l.id, l.until = lease.ID, time.Now().Add(leasePeriod)
	}
	l.running = false
	close(l.granted)
	return l.id, time.Now().Before(l.until)
}

// renewAhead grants the next lease when the present one is about to stop taking records.
func (l *leases) renewAhead(ctx context.Context) {
	l.mu.Lock()
	if l.running || time.Now().Add(leaseAhead).Before(l.until) {
		l.mu.Unlock()
		return
	}
	l.grantLocked(ctx)
}

// drop forgets a lease that the service no longer knows.
func (l *leases) drop(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.until = time.Time{}
	}
}
