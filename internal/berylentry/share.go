package berylentry

import (
	"context"
	"slices"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylstore"
)

// sharingHosts is the number of live hosts from which one watches the store for the others. That one watches up to four
// times as often, so that fewer hosts would make more calls than each for itself.
const sharingHosts = 5

// watchKey starts the key by which the host that watches for its failure domain is chosen.
const watchKey = "store-watch/"

// newShare lets hosts watch the store for each other.
func (h *Host) newShare(links *beryllink.Links) *berylstore.WatchSharing {
	joint := &berylstore.WatchCoalescer{
		Send: func(ctx context.Context, host string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
			return beryllink.Request[[]berylstore.WatchRequest, []berylstore.WatchReply](ctx, links, host, kindWatch, requests)
		},
	}
	return &berylstore.WatchSharing{Source: h.watchSource, FallbackHosts: h.others, RequestChanges: joint.Request}
}

// watchSource returns the host that watches for this one, and whether others rely on this one.
func (h *Host) watchSource() (string, bool) {
	var staying []berylhost.Member
	for _, m := range h.members.Live() {
		if !h.registry.isLeaving(m.Name, m.Boot) {
			staying = append(staying, m)
		}
	}
	return watcher(h.Settings, staying)
}

// watcher chooses the host that watches for this one: of its failure domain where that has enough hosts, else of the
// largest one of its region, or of all there where none has. Where several failure domains of a region have enough, one of
// their watching hosts watches for the others. It returns an empty name where this host watches itself, and whether others
// rely on this host.
func watcher(self Settings, live []berylhost.Member) (name string, serving bool) {
	domains := make(map[string][]berylhost.Member)
	var region []berylhost.Member
	for _, m := range live {
		if m.Region == self.Region {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
			region = append(region, m)
		}
	}
	domain := self.FailureDomain
	if len(domains[domain]) < sharingHosts {
		for d, hosts := range domains {
			if n := len(domains[domain]); len(hosts) > n || len(hosts) == n && d < domain {
				domain = d
			}
		}
	}
	key, among := watchKey+domain, domains[domain]
	if len(among) < sharingHosts {
		key, among = watchKey+self.Region, region
	}
	if len(among) < sharingHosts {
		return "", false
	}
	first, ok := berylhost.First(key, among, self.Region)
	if !ok || first.Name != self.Host {
		return first.Name, false
	}
	if top := regionWatcher(self.Region, domains); top != "" && top != self.Host {
		return top, true
	}
	return "", true
}

// regionWatcher chooses among the hosts that watch for a large failure domain each the one that watches for the others; it
// returns an empty name where there are not two.
func regionWatcher(region string, domains map[string][]berylhost.Member) string {
	var watching []berylhost.Member
	for domain, hosts := range domains {
		if first, ok := berylhost.First(watchKey+domain, hosts, region); ok && len(hosts) >= sharingHosts {
			watching = append(watching, first)
		}
	}
	if len(watching) < 2 {
		return ""
	}
	top, _ := berylhost.First(watchKey+region, watching, region)
	return top.Name
}

// answerWatch answers another host that asks for changes.
func (h *Host) answerWatch(ctx context.Context, _ string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
	return berylstore.ServeWatches(ctx, requests, func(prefix string) *berylstore.Follower { return h.followers[prefix] })
}

// newDetour lets other hosts make this host's calls to the store while it does not reach it.
func (h *Host) newDetour(links *beryllink.Links) *berylstore.FallbackStore {
	return &berylstore.FallbackStore{
		Store:         h.Store,
		Unavailable:   h.storeAway,
		FallbackHosts: h.others,
		Forward: func(ctx context.Context, host string, call berylstore.Call) (berylstore.CallReply, error) {
			return beryllink.Request[berylstore.Call, berylstore.CallReply](ctx, links, host, kindStore, call)
		},
	}
}

// storeAway says that this host does not reach the store, as far as its watches show.
func (h *Host) storeAway() bool {
	return h.operators.Unavailable() || h.announced.Unavailable()
}

// others returns the other live hosts, those of this failure domain last: a fault of the path to the store is most often
// shared by them.
func (h *Host) others() []string {
	var far, near []string
	for _, m := range berylhost.Rank(watchKey+h.Settings.Host, h.members.Live(), h.Settings.Region) {
		switch {
		case m.Name == h.Settings.Host:
		case m.FailureDomain == h.Settings.FailureDomain:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	return append(far, near...)
}

// newGatherer lets the host that watches the store for a failure domain write for it too. What is written is long, so that
// it would cost more on the way to another failure domain than the calls that it saves.
func (h *Host) newGatherer(links *beryllink.Links) *berylstore.WriteBatcher {
	return &berylstore.WriteBatcher{
		Store: h.detour,
		Writer: func() string {
			source, _ := h.watchSource()
			if h.isNear(source) {
				return source
			}
			return ""
		},
		Forward: func(ctx context.Context, host string, put berylstore.Put) (bool, error) {
			return beryllink.Request[berylstore.Put, bool](ctx, links, host, kindPut, put)
		},
	}
}

// isNear says whether a live host is of this failure domain.
func (h *Host) isNear(name string) bool {
	return slices.ContainsFunc(h.members.Live(), func(m berylhost.Member) bool {
		return m.Name == name && m.FailureDomain == h.Settings.FailureDomain
	})
}

// answerPut writes an item for another host.
func (h *Host) answerPut(ctx context.Context, _ string, put berylstore.Put) (bool, error) {
	return h.gatherer.Add(ctx, put), nil
}

// answerStore makes a call to the store for another host.
func (h *Host) answerStore(ctx context.Context, _ string, call berylstore.Call) (berylstore.CallReply, error) {
	return berylstore.ServeCall(ctx, h.Store, h.storeAway(), call), nil
}
