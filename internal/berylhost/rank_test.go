package berylhost_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

const (
	rankKeys = 2000
	// fairShare is the largest allowed ratio between a host's number of keys and the mean, and between the mean and it.
	fairShare = 1.25
)

func regionMembers() []berylhost.Member {
	var live []berylhost.Member
	for i := range 6 {
		m := member(fmt.Sprintf("entry-%d", i), 1)
		if i >= 3 {
			m.Region = "thies"
		}
		live = append(live, m)
	}
	return live
}

func TestRank(t *testing.T) {
	is := is.New(t)
	live := regionMembers()
	reversed := slices.Clone(live)
	slices.Reverse(reversed)
	owned := map[string]int{}
	for i := range rankKeys {
		key := fmt.Sprintf("ribdesk-llm-%d", i)
		ranked := berylhost.Rank(key, live, "thies")
		for j, m := range ranked {
			is.Equal(m.Region == "thies", j < 3) // the three hosts of the region must rank before all others
		}
		is.Equal(ranked, berylhost.Rank(key, reversed, "thies")) // the ranking must not depend on the order of the list
		first, ok := berylhost.First(key, reversed, "thies")
		is.True(ok)
		is.Equal(first, ranked[0])
		remaining := slices.DeleteFunc(slices.Clone(live), func(m berylhost.Member) bool { return m.Name == "entry-5" })
		if newOwner, _ := berylhost.First(key, remaining, "thies"); first.Name != "entry-5" {
			is.Equal(newOwner, first) // the loss of a host must move only the keys that it owned
		} else {
			is.Equal(newOwner, ranked[1]) // the lost host's keys must move to the next host in rank
		}
		owned[first.Name]++
	}
	for _, m := range live[3:] {
		is.True(float64(owned[m.Name]) < fairShare*rankKeys/3)
		is.True(float64(owned[m.Name]) > rankKeys/3/fairShare)
	}
	_, ok := berylhost.First("ribdesk-llm-1", nil, "thies")
	is.Equal(ok, false)
}

// TestNewsIsChecked applies invalid gossip, as a faulty peer could send it, and checks that it is ignored.
func TestNewsIsChecked(t *testing.T) {
	for _, test := range []struct {
		name   string
		from   string
		change func(*berylhost.Gossip)
		live   int
	}{
		{name: "valid", change: func(*berylhost.Gossip) {}, live: 3},
		{name: "sender claims to be another host", from: "entry-9", change: func(*berylhost.Gossip) {}, live: 1},
		{name: "no state", change: func(g *berylhost.Gossip) { g.Updates[0].State = berylhost.Unknown }, live: 2},
		{name: "state out of range", change: func(g *berylhost.Gossip) { g.Updates[0].State = 200 }, live: 2},
		{name: "no address", change: func(g *berylhost.Gossip) { g.Updates[0].PeerAddress = "entry-2:7443" }, live: 2},
		{name: "name too long", change: func(g *berylhost.Gossip) { g.Updates[0].Name = fmt.Sprintf("%100d", 1) }, live: 2},
		{name: "highest incarnation", change: func(g *berylhost.Gossip) { g.Updates[0].Incarnation = 1<<64 - 1 }, live: 2},
		{name: "more updates than a message may hold", change: func(g *berylhost.Gossip) {
			for i := range 100 {
				m := g.Updates[0]
				m.Name = fmt.Sprintf("entry-x%d", i)
				g.Updates = append(g.Updates, m)
			}
		}, live: 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulator(1, 1)
			n := sim.nodes[sim.names[0]]
			live := func(name string) berylhost.Member {
				m := member(name, 5)
				m.Incarnation = 5
				m.State = berylhost.Alive
				return m
			}
			gossip := berylhost.Gossip{Self: live("entry-1"), Updates: []berylhost.Member{live("entry-2")}}
			test.change(&gossip)
			from := "entry-1"
			if test.from != "" {
				from = test.from
			}
			sim.step(n, berylhost.GossipReceived{From: from, Gossip: gossip})
			is.New(t).Equal(len(n.Live()), test.live)
		})
	}
}
