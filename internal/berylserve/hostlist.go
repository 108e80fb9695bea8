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

const hostListInterval = 5 * time.Second

// hostList reads the platform's list of hosts; a list that cannot be read leaves the last one in force.
type hostList struct {
	mu      sync.Mutex
	leaving []string
	changed chan struct{}
}

// leavingHosts returns who the list says is leaving, and a channel that is closed at the next change.
func (l *hostList) leavingHosts() ([]string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.leaving, l.changed
}

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

// readHostList keeps the list up to date until ctx ends.
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

// mergeLeaving returns the configuration with those names added that the host list says are leaving.
func mergeLeaving(document *berylconf.Document, leaving []string) *berylconf.Document {
	if len(leaving) == 0 {
		return document
	}
	merged := *document
	merged.Rules.Leaving = append(slices.Clone(document.Rules.Leaving), leaving...)
	return &merged
}
