package berylbatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

// dispatch asks for permits for the items that wait.
func (d *Manager) dispatch(ctx context.Context) {
	ticker := time.NewTicker(dispatchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-ticker.C:
			d.giveUpOld(time.Now())
		}
		d.ask(time.Now())
	}
}

// ask starts as many asks for permits as there are items to run.
func (d *Manager) ask(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return
	}
	most := min(max(fleetAsking/max(d.Members.Count(), 1), leastAsking), maxAsking)
	for service, waiting := range d.waiting(now) {
		for d.asking[service] < min(waiting, most) {
			d.asking[service]++
			d.items.Go(func() { d.serve(d.work, service) })
		}
	}
}

// waiting counts the items that could run, by service.
func (d *Manager) waiting(now time.Time) map[string]int {
	counts := make(map[string]int)
	d.runnable(now, func(it *item, route *berylroute.Route) { counts[route.Service(it.ID)]++ })
	return counts
}

// runnable visits the items that could run now; the caller holds mu.
func (d *Manager) runnable(now time.Time, visit func(it *item, route *berylroute.Route)) {
	config := d.Routes.Get()
	if config == nil {
		return
	}
	for _, j := range d.jobs {
		if !j.running() || !j.record.Open() {
			continue
		}
		route := config.Match(j.record.Host, j.record.Path)
		if route == nil || route.Kind != berylroute.Batch {
			continue
		}
		for _, it := range j.items {
			if it.runnable(now) {
				visit(it, route)
			}
		}
	}
}

func (it *item) runnable(now time.Time) bool {
	return !it.ended && !it.running && !now.Before(it.notBefore)
}

// serve waits for one permit and runs the most urgent item under it.
func (d *Manager) serve(ctx context.Context, service string) {
	permit, refusal := d.Permits.Acquire(ctx, berylpermit.Request{
		Target:    service,
		Avoid:     d.Fleet.LeavingIDs(service),
		Class:     berylpermit.Batch,
		Remaining: askTime,
		Queue:     true,
	})
	if refusal != nil {
		pause(ctx, itemBackoff)
		d.mu.Lock()
		d.asking[service]--
		d.mu.Unlock()
		return
	}
	it, calling, cancel := d.pick(ctx, service)
	if it == nil {
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		return
	}
	defer cancel(nil)
	d.nudge(d.wake)
	d.runItem(calling, cancel, it, permit)
	d.nudge(d.wake)
}

// pick takes the most urgent item of a service and marks it as running.
func (d *Manager) pick(ctx context.Context, service string) (*item, context.Context, context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asking[service]--
	if d.stopping {
		return nil, nil, nil
	}
	var best candidate
	now := time.Now()
	d.runnable(now, func(it *item, route *berylroute.Route) {
		if route.Service(it.ID) != service {
			return
		}
		due := it.job.record.submitted().Add(route.CompletionTarget)
		c := candidate{item: it, due: due, late: now.Add(d.pace.rest(it)).After(due)}
		if best.item == nil || c.before(&best) {
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
	// late marks an item that can't be done by its due time any more.
	late bool
}

// before orders items: those that can still be done in time go first, so that one job that can't is not followed by all
// others; then what is due first, and of that what has got furthest.
func (c *candidate) before(other *candidate) bool {
	if c.late != other.late {
		return !c.late
	}
	if !c.due.Equal(other.due) {
		return c.due.Before(other.due)
	}
	return c.item.events > other.item.events
}

// giveUpOld abandons the items whose retention is over or whose route is gone.
func (d *Manager) giveUpOld(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Routes.Get() == nil {
		return
	}
	for _, j := range d.jobs {
		if !j.running() || !j.record.Open() {
			continue
		}
		route := d.routeOf(j)
		if route != nil && (route.Retention == 0 || now.Before(j.record.submitted().Add(route.Retention+retentionMargin))) {
			continue
		}
		for _, it := range j.items {
			if !it.ended && !it.running {
				d.Log.WithFields(logrus.Fields{"job": j.id, "item": it.ID, "route-gone": route == nil}).Warn("item: given up")
				d.list(it, Abandoned)
			}
		}
	}
}
