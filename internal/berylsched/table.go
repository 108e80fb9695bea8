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
	host   string
	far    bool
	places []*place
}

// table is what a host believes about who owns what; it is never changed once published.
type table struct {
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
// What is known of the upstreams is taken over from the last table.
func newTable(doc berylconf.Document, members []Member, self string, owner OwnerFunc, last *table) *table {
	t := &table{
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
	regions, all := hostsByRegion(doc, members, home)
	for _, u := range doc.Inventory.Upstreams {
		hosts := regions[u.Region]
		if len(hosts) == 0 {
			hosts = all
		}
		p := &place{upstream: u.Name, hash: xxhash.Sum64String(u.Name), slots: u.Slots, known: last.knowledge(u.Name)}
		p.far = u.Region != home[self]
		p.leaving = slices.Contains(doc.Rules.Leaving, u.Name)
		if len(hosts) > 0 {
			p.owner = owner(u.Name, hosts)
		}
		t.places[u.Name] = p
		for _, name := range u.Targets() {
			t.targets[name] = append(t.targets[name], p)
			t.addShare(name, p)
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

// addShare lists an upstream under its owner, if it may get new work.
func (t *table) addShare(target string, p *place) {
	if p.leaving || p.owner == "" || p.slots <= 0 {
		return
	}
	shares := t.shares[target]
	i := slices.IndexFunc(shares, func(s share) bool { return s.host == p.owner && s.far == p.far })
	if i < 0 {
		i = len(shares)
		shares = append(shares, share{host: p.owner, far: p.far})
	}
	shares[i].places = append(shares[i].places, p)
	t.shares[target] = shares
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
func hostsByRegion(doc berylconf.Document, members []Member, region map[string]string) (map[string][]string, []string) {
	regions := make(map[string][]string)
	var staying, leaving []string
	for _, m := range members {
		if m.Leaving || slices.Contains(doc.Rules.Leaving, m.Name) {
			leaving = append(leaving, m.Name)
			continue
		}
		staying = append(staying, m.Name)
		regions[region[m.Name]] = append(regions[region[m.Name]], m.Name)
	}
	if len(staying) == 0 {
		staying = leaving
	}
	slices.Sort(staying)
	for _, hosts := range regions {
		slices.Sort(hosts)
	}
	return regions, staying
}

// mayServe says whether the ask could be granted by any owner.
func (t *table) mayServe(ask *berylpermit.Ask) bool {
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
