package berylhost_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

func TestIsolatedHostWaitsForItsCandidates(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []string
		wait       time.Duration // from the arrival of the candidates until the host counts as joined, in whole ticks
	}{
		{name: "alone in the inventory", candidates: []string{"entry-0"}, wait: berylhost.TickInterval},
		{name: "others that are down", candidates: []string{"entry-0", "entry-1"}, wait: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			table := &berylhost.Table{Self: member("entry-0", 1)}
			joined := func() bool {
				now = now.Add(berylhost.TickInterval)
				for _, a := range table.Step(now, berylhost.Tick{}) {
					if j, ok := a.(berylhost.Joined); ok {
						is.True(j.Alone)
						return true
					}
				}
				return false
			}
			for i := range 100 {
				if i == 50 {
					table.Step(now, berylhost.Candidates{}) // an empty list means that the candidates are not known yet
				}
				is.Equal(joined(), false) // it must not join before the candidates are known
			}
			var members []berylhost.Member
			for _, name := range test.candidates {
				members = append(members, member(name, 0))
			}
			table.Step(now, berylhost.Candidates{Members: members})
			start := now
			for !joined() {
				is.True(now.Sub(start) < time.Minute)
			}
			is.Equal(now.Sub(start), test.wait)
		})
	}
}
