package berylserve

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/berylsched"
)

// startupGrace is how long after joining a host treats every other host as alive, because until then it may not have heard
// from all of them.
const startupGrace = 3 * time.Second

// platformWatchersPerRegion is how many hosts in each region watch the configuration in the platform's key-value service; the
// others get it from their peers.
const platformWatchersPerRegion = 2

// upstreamIndex looks up upstreams by name. The whole index is replaced when a configuration is installed.
type upstreamIndex struct {
	byName atomic.Pointer[map[string]berylconf.Upstream]
}

// install replaces the index.
func (x *upstreamIndex) install(upstreams []berylconf.Upstream) {
	byName := make(map[string]berylconf.Upstream, len(upstreams))
	for _, upstream := range upstreams {
		byName[upstream.Name] = upstream
	}
	x.byName.Store(&byName)
}

// get returns the upstream with the given name, and false if there is none.
func (x *upstreamIndex) get(name string) (berylconf.Upstream, bool) {
	byName := x.byName.Load()
	if byName == nil {
		return berylconf.Upstream{}, false
	}
	upstream, ok := (*byName)[name]
	return upstream, ok
}

// url returns an upstream's base URL and whether the upstream can resume a stream.
func (x *upstreamIndex) url(name string) (url string, resume, ok bool) {
	upstream, ok := x.get(name)
	return upstream.URL, upstream.Resume, ok
}

// version returns an upstream's software version.
func (x *upstreamIndex) version(name string) string {
	upstream, _ := x.get(name)
	return upstream.Version
}

// applyUpdates passes each new configuration, member list and host list to the components that depend on them, until ctx ends.
func (h *Host) applyUpdates(ctx context.Context) {
	h.membership.SetCandidates(ctx, h.candidates())
	installed := h.configStore.Revision()
	for {
		configChanged := h.configStore.Changed()
		membersChanged := h.membership.Changed()
		leavingHosts, hostListChanged := h.hostList.leavingHosts()
		leavingUpstreams, untilRetry, upstreamsChanged := h.leavingUpstreams.names(time.Now())
		var retry <-chan time.Time
		if untilRetry > 0 {
			retry = time.After(untilRetry)
		}
		if revision := h.configStore.Revision(); revision != installed {
			installed = revision
			h.membership.SetCandidates(ctx, h.candidates())
		}
		h.applyConfigAndMembers(leavingHosts, leavingUpstreams)
		select {
		case <-ctx.Done():
			return
		case <-configChanged:
		case <-membersChanged:
		case <-hostListChanged:
		case <-upstreamsChanged:
		case <-retry:
		}
	}
}

// applyConfigAndMembers gives the installed configuration and the live members to the upstream index, the scheduler and the
// platform client. Each live host gets an equal part of the fleet's budget of platform calls.
func (h *Host) applyConfigAndMembers(leavingHosts, leavingUpstreams []string) {
	live := h.membership.Live()
	if document := h.configStore.Current(); document != nil {
		h.upstreams.install(document.Inventory.Upstreams)
		document = mergeLeaving(document, slices.Concat(leavingHosts, leavingUpstreams))
		h.scheduler.SetConfig(*document)
		h.platform.SetRateLimit(document.Rules.PlatformCallsPerSecond / float64(max(len(live), 1)))
	}
	h.scheduler.SetMembers(h.schedulerMembers(live, leavingHosts))
}

// candidates returns the hosts that may be members: those of the inventory or, before the first configuration, the peers named
// in the settings.
func (h *Host) candidates() []berylhost.Member {
	var members []berylhost.Member
	document := h.configStore.Current()
	if document == nil {
		for _, peer := range h.Settings.Peers {
			name, address, _ := strings.Cut(peer, "=")
			members = append(members, berylhost.Member{Name: name, PeerAddress: address})
		}
		return members
	}
	for _, host := range document.Inventory.Hosts {
		members = append(members, berylhost.Member{
			Name:          host.Name,
			PeerAddress:   host.PeerAddress,
			Region:        host.Region,
			FailureDomain: host.FailureDomain,
		})
	}
	return members
}

// liveNames returns the names of the live hosts in sorted order.
func (h *Host) liveNames() []string {
	live := h.membership.Live()
	names := make([]string, len(live))
	for i := range live {
		names[i] = live[i].Name
	}
	return names
}

// schedulerMembers converts the live members for the scheduler. A host is leaving if the configuration or the host list says so.
func (h *Host) schedulerMembers(live []berylhost.Member, leaving []string) []berylsched.Member {
	rules := h.configStore.Rules()
	members := make([]berylsched.Member, len(live))
	for i, m := range live {
		members[i] = berylsched.Member{Name: m.Name, Boot: m.Boot, Leaving: rules.IsLeaving(m.Name) || slices.Contains(leaving, m.Name)}
	}
	return members
}

// isPlatformWatcher reports whether this host is one of the platformWatchersPerRegion hosts of its region that watch the
// platform, chosen by rendezvous hashing.
func (h *Host) isPlatformWatcher() bool {
	region := h.Settings.Region
	ranked := berylhost.Rank(watcherRankKey+region, h.membership.Live(), region)
	ranked = ranked[:min(platformWatchersPerRegion, len(ranked))]
	return slices.ContainsFunc(ranked, func(m berylhost.Member) bool { return m.Name == h.Settings.Host })
}

// watcherRankKey is the prefix of the rendezvous hashing key that ranks a region's hosts as watchers; the region's name follows it.
const watcherRankKey = "configuration-watch/"

// localDigest returns the data that this host attaches to its membership probes: its configuration revision and upstream loads.
func (h *Host) localDigest() berylhost.Digest {
	return berylhost.Digest{Revision: h.configStore.Revision(), Loads: h.scheduler.Loads()}
}

// receiveDigest processes the data that a peer attached to a membership probe.
func (h *Host) receiveDigest(peer string, digest berylhost.Digest) {
	h.configSyncer.NotePeerRevision(peer, digest.Revision)
	h.scheduler.RecordLoads(digest.Loads)
}

// memberView answers membership queries of the job manager and the idempotency manager.
type memberView struct {
	host *Host
	// joinedAt is the Unix time in nanoseconds at which a query first found that this host had joined, or zero before that.
	joinedAt atomic.Int64
}

// Alive reports whether the given run (boot) of a host may still be up. During the startup grace period of this host it returns
// true for every host.
func (v *memberView) Alive(host string, boot uint64) bool {
	if !v.pastStartupGrace() {
		return true
	}
	return slices.ContainsFunc(v.host.membership.Live(), func(m berylhost.Member) bool {
		return m.Name == host && m.Boot == boot
	})
}

// pastStartupGrace reports whether this host joined at least startupGrace ago.
func (v *memberView) pastStartupGrace() bool {
	select {
	case <-v.host.membership.Joined():
	default:
		return false
	}
	v.joinedAt.CompareAndSwap(0, time.Now().UnixNano())
	return time.Since(time.Unix(0, v.joinedAt.Load())) >= startupGrace
}

// First reports whether this host ranks first for the key among the live hosts by rendezvous hashing.
func (v *memberView) First(key string) bool {
	first, ok := berylhost.First(key, v.host.membership.Live(), v.host.Settings.Region)
	return ok && first.Name == v.host.Settings.Host
}
