package berylsched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Member is one live host of the fleet.
type Member struct {
	// Name identifies the host; Boot tells its runs apart.
	Name string
	// Boot distinguishes the runs of the host; a later run has a higher number.
	Boot uint64
	// Leaving marks a host that is about to stop and may no longer own upstreams.
	Leaving bool
	// Presumed marks a host that is listed but has not been heard of since this host started. It owns upstreams like the others;
	// an online request does not wait for it.
	Presumed bool
}

// OwnerFunc returns which of the hosts owns an upstream. The list is sorted by name and never empty. All hosts must use
// the same function.
type OwnerFunc func(upstream string, hosts []string) string

// RendezvousOwner returns the host with the highest rendezvous hashing weight for the upstream.
func RendezvousOwner(upstream string, hosts []string) string {
	best, weight := "", uint64(0)
	for _, h := range hosts {
		w := rendezvousWeight(upstream, h)
		if best == "" || w > weight {
			best, weight = h, w
		}
	}
	return best
}

// rendezvousWeight hashes a pair of names. The finalizer spreads the weights of names that differ only in one digit.
func rendezvousWeight(a, b string) uint64 {
	return splitMix64(xxhash.Sum64String(a) ^ splitMix64(xxhash.Sum64String(b)))
}

// hostList holds the hosts that may own the upstreams of one region.
type hostList struct {
	names []string // in ascending order
	// hashes holds each name's part of rendezvousWeight, so that it is computed once for hundreds of upstreams.
	hashes []uint64
}

func (l *hostList) add(name string) {
	l.names = append(l.names, name)
}

// sortAndHash sorts the names and computes their hashes; it must be called after the last add and before ownerOf.
func (l *hostList) sortAndHash() {
	slices.Sort(l.names)
	l.hashes = make([]uint64, len(l.names))
	for i, name := range l.names {
		l.hashes[i] = splitMix64(xxhash.Sum64String(name))
	}
}

// ownerOf is RendezvousOwner with the hash of the upstream's name.
func (l *hostList) ownerOf(hash uint64) string {
	best, weight := "", uint64(0)
	for i, m := range l.hashes {
		if w := splitMix64(hash ^ m); best == "" || w > weight {
			best, weight = l.names[i], w
		}
	}
	return best
}

// splitMix64 is the 64-bit finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placement is the assignment of one upstream to its owner.
type placement struct {
	upstream string
	hash     uint64
	owner    string
	slots    int
	leaving  bool
	// otherRegion marks an upstream in a region other than this host's.
	otherRegion bool
	view        *loadView
}

// ownerShare holds those of one owner's upstreams that serve one target and may get new work. Upstreams in this host's
// region and those in other regions make up separate shares.
type ownerShare struct {
	host        string
	otherRegion bool
	// tieBreak orders owners with equal capacity, differently on each host.
	tieBreak   uint64
	placements []*placement
}

// table maps upstreams to their owners as this host knows them. It is immutable once published, except for the loads.
type table struct {
	self       string
	placements map[string]*placement
	targets    map[string][]*placement
	shares     map[string][]ownerShare
	members    map[string]Member
	routing    berylconf.Routing
	timeout    time.Duration
	// replaced is closed once a newer table has been published.
	replaced chan struct{}
}

// newTable assigns every upstream to a live host of its region, or to any live host if its region has none. It keeps the
// load views of the previous table, which may be nil. A nil owner means RendezvousOwner.
func newTable(doc berylconf.Document, members []Member, self string, owner OwnerFunc, previous *table) *table {
	t := &table{
		self:       self,
		placements: make(map[string]*placement, len(doc.Inventory.Upstreams)),
		targets:    make(map[string][]*placement),
		shares:     make(map[string][]ownerShare),
		members:    make(map[string]Member, len(members)),
		replaced:   make(chan struct{}),
		routing:    doc.Rules.Routing,
		timeout:    doc.Rules.DefaultTimeout.Std(),
	}
	for _, m := range members {
		t.members[m.Name] = m
	}
	hostRegions := regionsOf(doc)
	leaving := make(map[string]bool, len(doc.Rules.Leaving))
	for _, name := range doc.Rules.Leaving {
		leaving[name] = true
	}
	regions, all := hostsByRegion(members, leaving, hostRegions)
	shareIndexes := make(shareIndex)
	for _, u := range doc.Inventory.Upstreams {
		hosts := regions[u.Region]
		if hosts == nil {
			hosts = all
		}
		p := &placement{upstream: u.Name, hash: xxhash.Sum64String(u.Name), slots: u.Slots, view: previous.viewOf(u.Name)}
		p.otherRegion = u.Region != hostRegions[self]
		p.leaving = leaving[u.Name]
		if len(hosts.names) > 0 {
			if owner == nil {
				p.owner = hosts.ownerOf(p.hash)
			} else {
				p.owner = owner(u.Name, hosts.names)
			}
		}
		t.placements[u.Name] = p
		for _, name := range u.Targets() {
			t.targets[name] = append(t.targets[name], p)
			t.addShare(shareIndexes, name, p)
		}
	}
	return t
}

// viewOf returns the load view of an upstream, or a new one if the table is nil or lacks the upstream.
func (t *table) viewOf(upstream string) *loadView {
	if t != nil && t.placements[upstream] != nil {
		return t.placements[upstream].view
	}
	return new(loadView)
}

// shareKey identifies one ownerShare of a table; shareIndex maps it to its index among the shares of its target.
type (
	shareKey struct {
		target, host string
		otherRegion  bool
	}
	shareIndex map[shareKey]int
)

// addShare adds an upstream to its owner's share of the target, if it may get new work.
func (t *table) addShare(shareIndexes shareIndex, target string, p *placement) {
	if p.leaving || p.owner == "" || p.slots <= 0 {
		return
	}
	key := shareKey{target: target, host: p.owner, otherRegion: p.otherRegion}
	i, ok := shareIndexes[key]
	if !ok {
		i = len(t.shares[target])
		shareIndexes[key] = i
		t.shares[target] = append(t.shares[target], ownerShare{host: p.owner, otherRegion: p.otherRegion, tieBreak: rendezvousWeight(t.self, p.owner)})
	}
	t.shares[target][i].placements = append(t.shares[target][i].placements, p)
}

// regionsOf returns the region of each host of the inventory.
func regionsOf(doc berylconf.Document) map[string]string {
	region := make(map[string]string, len(doc.Inventory.Hosts))
	for _, h := range doc.Inventory.Hosts {
		region[h.Name] = h.Region
	}
	return region
}

// hostsByRegion lists the hosts that may own upstreams, by region and all together. Leaving hosts may own upstreams only
// when all hosts are leaving.
func hostsByRegion(members []Member, leaving map[string]bool, region map[string]string) (map[string]*hostList, *hostList) {
	regions := make(map[string]*hostList)
	active, leavingHosts := &hostList{}, &hostList{}
	for _, m := range members {
		if m.Leaving || leaving[m.Name] {
			leavingHosts.add(m.Name)
			continue
		}
		active.add(m.Name)
		list := regions[region[m.Name]]
		if list == nil {
			list = &hostList{}
			regions[region[m.Name]] = list
		}
		list.add(m.Name)
	}
	if len(active.names) == 0 {
		active = leavingHosts
	}
	active.sortAndHash()
	for _, list := range regions {
		list.sortAndHash()
	}
	return regions, active
}

// canServe reports whether any upstream is eligible for the request.
func (t *table) canServe(req *berylpermit.Request) bool {
	return slices.ContainsFunc(t.targets[req.Target], func(p *placement) bool { return isEligible(p, req) })
}

// ownedBy returns the names of the upstreams that a host owns, sorted.
func (t *table) ownedBy(host string) []string {
	var names []string
	for name, p := range t.placements {
		if p.owner == host {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
