package berylentry

import (
	"context"
	"slices"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylstore"
)

// minSharingHosts is the number of live hosts from which one watches the store for the others. That one watches up to four
// times as often, so that fewer hosts would make more calls than each for itself.
const minSharingHosts = 5

// watchKeyPrefix starts the key by which the host that watches for its failure domain is chosen.
const watchKeyPrefix = "store-watch/"

// newWatchSharing lets hosts watch the store for each other.
func (h *Host) newWatchSharing(links *beryllink.Links) *berylstore.WatchSharing {
	coalescer := &berylstore.WatchCoalescer{
		Send: func(ctx context.Context, host string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
			return beryllink.Request[[]berylstore.WatchRequest, []berylstore.WatchReply](ctx, links, host, kindStoreWatch, requests)
		},
	}
	return &berylstore.WatchSharing{Source: h.watchSource, FallbackHosts: h.otherHosts, RequestChanges: coalescer.Request}
}

// watchSource returns the host that watches for this one, and whether others rely on this one.
func (h *Host) watchSource() (string, bool) {
	var staying []berylhost.Member
	for _, m := range h.members.Live() {
		if !h.hostRegistry.isLeaving(m.Name, m.Boot) {
			staying = append(staying, m)
		}
	}
	return chooseWatcher(h.Settings, staying)
}

// chooseWatcher chooses the host that watches for this one: of its failure domain where that has enough hosts, else of the
// largest one of its region, or of all there where none has. Where several failure domains of a region have enough, one of
// their watching hosts watches for the others. It returns an empty name where this host watches itself, and whether others
// rely on this host.
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
	if top := chooseRegionWatcher(self.Region, domains); top != "" && top != self.Host {
		return top, true
	}
	return "", true
}

// chooseRegionWatcher chooses among the hosts that watch for a large failure domain each the one that watches for the others; it
// returns an empty name where there are not two.
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
	top, _ := berylhost.First(watchKeyPrefix+region, watching, region)
	return top.Name
}

// handleStoreWatch answers another host that asks for changes.
func (h *Host) handleStoreWatch(ctx context.Context, _ string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
	return berylstore.ServeWatches(ctx, requests, func(prefix string) *berylstore.Follower { return h.followers[prefix] })
}

// newFallbackStore lets other hosts make this host's calls to the store while it does not reach it.
func (h *Host) newFallbackStore(links *beryllink.Links) *berylstore.FallbackStore {
	return &berylstore.FallbackStore{
		Store:         h.Store,
		Unavailable:   h.storeUnavailable,
		FallbackHosts: h.otherHosts,
		Forward: func(ctx context.Context, host string, call berylstore.Call) (berylstore.CallReply, error) {
			return beryllink.Request[berylstore.Call, berylstore.CallReply](ctx, links, host, kindStoreCall, call)
		},
	}
}

// storeUnavailable says that this host does not reach the store, as far as its watches show.
func (h *Host) storeUnavailable() bool {
	return h.operatorItems.Unavailable() || h.announcements.Unavailable()
}

// otherHosts returns the other live hosts, those of this failure domain last: a fault of the path to the store is most often
// shared by them.
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

// newWriteBatcher lets the host that watches the store for a failure domain write for it too. What is written is long, so that
// it would cost more on the way to another failure domain than the calls that it saves.
func (h *Host) newWriteBatcher(links *beryllink.Links) *berylstore.WriteBatcher {
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

// inSameFailureDomain says whether a live host is of this failure domain.
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
