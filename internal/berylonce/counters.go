package berylonce

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters count what became of keyed requests.
type counters struct {
	set *metrics.Set
	// supersededAnswers counts answers that were given to a caller or refused to it because another claim of the key counts.
	supersededAnswers *metrics.Counter
	// droppedEnds counts ends of runs that found the queue full.
	droppedEnds *metrics.Counter
	// staleClaims counts never-repeat requests that were not started since their claim could not be renewed.
	staleClaims *metrics.Counter
	// undecodable counts records that could not be read.
	undecodable *metrics.Counter
}

// newCounters registers the counters, and a gauge of the ends that are not written yet.
func newCounters(set *metrics.Set, pending func() int) *counters {
	set.GetOrCreateGauge("berylroad_once_pending", func() float64 { return float64(pending()) })
	return &counters{
		set:               set,
		supersededAnswers: set.GetOrCreateCounter("berylroad_once_lost_total"),
		droppedEnds:       set.GetOrCreateCounter("berylroad_once_dropped_total"),
		staleClaims:       set.GetOrCreateCounter("berylroad_once_stale_total"),
		undecodable:       set.GetOrCreateCounter("berylroad_once_garbage_total"),
	}
}

// countDecision counts what a request was told at its beginning.
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
