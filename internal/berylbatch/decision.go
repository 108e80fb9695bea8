package berylbatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylroute"
)

// itemDecision says what to do with an item that has no result and is not in flight.
type itemDecision uint8

const (
	// runItem allows the item to be sent to an upstream.
	runItem itemDecision = iota
	// holdItem neither runs nor gives up the item until this host has a configuration that is new enough to tell.
	holdItem
	// abandonItem lists the item as abandoned: its retention is over, its route was removed or its attempts are used up.
	abandonItem
)

// itemState is what decideItem needs to know of an item and its job.
type itemState struct {
	accepted     berylroute.Acceptance
	submitted    time.Time
	serverErrors int
}

// decideItem decides on an item by a host's copy of the configuration and the job's route in it, which is nil if there is
// none. A result is for good, so a copy that may be older than the configuration in force gives nothing up.
func decideItem(it itemState, config berylroute.Copy, route *berylroute.Route, now time.Time) itemDecision {
	if !config.Covers(it.accepted) {
		return holdItem
	}
	expired := route != nil && route.Retention > 0 && !now.Before(it.submitted.Add(route.Retention+retentionMargin))
	switch {
	case route != nil && !expired && it.serverErrors < route.Attempts():
		return runItem
	case config.Outdated():
		return holdItem
	default:
		return abandonItem
	}
}

// decide decides on an item that this host runs; the caller holds mu.
func (m *Manager) decide(it *item, config berylroute.Copy, route *berylroute.Route, now time.Time) itemDecision {
	state := itemState{accepted: it.job.acceptance(), submitted: it.job.record.submitted(), serverErrors: it.serverErrors}
	return decideItem(state, config, route, now)
}

// acceptance returns the configuration under which the job was accepted. It was in the store when the record was written.
func (j *job) acceptance() berylroute.Acceptance {
	return berylroute.Acceptance{Version: j.record.ConfigVersion, Revision: j.revision}
}

// giveUp queues an item's result as abandoned; the caller holds mu.
func (m *Manager) giveUp(it *item, config berylroute.Copy) {
	m.Log.WithFields(configFields(it.job, config)).WithFields(logrus.Fields{"item": it.ID, "server-errors": it.serverErrors}).Warn("item: given up")
	m.finishItem(it, Abandoned)
}

// noteHeld logs when items of a job begin to be held, and when none is any more; the caller holds mu.
func (m *Manager) noteHeld(j *job, items int, config berylroute.Copy) {
	if j.heldLogged == (items > 0) {
		return
	}
	j.heldLogged = items > 0
	log := m.Log.WithFields(configFields(j, config)).WithField("items", items)
	if j.heldLogged {
		log.Warn("job: items held, the configuration may be too old to run them or to give them up")
	} else {
		log.Info("job: no items held any more")
	}
}

// configFields returns the fields of a log line that tell a route which is gone from one that this host has not learned of.
func configFields(j *job, config berylroute.Copy) logrus.Fields {
	fields := logrus.Fields{
		"job": j.id, "route-gone": routeIn(config.Config, j) == nil, "accepted-config": j.record.ConfigVersion, "revision": j.revision,
		"config-through": config.Through, "config-stale": config.Stale,
	}
	if config.Config != nil {
		fields["config-version"] = config.Config.Version
	}
	return fields
}

// routeOf returns the route that the configuration in force has for a job, or nil.
func (m *Manager) routeOf(j *job) *berylroute.Route {
	return routeIn(m.Routes.Get(), j)
}

// routeIn returns the route that a configuration has for a job, or nil. That is the batch route that has accepted the job, whatever
// other routes the job's path matches by now. A job whose route has another name now goes by its path.
func routeIn(config *berylroute.Config, j *job) *berylroute.Route {
	if config == nil {
		return nil
	}
	if r := config.Named(j.record.Route); r != nil && r.Kind == berylroute.Batch {
		return r
	}
	if r := config.Match(j.record.Host, j.record.Path); r != nil && r.Kind == berylroute.Batch {
		return r
	}
	return nil
}
