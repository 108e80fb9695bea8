package berylserve

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryletcd"
)

// hostListInterval is the mean time between two reads of the platform's host list. Each wait varies by up to a quarter, so that
// the hosts do not read it all at once.
const hostListInterval = 5 * time.Second

// hostList holds the names of the hosts that the platform's host list marks as leaving. If the list cannot be read, the last one
// stays in force.
type hostList struct {
	mu      sync.Mutex
	leaving []string
	changed chan struct{} // the channel that leavingHosts returns; nil if it has not been called since the last change
}

// leavingHosts returns the sorted names of the leaving hosts, and a channel that is closed at the next change.
func (l *hostList) leavingHosts() ([]string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.leaving, l.changed
}

// setLeaving replaces the names of the leaving hosts. The same names in any order are not a change.
func (l *hostList) setLeaving(leaving []string) {
	slices.Sort(leaving)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(leaving, l.leaving) {
		return
	}
	l.leaving = leaving
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// readHostList polls the platform's host list until ctx ends. It returns at once if none is configured.
func (h *Host) readHostList(ctx context.Context) {
	if h.Settings.HostList == "" {
		return
	}
	source := &beryletcd.HostList{URL: h.Settings.HostList}
	for ctx.Err() == nil {
		hosts, err := source.Hosts(ctx)
		if err != nil {
			h.metrics.GetOrCreateCounter(`berylroad_host_list_reads_total{outcome="failed"}`).Inc()
		} else {
			h.metrics.GetOrCreateCounter(`berylroad_host_list_reads_total{outcome="done"}`).Inc()
			h.hostList.setLeaving(leavingNames(hosts))
		}
		select {
		case <-ctx.Done():
		case <-time.After(hostListInterval*3/4 + rand.N(hostListInterval/2)):
		}
	}
}

func leavingNames(hosts []beryletcd.ListedHost) []string {
	var names []string
	for _, host := range hosts {
		if host.State == beryletcd.HostLeaving {
			names = append(names, host.Name)
		}
	}
	return names
}

// mergeLeaving returns a copy of the configuration whose rules list the given names as leaving, in addition to their own, or the
// configuration itself if there are no names.
func mergeLeaving(document *berylconf.Document, leaving []string) *berylconf.Document {
	if len(leaving) == 0 {
		return document
	}
	merged := *document
	merged.Rules.Leaving = append(slices.Clone(document.Rules.Leaving), leaving...)
	return &merged
}
