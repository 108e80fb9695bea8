package berylsched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Member is one live host.
type Member struct {
	// Name is the host's name.
	Name string
	// Boot tells one run of the host from the next.
	Boot uint64
	// Leaving marks a host that is about to go and owns nothing.
	Leaving bool
}

// OwnerFunc returns which of the hosts, sorted by name and never empty, owns an upstream; all hosts must agree on it.
type OwnerFunc func(upstream string, hosts []string) string

// RendezvousOwner returns the host with the highest weight for the upstream.
func RendezvousOwner(upstream string, hosts []string) string {
	best, weight := "", uint64(0)
	for _, h := range hosts {
		w := pairWeight(upstream, h)
		if best == "" || w > weight {
			best, weight = h, w
		}
	}
	return best
}

// pairWeight hashes two names; the finalizer spreads names that differ in one digit only.
func pairWeight(a, b string) uint64 {
	return mix(xxhash.Sum64String(a) ^ mix(xxhash.Sum64String(b)))
}

// hostList is the hosts that may own the upstreams of one region.
type hostList struct {
	names []string // sorted
	// mixed holds the part of pairWeight that each name gives, so that a table of hundreds of upstreams hashes it once.
	mixed []uint64
}

func (l *hostList) add(name string) {
	l.names = append(l.names, name)
}

// seal sorts the names and hashes them.
func (l *hostList) seal() {
	slices.Sort(l.names)
	l.mixed = make([]uint64, len(l.names))
	for i, name := range l.names {
		l.mixed[i] = mix(xxhash.Sum64String(name))
	}
}

// owner is RendezvousOwner for an upstream of that hash.
func (l *hostList) owner(hash uint64) string {
	best, weight := "", uint64(0)
	for i, m := range l.mixed {
		if w := mix(hash ^ m); best == "" || w > weight {
			best, weight = l.names[i], w
		}
	}
	return best
}

// mix is the 64-bit finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// place is one upstream and its owner.
type place struct {
	upstream string
	hash     uint64
	owner    string
	slots    int
	leaving  bool
	// far marks an upstream of another region than this host's.
	far   bool
	known *knowledge
}

// share is an owner with those of a target's upstreams that may get new work.
type share struct {
	host string
	far  bool
	// tie is the owner's place in the order in which this host prefers owners with equal room.
	tie    uint64
	places []*place
}

// table is what a host believes about who owns what; it is never changed once published.
type table struct {
	self    string
	places  map[string]*place
	targets map[string][]*place
	shares  map[string][]share
	members map[string]Member
	routing berylconf.Routing
	timeout time.Duration
	// stale is closed once a newer table is in force.
	stale chan struct{}
}

// newTable places every upstream on a live host of its region, or on any live host when its region has none.
// What is known of the upstreams is taken over from the last table. A nil owner is RendezvousOwner.
func newTable(doc berylconf.Document, members []Member, self string, owner OwnerFunc, last *table) *table {
	t := &table{
		self:    self,
		places:  make(map[string]*place, len(doc.Inventory.Upstreams)),
		targets: make(map[string][]*place),
		shares:  make(map[string][]share),
		members: make(map[string]Member, len(members)),
		stale:   make(chan struct{}),
		routing: doc.Rules.Routing,
		timeout: doc.Rules.DefaultTimeout.Std(),
	}
	for _, m := range members {
		t.members[m.Name] = m
	}
	home := regionsOf(doc)
	leaving := make(map[string]bool, len(doc.Rules.Leaving))
	for _, name := range doc.Rules.Leaving {
		leaving[name] = true
	}
	regions, all := hostsByRegion(members, leaving, home)
	listed := make(shareIndex)
	for _, u := range doc.Inventory.Upstreams {
		hosts := regions[u.Region]
		if hosts == nil {
			hosts = all
		}
		p := &place{upstream: u.Name, hash: xxhash.Sum64String(u.Name), slots: u.Slots, known: last.knowledge(u.Name)}
		p.far = u.Region != home[self]
		p.leaving = leaving[u.Name]
		if len(hosts.names) > 0 {
			if owner == nil {
				p.owner = hosts.owner(p.hash)
			} else {
				p.owner = owner(u.Name, hosts.names)
			}
		}
		t.places[u.Name] = p
		for _, name := range u.Targets() {
			t.targets[name] = append(t.targets[name], p)
			t.addShare(listed, name, p)
		}
	}
	return t
}

// knowledge returns what a table, which may be nil, knows of an upstream.
func (t *table) knowledge(upstream string) *knowledge {
	if t != nil && t.places[upstream] != nil {
		return t.places[upstream].known
	}
	return new(knowledge)
}

// shareKey names one share of a table; shareIndex says where it stands among its target's.
type (
	shareKey struct {
		target, host string
		far          bool
	}
	shareIndex map[shareKey]int
)

// addShare lists an upstream under its owner, if it may get new work.
func (t *table) addShare(listed shareIndex, target string, p *place) {
	if p.leaving || p.owner == "" || p.slots <= 0 {
		return
	}
	key := shareKey{target: target, host: p.owner, far: p.far}
	i, ok := listed[key]
	if !ok {
		i = len(t.shares[target])
		listed[key] = i
		t.shares[target] = append(t.shares[target], share{host: p.owner, far: p.far, tie: pairWeight(t.self, p.owner)})
	}
	t.shares[target][i].places = append(t.shares[target][i].places, p)
}

// regionsOf returns the region of each host of the inventory.
func regionsOf(doc berylconf.Document) map[string]string {
	region := make(map[string]string, len(doc.Inventory.Hosts))
	for _, h := range doc.Inventory.Hosts {
		region[h.Name] = h.Region
	}
	return region
}

// hostsByRegion lists the hosts that may own upstreams; when all are leaving, all may.
func hostsByRegion(members []Member, leaving map[string]bool, region map[string]string) (map[string]*hostList, *hostList) {
	regions := make(map[string]*hostList)
	staying, going := &hostList{}, &hostList{}
	for _, m := range members {
		if m.Leaving || leaving[m.Name] {
			going.add(m.Name)
			continue
		}
		staying.add(m.Name)
		list := regions[region[m.Name]]
		if list == nil {
			list = &hostList{}
			regions[region[m.Name]] = list
		}
		list.add(m.Name)
	}
	if len(staying.names) == 0 {
		staying = going
	}
	staying.seal()
	for _, list := range regions {
		list.seal()
	}
	return regions, staying
}

// mayServe says whether the ask could be granted by any owner.
func (t *table) mayServe(ask *berylpermit.Request) bool {
	return slices.ContainsFunc(t.targets[ask.Target], func(p *place) bool { return allowed(p, ask) })
}

// ownedBy returns the names of the upstreams that a host owns, sorted.
func (t *table) ownedBy(host string) []string {
	var names []string
	for name, p := range t.places {
		if p.owner == host {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
