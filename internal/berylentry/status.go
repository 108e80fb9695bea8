package berylentry

import (
	"time"

	"berylroad.example/berylroad/internal/berylbatch"
)

// Status is what a host believes at one moment. Ages are in milliseconds; -1 stands for never.
type Status struct {
	// Host, FailureDomain and Boot name this run of the host.
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Boot          uint64 `json:"boot"`
	// Serving, Ready and Stopping are its state.
	Serving  bool `json:"serving"`
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigVersion and Routes describe the configuration in force; the version is -1 before the first.
	ConfigVersion int64 `json:"config-version"`
	Routes        int   `json:"routes"`
	// Watcher names the host that watches the store for this one; it is empty where this host does so itself.
	Watcher string `json:"watcher"`
	// FollowedPrefixes are the parts of the store that the host has a copy of.
	FollowedPrefixes []FollowedPrefixStatus `json:"followed"`
	// Members are the live hosts, this one included.
	Members []MemberStatus `json:"members"`
	// Upstreams are those that are known.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Jobs are the open ones.
	Jobs []berylbatch.JobStatus `json:"jobs"`
}

// FollowedPrefixStatus describes the copy of the items under one prefix.
type FollowedPrefixStatus struct {
	// Prefix selects the items.
	Prefix string `json:"prefix"`
	// AgeMS is how long ago the copy was last known to be current.
	AgeMS int64 `json:"age-ms"`
	// Unreachable says that the last try at the store failed.
	Unreachable bool `json:"away"`
}

// MemberStatus describes a live host.
type MemberStatus struct {
	// Host, FailureDomain and Boot name its run.
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Boot          uint64 `json:"boot"`
	// Leaving says that it is about to stop.
	Leaving bool `json:"leaving"`
}

// UpstreamStatus describes an upstream.
type UpstreamStatus struct {
	// ID, Service, Address and FailureDomain are as it announces itself.
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Owner names the host that grants its slots.
	Owner string `json:"owner"`
	// Leaving says that it gets no new work.
	Leaving bool `json:"leaving"`
	// Slots, Online and Batch count what it may run and what it runs; the latter two only where this host is its owner.
	Slots  int `json:"slots"`
	Online int `json:"online"`
	Batch  int `json:"batch"`
	// Straggler says that its owner, if that is this host, has set it aside.
	Straggler bool `json:"straggler"`
}

// Status returns what this host believes now; it is empty but for the name until the host has begun to run.
func (h *Host) Status() Status {
	s := Status{Host: h.Settings.Host, FailureDomain: h.Settings.FailureDomain, ConfigVersion: -1}
	if !h.assembled.Load() {
		return s
	}
	s.Boot, s.Serving, s.Ready, s.Stopping = h.boot, h.Serving(), h.Ready(), h.stopping.Load()
	if config := h.routes.Get(); config != nil {
		s.ConfigVersion, s.Routes = config.Version, len(config.Routes)
	}
	s.Watcher, _ = h.watchSource()
	for _, f := range h.allFollowers() {
		age := int64(-1)
		if at := f.LastCurrent(); !at.IsZero() {
			age = time.Since(at).Milliseconds()
		}
		s.FollowedPrefixes = append(s.FollowedPrefixes, FollowedPrefixStatus{Prefix: f.Prefix, AgeMS: age, Unreachable: f.Unavailable()})
	}
	for _, m := range h.members.Live() {
		s.Members = append(s.Members, MemberStatus{
			Host: m.Name, FailureDomain: m.FailureDomain, Boot: m.Boot, Leaving: h.hostRegistry.isLeaving(m.Name, m.Boot),
		})
	}
	s.Upstreams = h.upstreamStatus()
	s.Jobs = h.Jobs.Status()
	return s
}

func (h *Host) upstreamStatus() []UpstreamStatus {
	var list []UpstreamStatus
	index := make(map[string]int)
	owners := h.scheduler.Owners()
	all := h.upstreamRegistry.All()
	for _, id := range h.upstreamRegistry.IDs() {
		u := all[id]
		index[id] = len(list)
		list = append(list, UpstreamStatus{
			ID: u.ID, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain, Owner: owners[id],
			Leaving: u.Leaving, Slots: u.Slots,
		})
	}
	for _, l := range h.scheduler.Loads() {
		if i, known := index[l.Upstream]; known {
			list[i].Online, list[i].Batch, list[i].Straggler = l.Online, l.Batch, l.Straggler
		}
	}
	return list
}
