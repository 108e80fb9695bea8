package beryletcd

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// callName is a kind of call; its name is a label of the metrics.
type callName uint8

const (
	callGet callName = iota
	callList
	callSwap
	callRemove
	callGrant
	callKeepAlive
	callRevoke
	callWatch
	callCommit
	callNames
)

// String returns the metric label.
func (n callName) String() string {
	return [callNames]string{"get", "list", "swap", "remove", "grant", "keep-alive", "revoke", "watch", "commit"}[n]
}

// statusCount is the number of Status values.
const statusCount = int(Unavailable) + 1

// counters counts calls by kind and status, and requests.
type counters struct {
	calls   [callNames][statusCount]*metrics.Counter
	settled [statusCount]*metrics.Counter
	// sent counts requests sent to endpoints. It is the number that the service sees: a call may send several.
	sent       *metrics.Counter
	overBudget *metrics.Counter
	stale      *metrics.Counter
	sentBytes  *metrics.Counter
	readBytes  *metrics.Counter
}

// newCounters registers the counters with the set.
func newCounters(set *metrics.Set) *counters {
	n := &counters{
		sent:       set.GetOrCreateCounter("berylroad_platform_requests_total"),
		overBudget: set.GetOrCreateCounter("berylroad_platform_over_budget_total"),
		stale:      set.GetOrCreateCounter("berylroad_platform_stale_reads_total"),
		sentBytes:  set.GetOrCreateCounter("berylroad_platform_sent_bytes_total"),
		readBytes:  set.GetOrCreateCounter("berylroad_platform_read_bytes_total"),
	}
	for s := range statusCount {
		status := Status(s)
		n.settled[s] = set.GetOrCreateCounter(fmt.Sprintf(`berylroad_platform_settled_total{status=%q}`, status))
		for name := range callNames {
			n.calls[name][s] = set.GetOrCreateCounter(
				fmt.Sprintf(`berylroad_platform_calls_total{call=%q,status=%q}`, name, status))
		}
	}
	return n
}

// count counts one call that has ended.
func (n *counters) count(name callName, status Status) {
	n.calls[name][status].Inc()
}
