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

// startupGrace is how long a new host takes every other for alive.
const startupGrace = 3 * time.Second

// platformWatchersPerRegion is how many hosts of a region watch the platform.
const platformWatchersPerRegion = 2

// upstreamIndex finds upstreams by name; it is replaced whole with each configuration.
type upstreamIndex struct {
	byName atomic.Pointer[map[string]berylconf.Upstream]
}

func (x *upstreamIndex) install(upstreams []berylconf.Upstream) {
	byName := make(map[string]berylconf.Upstream, len(upstreams))
	for _, upstream := range upstreams {
		byName[upstream.Name] = upstream
	}
	x.byName.Store(&byName)
}

// get returns the upstream of that name, and false for an unknown one.
func (x *upstreamIndex) get(name string) (berylconf.Upstream, bool) {
	byName := x.byName.Load()
	if byName == nil {
		return berylconf.Upstream{}, false
	}
	upstream, ok := (*byName)[name]
	return upstream, ok
}

func (x *upstreamIndex) url(name string) (url string, resume, ok bool) {
	upstream, ok := x.get(name)
	return upstream.URL, upstream.Resume, ok
}

// applyUpdates passes each new configuration and member list on to the duties that work by them.
func (h *Host) applyUpdates(ctx context.Context) {
	h.membership.SetCandidates(ctx, h.candidates())
	known := h.configStore.Revision()
	for {
		configured := h.configStore.Changed()
		moved := h.membership.Changed()
		leaving, listed := h.hostList.leavingHosts()
		if revision := h.configStore.Revision(); revision != known {
			known = revision
			h.membership.SetCandidates(ctx, h.candidates())
		}
		h.applyConfigAndMembers(leaving)
		select {
		case <-ctx.Done():
			return
		case <-configured:
		case <-moved:
		case <-listed:
		}
	}
}

func (h *Host) applyConfigAndMembers(leaving []string) {
	live := h.membership.Live()
	if document := h.configStore.Current(); document != nil {
		h.upstreams.install(document.Inventory.Upstreams)
		document = mergeLeaving(document, leaving)
		h.scheduler.SetConfig(*document)
		h.platform.SetRateLimit(document.Rules.PlatformCallsPerSecond / float64(max(len(live), 1)))
	}
	h.scheduler.SetMembers(h.schedulerMembers(live, leaving))
}

// candidates returns the hosts that may be members: the inventory's, and before the first configuration the settings' peers.
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

// liveNames returns the names of the live hosts, sorted.
func (h *Host) liveNames() []string {
	live := h.membership.Live()
	names := make([]string, len(live))
	for i := range live {
		names[i] = live[i].Name
	}
	return names
}

func (h *Host) schedulerMembers(live []berylhost.Member, leaving []string) []berylsched.Member {
	rules := h.configStore.Rules()
	members := make([]berylsched.Member, len(live))
	for i, m := range live {
		members[i] = berylsched.Member{Name: m.Name, Boot: m.Boot, Leaving: rules.IsLeaving(m.Name) || slices.Contains(leaving, m.Name)}
	}
	return members
}

// isPlatformWatcher reports whether this host is one of its region's few that watch the platform.
func (h *Host) isPlatformWatcher() bool {
	region := h.Settings.Region
	ranked := berylhost.Rank(watcherRankKey+region, h.membership.Live(), region)
	ranked = ranked[:min(platformWatchersPerRegion, len(ranked))]
	return slices.ContainsFunc(ranked, func(m berylhost.Member) bool { return m.Name == h.Settings.Host })
}

// watcherRankKey starts the rendezvous key by which a region's watchers are chosen.
const watcherRankKey = "configuration-watch/"

// localDigest is what this host tells peers on its probes.
func (h *Host) localDigest() berylhost.Digest {
	return berylhost.Digest{Revision: h.configStore.Revision(), Loads: h.scheduler.Loads()}
}

// receiveDigest takes what a peer tells on its probes.
func (h *Host) receiveDigest(peer string, digest berylhost.Digest) {
	h.configSyncer.NotePeerRevision(peer, digest.Revision)
	h.scheduler.RecordLoads(digest.Loads)
}

// memberView answers the duties' questions about members.
type memberView struct {
	host *Host
	// joinedAt is when the first peer was seen to have been heard, in nanoseconds of Unix time, or zero.
	joinedAt atomic.Int64
}

// Alive reports whether that run of the host may still be up; while this host is new, everyone may.
func (v *memberView) Alive(host string, boot uint64) bool {
	if !v.pastStartupGrace() {
		return true
	}
	return slices.ContainsFunc(v.host.membership.Live(), func(m berylhost.Member) bool {
		return m.Name == host && m.Boot == boot
	})
}

// pastStartupGrace reports whether this host has been a member for long enough to have heard of every other.
func (v *memberView) pastStartupGrace() bool {
	select {
	case <-v.host.membership.Joined():
	default:
		return false
	}
	v.joinedAt.CompareAndSwap(0, time.Now().UnixNano())
	return time.Since(time.Unix(0, v.joinedAt.Load())) >= startupGrace
}

// First reports whether this host comes first for the key among the live hosts.
func (v *memberView) First(key string) bool {
	first, ok := berylhost.First(key, v.host.membership.Live(), v.host.Settings.Region)
	return ok && first.Name == v.host.Settings.Host
}
