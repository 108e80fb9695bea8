package berylentry

import (
	"context"
	"slices"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylstore"
)

// minSharingHosts is the least number of live hosts at which one of them watches the store for the others. A watching
// host calls the store up to four times as often as a host that watches for itself, so that sharing among fewer hosts
// would cost more calls.
const minSharingHosts = 5

// watchKeyPrefix is the prefix of the key with which rendezvous hashing chooses the watching host of a failure domain or
// region.
const watchKeyPrefix = "store-watch/"

// newWatchSharing returns the component through which hosts watch the store for each other.
func (h *Host) newWatchSharing(links *beryllink.Transport) *berylstore.WatchSharing {
	coalescer := &berylstore.WatchCoalescer{
		Send: func(ctx context.Context, host string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
			return beryllink.Request[[]berylstore.WatchRequest, []berylstore.WatchReply](ctx, links, host, kindStoreWatch, requests)
		},
	}
	return &berylstore.WatchSharing{Source: h.watchSource, FallbackHosts: h.otherHosts, RequestChanges: coalescer.Request}
}

// watchSource returns the host that watches the store for this one, and whether other hosts rely on this one.
func (h *Host) watchSource() (string, bool) {
	var staying []berylhost.Member
	for _, m := range h.members.Live() {
		if !h.hostRegistry.isLeaving(m.Name, m.Boot) {
			staying = append(staying, m)
		}
	}
	return chooseWatcher(h.Settings, staying)
}

// chooseWatcher chooses the host that watches the store for this one. It is one of the hosts of this host's failure
// domain if there are at least minSharingHosts of them, otherwise of the largest failure domain of the region, or of the
// whole region if no failure domain is large enough. If several failure domains of a region are large enough, one of
// their watching hosts watches for the others. It returns an empty name if this host watches for itself, and whether
// other hosts rely on this one.
func chooseWatcher(self Settings, live []berylhost.Member) (name string, serving bool) {
	domains := make(map[string][]berylhost.Member)
	var region []berylhost.Member
	for _, m := range live {
		if m.Region == self.Region {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
			region = append(region, m)
		}
	}
	domain := self.FailureDomain
	if len(domains[domain]) < minSharingHosts {
		for d, hosts := range domains {
			if n := len(domains[domain]); len(hosts) > n || len(hosts) == n && d < domain {
				domain = d
			}
		}
	}
	key, candidates := watchKeyPrefix+domain, domains[domain]
	if len(candidates) < minSharingHosts {
		key, candidates = watchKeyPrefix+self.Region, region
	}
	if len(candidates) < minSharingHosts {
		return "", false
	}
	first, ok := berylhost.First(key, candidates, self.Region)
	if !ok || first.Name != self.Host {
		return first.Name, false
	}
	if regionWatcher := chooseRegionWatcher(self.Region, domains); regionWatcher != "" && regionWatcher != self.Host {
		return regionWatcher, true
	}
	return "", true
}

// chooseRegionWatcher chooses, among the hosts that each watch for a large failure domain, the one that watches for the
// others. It returns an empty name if there are fewer than two.
func chooseRegionWatcher(region string, domains map[string][]berylhost.Member) string {
	var watching []berylhost.Member
	for domain, hosts := range domains {
		if first, ok := berylhost.First(watchKeyPrefix+domain, hosts, region); ok && len(hosts) >= minSharingHosts {
			watching = append(watching, first)
		}
	}
	if len(watching) < 2 {
		return ""
	}
	first, _ := berylhost.First(watchKeyPrefix+region, watching, region)
	return first.Name
}

// handleStoreWatch answers other hosts that watch the store through this one.
func (h *Host) handleStoreWatch(ctx context.Context, _ string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
	return berylstore.ServeWatches(ctx, requests, func(prefix string) *berylstore.Follower { return h.followers[prefix] })
}

// newFallbackStore returns a store client that makes calls through other hosts while this host cannot reach the store.
func (h *Host) newFallbackStore(links *beryllink.Transport) *berylstore.FallbackStore {
	return &berylstore.FallbackStore{
		Store:         h.Store,
		Unavailable:   h.storeUnavailable,
		FallbackHosts: h.otherHosts,
		Forward: func(ctx context.Context, host string, call berylstore.Call) (berylstore.CallReply, error) {
			return beryllink.Request[berylstore.Call, berylstore.CallReply](ctx, links, host, kindStoreCall, call)
		},
	}
}

// storeUnavailable reports whether this host's own watches of the store are failing.
func (h *Host) storeUnavailable() bool {
	return h.operatorItems.Unavailable() || h.announcements.Unavailable()
}

// otherHosts returns the other live hosts, with those of this failure domain last: they are the most likely to share a
// fault on the path to the store.
func (h *Host) otherHosts() []string {
	var remote, local []string
	for _, m := range berylhost.Rank(watchKeyPrefix+h.Settings.Host, h.members.Live(), h.Settings.Region) {
		switch {
		case m.Name == h.Settings.Host:
		case m.FailureDomain == h.Settings.FailureDomain:
			local = append(local, m.Name)
		default:
			remote = append(remote, m.Name)
		}
	}
	return append(remote, local...)
}

// newWriteBatcher returns the component through which the host that watches the store for a failure domain also writes
// for it. Only hosts of the same failure domain are used: the written items are long, and sending them to another
// failure domain would cost more than the saved calls.
func (h *Host) newWriteBatcher(links *beryllink.Transport) *berylstore.WriteBatcher {
	return &berylstore.WriteBatcher{
		Store: h.fallbackStore,
		Writer: func() string {
			source, _ := h.watchSource()
			if h.inSameFailureDomain(source) {
				return source
			}
			return ""
		},
		Forward: func(ctx context.Context, host string, put berylstore.Put) (bool, error) {
			return beryllink.Request[berylstore.Put, bool](ctx, links, host, kindStorePut, put)
		},
	}
}

// inSameFailureDomain reports whether the named host is live and in this host's failure domain.
func (h *Host) inSameFailureDomain(name string) bool {
	return slices.ContainsFunc(h.members.Live(), func(m berylhost.Member) bool {
		return m.Name == name && m.FailureDomain == h.Settings.FailureDomain
	})
}

// handleStorePut writes an item for another host.
func (h *Host) handleStorePut(ctx context.Context, _ string, put berylstore.Put) (bool, error) {
	return h.writeBatcher.Add(ctx, put), nil
}

// handleStoreCall makes a call to the store for another host.
func (h *Host) handleStoreCall(ctx context.Context, _ string, call berylstore.Call) (berylstore.CallReply, error) {
	return berylstore.ServeCall(ctx, h.Store, h.storeUnavailable(), call), nil
}
