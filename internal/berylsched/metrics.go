package berylsched

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylroad.example/berylroad/internal/berylpermit"
)

// counters are the metrics of one Scheduler. Arrays are indexed by verdict or class.
type counters struct {
	verdicts       [berylpermit.Queued + 1]*metrics.Counter
	acquired       [2]*metrics.Counter
	refused        [2]*metrics.Counter
	waits          [2]*metrics.Histogram
	yields         *metrics.Counter
	pauses         *metrics.Counter
	eventQueueFull *metrics.Counter
	dropped        *metrics.Counter
	sendFailed     *metrics.Counter
	ownerRetries   *metrics.Counter
	unownedPermits *metrics.Counter
	statements     *metrics.Counter
	ownFaults      *metrics.Counter
	waiting        *atomic.Int64
	set            *metrics.Set
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		yields:         set.NewCounter("berylroad_owner_yields_total"),
		pauses:         set.NewCounter("berylroad_owner_pauses_total"),
		eventQueueFull: set.NewCounter("berylroad_owner_ring_full_total"),
		dropped:        set.NewCounter("berylroad_broker_messages_dropped_total"),
		sendFailed:     set.NewCounter("berylroad_broker_messages_failed_total"),
		ownerRetries:   set.NewCounter("berylroad_broker_reasked_total"),
		unownedPermits: set.NewCounter("berylroad_broker_unowned_permits_total"),
		ownFaults:      set.NewCounter("berylroad_broker_own_faults_total"),
		statements:     set.NewCounter("berylroad_broker_statement_reports_total"),
		waiting:        new(atomic.Int64),
		set:            set,
	}
	waiting := c.waiting
	set.NewGauge("berylroad_owner_waiting", func() float64 { return float64(waiting.Load()) })
	for v, name := range []string{"refused", "granted", "not-owner", "queued"} {
		c.verdicts[v] = set.NewCounter(fmt.Sprintf("berylroad_owner_replies_total{verdict=%q}", name))
	}
	for _, class := range []berylpermit.Class{berylpermit.Online, berylpermit.Batch} {
		c.acquired[class] = set.NewCounter(fmt.Sprintf("berylroad_broker_permits_total{class=%q}", class))
		c.refused[class] = set.NewCounter(fmt.Sprintf("berylroad_broker_refusals_total{class=%q}", class))
		c.waits[class] = set.NewHistogram(fmt.Sprintf("berylroad_broker_wait_seconds{class=%q}", class))
	}
	return c
}

// ejections returns the counter of ejections for a cause.
func (c *counters) ejections(cause string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("berylroad_owner_ejections_total{cause=%q}", cause))
}

// paceChanges returns the counter of changes of an upstream's pace for a cause.
func (c *counters) paceChanges(cause string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("berylroad_owner_pace_changes_total{cause=%q}", cause))
}

func (c *counters) countVerdict(v berylpermit.Verdict) {
	c.verdicts[v].Inc()
}

// countAcquire counts one call to Acquire that has ended and, if it was granted, how long it waited.
func (c *counters) countAcquire(class berylpermit.Class, granted bool, wait time.Duration) {
	class = class.Normalized()
	if !granted {
		c.refused[class].Inc()
		return
	}
	c.acquired[class].Inc()
	c.waits[class].Update(wait.Seconds())
}
