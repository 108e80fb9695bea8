package berylentry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

// Separate watches of all hosts cost more calls than one shared watch, also where every failure domain has only a few
// hosts.
func TestWatcher(t *testing.T) {
	for _, tt := range []struct {
		name string
		// hosts is the number of hosts by region and failure domain.
		hosts map[string]int
		// watching is how many hosts watch the store for others, passing is how many watch through another host and
		// pass the changes on, and alone is how many watch only for themselves.
		watching, passing, alone int
	}{
		{"few hosts", map[string]int{"r/a": 2, "r/b": 2}, 0, 0, 4},
		{"small failure domains", map[string]int{"r/a": 3, "r/b": 2, "r/c": 1}, 1, 0, 0},
		{"large failure domains", map[string]int{"r/a": 24, "r/b": 25, "r/c": 25}, 1, 2, 0},
		{"a large and a small one", map[string]int{"r/a": 6, "r/b": 2}, 1, 0, 0},
		{"small domains of two regions", map[string]int{"r/a": 3, "r/b": 3, "s/c": 2}, 1, 0, 2},
		{"large failure domains of two regions", map[string]int{"r/a": 9, "r/b": 8, "s/c": 9, "s/d": 7, "s/e": 2}, 2, 2, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var live []berylhost.Member
			for domain, n := range tt.hosts {
				for i := range n {
					live = append(live, berylhost.Member{Name: fmt.Sprintf("%s-%d", domain, i), Region: domain[:1], FailureDomain: domain})
				}
			}
			reliedOn, serves, sourceOf := map[string]bool{}, map[string]bool{}, map[string]string{}
			watching, passing, alone := 0, 0, 0
			for _, m := range live {
				source, serving := chooseWatcher(Settings{Host: m.Name, Region: m.Region, FailureDomain: m.FailureDomain}, live)
				sourceOf[m.Name] = source
				switch {
				case source != "":
					reliedOn[source] = true
					if serving {
						serves[m.Name] = true
						passing++
					}
				case serving:
					serves[m.Name] = true
					watching++
				default:
					alone++
				}
			}
			is.Equal(watching, tt.watching)
			is.Equal(passing, tt.passing)
			is.Equal(alone, tt.alone)
			for source := range reliedOn {
				is.True(serves[source])                                             // this host must know that others rely on it
				is.True(sourceOf[source] == "" || sourceOf[sourceOf[source]] == "") // a change may pass through at most two hosts
			}
		})
	}
}
