package berylentry

import (
	"time"

	"berylroad.example/berylroad/internal/berylbatch"
	"berylroad.example/berylroad/internal/berylbuild"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/berylquarantine"
)

// Status is a snapshot of one host's view. Ages are in milliseconds; -1 means never.
type Status struct {
	// Host, FailureDomain and Boot identify this run of the host.
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Boot          uint64 `json:"boot"`
	// Build is the commit that this host was built from.
	Build string `json:"build"`
	// Serving and Ready are the results of the Host's methods of these names. Stopping is true after Drain was called.
	Serving  bool `json:"serving"`
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigVersion and Routes are the version of the active configuration and the number of its routes. The version is
	// -1 before the first configuration.
	ConfigVersion int64 `json:"config-version"`
	Routes        int   `json:"routes"`
	// Path says whether this host reaches upstreams itself: reachable, checking or isolated. While it is isolated, other hosts carry
	// its connections.
	Path string `json:"path"`
	// Watcher names the host that watches the store for this one. It is empty if this host watches the store itself.
	Watcher string `json:"watcher"`
	// FollowedPrefixes describes the parts of the store that this host keeps a copy of.
	FollowedPrefixes []FollowedPrefixStatus `json:"followed"`
	// Members are the live hosts, including this one.
	Members []MemberStatus `json:"members"`
	// Upstreams lists the upstreams that this host knows, sorted by ID.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Quarantine lists the prompt parts that are kept away from upstreams, sorted by key.
	Quarantine []berylquarantine.Status `json:"quarantine"`
	// Accounts lists client accounts with a limit of which this host holds something: at most 20, those with the most refusals
	// first and then the busiest.
	Accounts []beryllimit.AccountStatus `json:"accounts"`
	// Jobs lists the open batch jobs in the order of their acceptance.
	Jobs []berylbatch.JobStatus `json:"jobs"`
}

// FollowedPrefixStatus describes this host's copy of the items under one prefix.
type FollowedPrefixStatus struct {
	// Prefix is the common prefix of the items' keys.
	Prefix string `json:"prefix"`
	// AgeMS is the time since the copy was last known to be current.
	AgeMS int64 `json:"age-ms"`
	// Unreachable is true when the last attempt to reach the store failed.
	Unreachable bool `json:"away"`
}

// MemberStatus describes a live host.
type MemberStatus struct {
	// Host, FailureDomain and Boot identify the run of the host.
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Boot          uint64 `json:"boot"`
	// Leaving is true when the host is about to stop.
	Leaving bool `json:"leaving"`
}

// UpstreamStatus describes an upstream.
type UpstreamStatus struct {
	// ID, Service, Address and FailureDomain are taken from the upstream's announcement.
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Owner is the host that grants the upstream's slots.
	Owner string `json:"owner"`
	// Leaving is true when the upstream gets no new work.
	Leaving bool `json:"leaving"`
	// Slots is how many calls the upstream may run at once. Online and Batch count the calls that it runs; they are
	// known only to its owner.
	Slots  int `json:"slots"`
	Online int `json:"online"`
	Batch  int `json:"batch"`
	// Straggler is true when this host owns the upstream and has ejected it for slowness, faults or refusals.
	Straggler bool `json:"straggler"`
	// Limit is the number of requests a second to which this host, as the owner, holds the upstream because the upstream
	// names that limit. It is nil without a limit.
	Limit *float64 `json:"limit"`
	// Pace is how many slots this host, as the owner, grants until the upstream has shown that it can handle more, and
	// PaceCause why. Zero means all slots.
	Pace      int    `json:"pace,omitempty"`
	PaceCause string `json:"pace-cause,omitempty"`
}

// Status returns this host's current view. Before Run has assembled the host it contains only the name and failure
// domain.
func (h *Host) Status() Status {
	s := Status{Host: h.Settings.Host, FailureDomain: h.Settings.FailureDomain, Build: berylbuild.Current().String(), ConfigVersion: -1}
	if !h.assembled.Load() {
		return s
	}
	s.Path = h.paths.State().String()
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
	s.Quarantine = h.quarantine.Status()
	s.Accounts = h.limiter.Status()
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
			if l.Pace > 0 {
				list[i].Pace, list[i].PaceCause = l.Pace, l.PaceCause.String()
			}
			if l.Limit.Limited {
				list[i].Limit = &l.Limit.PerSecond
			}
		}
	}
	return list
}

// LiftQuarantine lifts the quarantine of the prompt parts with the given key. It returns berylquarantine.ErrUnknownVerdict if
// this host knows none.
func (h *Host) LiftQuarantine(key string) error {
	if !h.assembled.Load() {
		return berylquarantine.ErrUnknownVerdict
	}
	return h.quarantine.Lift(key)
}
