package berylsched

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
)

// inventory returns a configuration with that many hosts, in five regions, and upstreams, in seven, and its live hosts.
func inventory(hosts, upstreams int) (berylconf.Document, []Member) {
	var doc berylconf.Document
	members := make([]Member, hosts)
	for i := range hosts {
		members[i] = Member{Name: fmt.Sprintf("host-%d", i), Boot: 1}
		doc.Inventory.Hosts = append(doc.Inventory.Hosts, berylconf.Host{Name: members[i].Name, Region: fmt.Sprintf("r-%d", i%5)})
	}
	for i := range upstreams {
		doc.Inventory.Upstreams = append(doc.Inventory.Upstreams, berylconf.Upstream{Name: fmt.Sprintf("u-%d", i), Region: fmt.Sprintf("r-%d", i%7), Service: "s", Slots: 8})
	}
	return doc, members
}

// TestTablePlacesAsRendezvousOwner checks that the precomputed hashes of a table give the same owners as RendezvousOwner.
// All hosts must agree on owners, including hosts of an earlier release, whose tables hash each pair anew.
func TestTablePlacesAsRendezvousOwner(t *testing.T) {
	is := is.New(t)
	doc, members := inventory(23, 60)
	members[3].Leaving, doc.Rules.Leaving = true, []string{"host-9", "u-4"}
	fast := newTable(doc, members, "host-1", nil, nil)
	plain := newTable(doc, members, "host-1", RendezvousOwner, nil)
	is.Equal(len(fast.placements), 60)
	for name, p := range plain.placements {
		is.Equal(fast.placements[name].owner, p.owner)
		is.Equal(fast.placements[name].otherRegion, p.otherRegion)
		is.Equal(fast.placements[name].leaving, p.leaving)
	}
	is.Equal(len(fast.shares["s"]), len(plain.shares["s"]))
}

func TestSetInstallsOneTableForAChange(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Host: "host-0", Boot: 1})
	doc, members := inventory(4, 6)
	s.SetConfigAndMembers(doc, members)
	first := s.table.Load()
	same, sameMembers := inventory(4, 6)
	s.SetConfigAndMembers(same, sameMembers)
	is.True(s.table.Load() == first) // an equal configuration and host list install no new table
	changed, fewer := inventory(3, 5)
	s.SetConfigAndMembers(changed, fewer)
	second := s.table.Load()
	is.True(second != first)
	select {
	case <-first.replaced:
	default:
		t.Fatal("the replaced channel of the previous table is not closed")
	}
	is.Equal(len(second.placements), 5)
	is.Equal(len(second.members), 3)
	changed.Rules.Leaving = []string{"u-1"}
	s.SetConfigAndMembers(changed, fewer)
	is.True(s.table.Load().placements["u-1"].leaving)
}

func BenchmarkTable(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			doc, members := inventory(hosts, hosts)
			b.ReportAllocs()
			last := newTable(doc, members, "host-0", nil, nil)
			for b.Loop() {
				last = newTable(doc, members, "host-0", nil, last)
			}
		})
	}
}
