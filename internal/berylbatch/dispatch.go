package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// dispatchLoop requests permits for runnable items and abandons expired ones until ctx ends.
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

// requestPermits starts a permit request for each runnable item, up to a maximum per service that shrinks as the fleet
// grows.
func (m *Manager) requestPermits(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	limit := min(max(fleetPendingPermits/max(m.Members.Count(), 1), minPendingPermits), maxPendingPermits)
	for service, runnable := range m.countRunnable(now) {
		for m.pendingPermits[service] < min(runnable, limit) {
			m.pendingPermits[service]++
			m.items.Go(func() { m.runNext(m.itemContext, service) })
		}
	}
}

// countRunnable returns the number of runnable items by service; the caller holds mu.
func (m *Manager) countRunnable(now time.Time) map[string]int {
	counts := make(map[string]int)
	m.forEachRunnable(now, func(it *item, route *berylroute.Route) { counts[route.Service(it.ID)]++ })
	return counts
}

// forEachRunnable calls visit with each item that could start now; the caller holds mu.
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
			if it.isRunnable(now) && !m.Quarantine.HoldsBack(it.prompt()) {
				visit(it, route)
			}
		}
	}
}

func (it *item) isRunnable(now time.Time) bool {
	return !it.ended && !it.running && !now.Before(it.notBefore)
}

// runNext waits for one permit and then runs the item that is most urgent at that time.
func (m *Manager) runNext(ctx context.Context, service string) {
	permit, refusal := m.Permits.Acquire(ctx, berylpermit.Request{
		Target:    service,
		Avoid:     m.Upstreams.LeavingIDs(service),
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
	it, callCtx, cancel := m.pickItem(ctx, service)
	if it == nil {
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		return
	}
	defer cancel(nil)
	m.signal(m.wakeDispatch)
	m.runItem(callCtx, cancel, it, permit)
	m.signal(m.wakeDispatch)
}

// pickItem selects the most urgent runnable item of a service and marks it as running. It returns the context of the
// item's call and the function that cancels it, or a nil item if there is nothing to run.
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
	callCtx, cancel := context.WithCancelCause(ctx)
	best.item.running, best.item.cancel = true, cancel
	return best.item, callCtx, cancel
}

// candidate is a runnable item with the values that order it.
type candidate struct {
	item *item
	// due is the job's submission time plus the route's completion target.
	due time.Time
	// missesDue is set if the item is predicted to complete after its due time even when it starts now.
	missesDue bool
}

// isMoreUrgent reports whether c runs before other. Items that can still complete by their due time go first, so that a
// job which is late anyway does not make all others late. Then the earlier due time goes first, then the item that has
// received more events.
func (c *candidate) isMoreUrgent(other *candidate) bool {
	if c.missesDue != other.missesDue {
		return !c.missesDue
	}
	if !c.due.Equal(other.due) {
		return c.due.Before(other.due)
	}
	return c.item.events > other.item.events
}

// abandonExpired abandons items whose retention is over or whose route was removed, unless they are in flight.
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
