package berylonce

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters counts the decisions on keyed requests and the faults of their records.
type counters struct {
	set *metrics.Set
	// supersededAnswers counts answers that could not be recorded because another run's record has replaced
	// the claim.
	supersededAnswers *metrics.Counter
	// droppedRecords counts final records that were dropped because the queue of unwritten records was full.
	droppedRecords *metrics.Counter
	// staleClaims counts never-repeat requests that were not started because their claim was too old and could not be
	// renewed.
	staleClaims *metrics.Counter
	// undecodable counts records that could not be decoded.
	undecodable *metrics.Counter
}

// newCounters registers the counters and a gauge of the final records that are not written yet.
func newCounters(set *metrics.Set, pending func() int) *counters {
	set.GetOrCreateGauge("berylroad_once_pending", func() float64 { return float64(pending()) })
	return &counters{
		set:               set,
		supersededAnswers: set.GetOrCreateCounter("berylroad_once_lost_total"),
		droppedRecords:    set.GetOrCreateCounter("berylroad_once_dropped_total"),
		staleClaims:       set.GetOrCreateCounter("berylroad_once_stale_total"),
		undecodable:       set.GetOrCreateCounter("berylroad_once_garbage_total"),
	}
}

// countDecision counts the decision on a request by its kind.
func (n *counters) countDecision(d Decision) {
	name := "run"
	switch {
	case d.Replay != nil:
		name = "replay"
	case d.Refusal != nil:
		name = string(d.Refusal.Code)
	}
	n.set.GetOrCreateCounter(fmt.Sprintf(`berylroad_once_begins_total{decision=%q}`, name)).Inc()
}
