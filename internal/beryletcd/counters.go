package beryletcd

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// callName names a kind of call in metrics.
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

// counters count calls by kind and status.
type counters struct {
	calls   [callNames][statusCount]*metrics.Counter
	settled [statusCount]*metrics.Counter
	// sent counts requests that went out to an endpoint, which is what the service counts.
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

// count adds one ended call.
func (n *counters) count(name callName, status Status) {
	n.calls[name][status].Inc()
}
