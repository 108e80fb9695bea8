package berylentry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

// Jobs that a host releases during a rolling restart must be adopted at once. Hosts that are about to stop therefore
// rank last, so that no other host waits for them to adopt a job.
func TestRankPutsLeavingHostsLast(t *testing.T) {
	is := is.New(t)
	var live []berylhost.Member
	for i := range 6 {
		live = append(live, berylhost.Member{Name: fmt.Sprintf("h%d", i), Region: "r"})
	}
	isLeaving := func(name string, _ uint64) bool { return name == "h1" || name == "h4" }
	for i := range 50 {
		key := fmt.Sprintf("job-%d", i)
		holders := map[int]string{}
		for _, m := range live {
			holders[rankAmong(key, m.Name, "r", live, isLeaving)] = m.Name
		}
		is.Equal(len(holders), 6) // each host has a rank of its own, so that no two adopt at once
		for r := range 4 {
			is.True(!isLeaving(holders[r], 0)) // hosts that stay come first
		}
	}
}
