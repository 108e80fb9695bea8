package berylbatch

import (
	"context"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/berylconf"
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
	runnable := m.findRunnable(now)
	pending := make(map[string]int) // by the scheduler's name of the target
	for target, n := range m.pendingPermits {
		pending[target.name()] += n
	}
	// Accounts take turns. Each of them may have one request, so that requests which wait long do not keep out the others.
	for turn := range limit {
		for target, demand := range runnable {
			n := m.pendingPermits[target]
			if n > turn || n >= demand.items || n > 0 && pending[target.name()] >= limit {
				continue
			}
			m.pendingPermits[target]++
			pending[target.name()]++
			m.items.Go(func() { m.runNext(m.itemContext, target, demand.meanPrompt()) })
		}
	}
}

// permitTarget says which upstreams a permit is requested for and for whom. The upstreams are those of a service or, if pinned is
// set, those of them that are of one software version.
type permitTarget struct {
	service, version string
	pinned           bool
	payer
}

// payer says for which account, and with which priority, items run. Without accounts it is zero.
type payer struct {
	account  string
	priority int
}

// payerOf returns the payer of an item. An account that is no longer configured has the route's priority. The caller holds mu.
func payerOf(it *item, route *berylroute.Route, accounts *berylaccount.Directory) payer {
	if accounts == nil {
		return payer{}
	}
	return payer{account: it.account, priority: route.PriorityOf(accounts.ByName(it.account))}
}

// accounts returns the accounts of the configuration in force, or nil.
func (m *Manager) accounts() *berylaccount.Directory {
	if config := m.Routes.Get(); config != nil {
		return config.Accounts
	}
	return nil
}

// demand describes the runnable items of a target.
type demand struct {
	items, promptTokens int
}

// meanPrompt returns the mean length of the prompts in tokens. Which item a permit is used for is chosen when it is granted.
func (d demand) meanPrompt() int {
	return d.promptTokens / max(d.items, 1)
}

// name returns the scheduler's name of the target.
func (t permitTarget) name() string {
	if !t.pinned {
		return t.service
	}
	return berylconf.VersionTarget(t.service, t.version)
}

// findRunnable describes the runnable items by target; the caller holds mu.
func (m *Manager) findRunnable(now time.Time) map[permitTarget]demand {
	found := make(map[permitTarget]demand)
	slots := make(map[string]map[string]int)
	accounts := m.accounts()
	m.forEachRunnable(now, func(it *item, route *berylroute.Route) {
		service := it.service(route)
		if slots[service] == nil {
			slots[service] = m.Upstreams.VersionSlots(service)
		}
		target := it.target(service, slots[service])
		target.payer = payerOf(it, route, accounts)
		d := found[target]
		d.items++
		if accounts != nil {
			d.promptTokens += it.PromptTokens
		}
		found[target] = d
	})
	return found
}

// service returns the service that runs the item next. Text of a service to which the route no longer leads is dropped. The caller
// holds mu.
func (it *item) service(route *berylroute.Route) string {
	if it.events > 0 && slices.Contains(route.Services(), it.origin.Service) {
		return it.origin.Service
	}
	it.discardText()
	return route.Service(it.ID)
}

// target returns the target of the item's next call. slots holds the slots of the service by software version. Text of a
// version that has left is dropped, since nothing can go on with it. The caller holds mu.
func (it *item) target(service string, slots map[string]int) permitTarget {
	if it.events == 0 || len(slots) == 0 {
		return permitTarget{service: service}
	}
	if slots[it.origin.Version] == 0 {
		it.discardText()
		return permitTarget{service: service}
	}
	return permitTarget{service: service, version: it.origin.Version, pinned: len(slots) > 1}
}

// forEachRunnable calls visit with each item that could start now; the caller holds mu.
func (m *Manager) forEachRunnable(now time.Time, visit func(it *item, route *berylroute.Route)) {
	config := m.Routes.Copy()
	for _, j := range m.jobs {
		if !j.isRunningHere() || !j.record.Open() {
			continue
		}
		route := routeIn(config.Config, j)
		for _, it := range j.items {
			if it.isWaiting(now) && m.decide(it, config, route, now) == runItem && !m.Quarantine.HoldsBack(it.prompt) {
				visit(it, route)
			}
		}
	}
}

// isWaiting reports whether the item waits for its next call and its backoff is over.
func (it *item) isWaiting(now time.Time) bool {
	return !it.ended && !it.running && !now.Before(it.notBefore)
}

// runNext waits for one permit and then runs the item that is most urgent at that time.
func (m *Manager) runNext(ctx context.Context, target permitTarget, promptTokens int) {
	permit, refusal := m.Permits.Acquire(ctx, berylpermit.Request{
		Target:       target.name(),
		Avoid:        m.Upstreams.LeavingIDs(target.service),
		Class:        berylpermit.Batch,
		Remaining:    permitTimeout,
		Queue:        true,
		Account:      target.account,
		Priority:     target.priority,
		PromptTokens: promptTokens,
	})
	if refusal != nil {
		pause(ctx, itemBackoff)
		m.mu.Lock()
		m.endPending(target)
		m.mu.Unlock()
		return
	}
	upstream, _ := m.Upstreams.Get(permit.Upstream) // runItem checks whether it is known
	it, callCtx, cancel := m.pickItem(ctx, target, upstream.Version)
	if it == nil {
		permit.Release(berylpermit.Report{Kind: beryloutcome.NotRun})
		return
	}
	defer cancel(nil)
	m.signal(m.wakeDispatch)
	m.runItem(callCtx, cancel, it, permit)
	m.signal(m.wakeDispatch)
}

// pickItem selects the most urgent runnable item that an upstream of the given software version can run or go on with, and
// marks it as running. It returns the context of the
// item's call and the function that cancels it, or a nil item if there is nothing to run.
func (m *Manager) pickItem(ctx context.Context, target permitTarget, version string) (*item, context.Context, context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endPending(target)
	if m.stopping {
		return nil, nil, nil
	}
	var best candidate
	now := time.Now()
	accounts := m.accounts()
	m.forEachRunnable(now, func(it *item, route *berylroute.Route) {
		if payerOf(it, route, accounts) != target.payer || it.service(route) != target.service || it.events > 0 && it.origin.Version != version {
			return
		}
		due := it.job.record.submitted().Add(route.CompletionTarget)
		c := candidate{item: it, due: due, missesDue: now.Add(m.estimator.remaining(it)).After(due), turn: m.turns[target.service].at(it.account)}
		if best.item == nil || c.isMoreUrgent(&best) {
			best = c
		}
	})
	if best.item == nil {
		return nil, nil, nil
	}
	turns := m.turns[target.service]
	if turns == nil {
		turns = &accountTurns{}
		m.turns[target.service] = turns
	}
	turns.charge(best.item.account, best.item.Tokens-int64(best.item.events))
	callCtx, cancel := context.WithCancelCause(ctx)
	best.item.running, best.item.cancel = true, cancel
	return best.item, callCtx, cancel
}

// endPending counts a permit request as ended; the caller holds mu.
func (m *Manager) endPending(target permitTarget) {
	if m.pendingPermits[target]--; m.pendingPermits[target] <= 0 {
		delete(m.pendingPermits, target)
	}
}

// candidate is a runnable item with the values that order it.
type candidate struct {
	item *item
	// due is the job's submission time plus the route's completion target.
	due time.Time
	// missesDue is set if the item is predicted to complete after its due time even when it starts now.
	missesDue bool
	// turn is the virtual time of the account, which is the same for all items if there are no accounts.
	turn float64
}

// isMoreUrgent reports whether c runs before other. Items that can still complete by their due time go first, so that a
// job which is late anyway does not make all others late. Among them the accounts take turns, so that one account's many jobs
// do not make another's wait. Then the earlier due time goes first, then the item that has received more events.
func (c *candidate) isMoreUrgent(other *candidate) bool {
	if c.missesDue != other.missesDue {
		return !c.missesDue
	}
	if c.turn != other.turn {
		return c.turn < other.turn
	}
	if !c.due.Equal(other.due) {
		return c.due.Before(other.due)
	}
	return c.item.events > other.item.events
}

// abandonExpired gives up the items that decideItem gives up, unless they are in flight.
func (m *Manager) abandonExpired(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeConfig()
	config := m.Routes.Copy()
	for _, j := range m.jobs {
		if !j.isRunningHere() || !j.record.Open() {
			continue
		}
		route := routeIn(config.Config, j)
		heldItems := 0
		for _, it := range j.items {
			if it.ended || it.running {
				continue
			}
			switch m.decide(it, config, route, now) {
			case abandonItem:
				m.giveUp(it, config)
			case holdItem:
				heldItems++
			}
		}
		m.noteHeld(j, heldItems, config)
	}
}
