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

// settleTime is how long a new host takes every other for alive.
const settleTime = 3 * time.Second

// watchersPerRegion is how many hosts of a region watch the platform.
const watchersPerRegion = 2

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

// follow passes each new configuration and member list on to the duties that work by them.
func (h *Host) follow(ctx context.Context) {
	h.members.SetCandidates(ctx, h.candidates())
	known := h.store.Revision()
	for {
		configured := h.store.Changed()
		moved := h.members.Changed()
		leaving, listed := h.listed.names()
		if revision := h.store.Revision(); revision != known {
			known = revision
			h.members.SetCandidates(ctx, h.candidates())
		}
		h.passOn(leaving)
		select {
		case <-ctx.Done():
			return
		case <-configured:
		case <-moved:
		case <-listed:
		}
	}
}

func (h *Host) passOn(leaving []string) {
	live := h.members.Live()
	if document := h.store.Current(); document != nil {
		h.upstreams.install(document.Inventory.Upstreams)
		document = withLeaving(document, leaving)
		h.scheduler.SetConfig(*document)
		h.platform.SetRateLimit(document.Rules.PlatformCallsPerSecond / float64(max(len(live), 1)))
	}
	h.scheduler.SetMembers(h.schedulerMembers(live, leaving))
}

// candidates returns the hosts that may be members: the inventory's, and before the first configuration the settings' peers.
func (h *Host) candidates() []berylhost.Member {
	var members []berylhost.Member
	document := h.store.Current()
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
	live := h.members.Live()
	names := make([]string, len(live))
	for i := range live {
		names[i] = live[i].Name
	}
	return names
}

func (h *Host) schedulerMembers(live []berylhost.Member, leaving []string) []berylsched.Member {
	rules := h.store.Rules()
	members := make([]berylsched.Member, len(live))
	for i, m := range live {
		members[i] = berylsched.Member{Name: m.Name, Boot: m.Boot, Leaving: rules.IsLeaving(m.Name) || slices.Contains(leaving, m.Name)}
	}
	return members
}

// watchesPlatform reports whether this host is one of its region's few that watch the platform.
func (h *Host) watchesPlatform() bool {
	region := h.Settings.Region
	ranked := berylhost.Rank(watchKey+region, h.members.Live(), region)
	ranked = ranked[:min(watchersPerRegion, len(ranked))]
	return slices.ContainsFunc(ranked, func(m berylhost.Member) bool { return m.Name == h.Settings.Host })
}

// watchKey starts the rendezvous key by which a region's watchers are chosen.
const watchKey = "configuration-watch/"

// digest is what this host tells peers on its probes.
func (h *Host) digest() berylhost.Digest {
	return berylhost.Digest{Revision: h.store.Revision(), Loads: h.scheduler.Loads()}
}

// receive takes what a peer tells on its probes.
func (h *Host) receive(peer string, digest berylhost.Digest) {
	h.spread.NotePeerRevision(peer, digest.Revision)
	h.scheduler.RecordLoads(digest.Loads)
}

// memberView answers the duties' questions about members.
type memberView struct {
	host *Host
	// joined is when the first peer was seen to have been heard, in nanoseconds of Unix time, or zero.
	joined atomic.Int64
}

// Alive reports whether that run of the host may still be up; while this host is new, everyone may.
func (v *memberView) Alive(host string, boot uint64) bool {
	if !v.settled() {
		return true
	}
	return slices.ContainsFunc(v.host.members.Live(), func(m berylhost.Member) bool {
		return m.Name == host && m.Boot == boot
	})
}

// settled reports whether this host has been a member for long enough to have heard of every other.
func (v *memberView) settled() bool {
	select {
	case <-v.host.members.Joined():
	default:
		return false
	}
	v.joined.CompareAndSwap(0, time.Now().UnixNano())
	return time.Since(time.Unix(0, v.joined.Load())) >= settleTime
}

// First reports whether this host comes first for the key among the live hosts.
func (v *memberView) First(key string) bool {
	first, ok := berylhost.First(key, v.host.members.Live(), v.host.Settings.Region)
	return ok && first.Name == v.host.Settings.Host
}
