package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// dispatchLoop asks for permits for the items that wait.
func (m *Manager) dispatchLoop(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wakeDispatch:
		case <-ticker.C:
			m.abandonExpired(time.Now())
		}
		m.requestPermits(time.Now())
	}
}

// requestPermits starts as many asks for permits as there are items to run.
func (m *Manager) requestPermits(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	most := min(max(fleetPendingPermits/max(m.Members.Count(), 1), minPendingPermits), maxPendingPermits)
	for service, waiting := range m.countRunnable(now) {
		for m.pendingPermits[service] < min(waiting, most) {
			m.pendingPermits[service]++
			m.items.Go(func() { m.runNext(m.itemContext, service) })
		}
	}
}

// countRunnable counts the items that could run, by service.
func (m *Manager) countRunnable(now time.Time) map[string]int {
	counts := make(map[string]int)
	m.forEachRunnable(now, func(it *item, route *berylroute.Route) { counts[route.Service(it.ID)]++ })
	return counts
}

// forEachRunnable visits the items that could run now; the caller holds mu.
func (m *Manager) forEachRunnable(now time.Time, visit func(it *item, route *berylroute.Route)) {
	config := m.Routes.Get()
	if config == nil {
		return
	}
	for _, j := range m.jobs {
		if !j.isRunningHere() || !j.record.Open() {
			continue
		}
		route := config.Match(j.record.Host, j.record.Path)
		if route == nil || route.Kind != berylroute.Batch {
			continue
		}
		for _, it := range j.items {
			if it.isRunnable(now) {
				visit(it, route)
			}
		}
	}
}

func (it *item) isRunnable(now time.Time) bool {
	return !it.ended && !it.running && !now.Before(it.notBefore)
}

// runNext waits for one permit and runs the most urgent item under it.
func (m *Manager) runNext(ctx context.Context, service string) {
	permit, refusal := m.Permits.Acquire(ctx, berylpermit.Request{
		Target:    service,
		Avoid:     m.Fleet.LeavingIDs(service),
		Class:     berylpermit.Batch,
		Remaining: permitTimeout,
		Queue:     true,
	})
	if refusal != nil {
		pause(ctx, itemBackoff)
		m.mu.Lock()
		m.pendingPermits[service]--
		m.mu.Unlock()
		return
	}
	it, calling, cancel := m.pickItem(ctx, service)
	if it == nil {
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		return
	}
	defer cancel(nil)
	m.signal(m.wakeDispatch)
	m.runItem(calling, cancel, it, permit)
	m.signal(m.wakeDispatch)
}

// pickItem takes the most urgent item of a service and marks it as running.
func (m *Manager) pickItem(ctx context.Context, service string) (*item, context.Context, context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingPermits[service]--
	if m.stopping {
		return nil, nil, nil
	}
	var best candidate
	now := time.Now()
	m.forEachRunnable(now, func(it *item, route *berylroute.Route) {
		if route.Service(it.ID) != service {
			return
		}
		due := it.job.record.submitted().Add(route.CompletionTarget)
		c := candidate{item: it, due: due, missesDue: now.Add(m.estimator.remaining(it)).After(due)}
		if best.item == nil || c.isMoreUrgent(&best) {
			best = c
		}
	})
	if best.item == nil {
		return nil, nil, nil
	}
	calling, cancel := context.WithCancelCause(ctx)
	best.item.running, best.item.cancel = true, cancel
	return best.item, calling, cancel
}

// candidate is an item that could run now.
type candidate struct {
	item *item
	due  time.Time
	// missesDue marks an item that can't be done by its due time any more.
	missesDue bool
}

// isMoreUrgent orders items: those that can still be done in time go first, so that one job that can't is not followed by all
// others; then what is due first, and of that what has got furthest.
func (c *candidate) isMoreUrgent(other *candidate) bool {
	if c.missesDue != other.missesDue {
		return !c.missesDue
	}
	if !c.due.Equal(other.due) {
		return c.due.Before(other.due)
	}
	return c.item.events > other.item.events
}

// abandonExpired abandons the items whose retention is over or whose route is gone.
func (m *Manager) abandonExpired(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Routes.Get() == nil {
		return
	}
	for _, j := range m.jobs {
		if !j.isRunningHere() || !j.record.Open() {
			continue
		}
		route := m.routeOf(j)
		if route != nil && (route.Retention == 0 || now.Before(j.record.submitted().Add(route.Retention+retentionMargin))) {
			continue
		}
		for _, it := range j.items {
			if !it.ended && !it.running {
				m.Log.WithFields(logrus.Fields{"job": j.id, "item": it.ID, "route-gone": route == nil}).Warn("item: given up")
				m.finishItem(it, Abandoned)
			}
		}
	}
}
