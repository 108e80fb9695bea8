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
		hostByRank := map[int]string{}
		for _, m := range live {
			hostByRank[rankAmong(key, m.Name, "r", live, isLeaving)] = m.Name
		}
		is.Equal(len(hostByRank), 6) // no two hosts may have the same rank, because they would adopt a job at the same time
		for r := range 4 {
			is.True(!isLeaving(hostByRank[r], 0)) // the four hosts that are not about to stop must have the lowest ranks
		}
	}
}
