package berylentry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

// The hosts that are told where a stream began must be among those that any other host asks, also when the host that began
// it and one of those told are gone.
func TestKeepersAreAsked(t *testing.T) {
	for _, hosts := range []int{6, 12, 69, 420} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			const told, asked = 2, 4
			live := liveHosts(hosts)
			for i := range 50 {
				id, began := fmt.Sprintf("stream-%d", i), fmt.Sprintf("h%d", i%hosts)
				keepers := chooseKeepers(id, began, live, told)
				is.Equal(len(keepers), told)
				is.True(!slices.Contains(keepers, began))
				left := slices.DeleteFunc(slices.Clone(live), func(m berylhost.Member) bool { return m.Name == began || m.Name == keepers[0] })
				for _, m := range left {
					if m.Name != keepers[1] {
						is.True(slices.Contains(chooseKeepers(id, m.Name, left, asked), keepers[1]))
					}
				}
			}
		})
	}
}

// In a large fleet each host tells few others, so that its connections to them stay in use.
func TestKeepersOfALargeFleetAreFew(t *testing.T) {
	is := is.New(t)
	for hosts, most := range map[int]int{69: 24, 420: 96} {
		live := liveHosts(hosts)
		keepers := make(map[string]bool)
		for i := range 2000 {
			for _, name := range chooseKeepers(fmt.Sprintf("stream-%d", i), "h0", live, 2) {
				keepers[name] = true
			}
		}
		is.True(len(keepers) <= most)
	}
}

func liveHosts(n int) []berylhost.Member {
	var live []berylhost.Member
	for i := range n {
		live = append(live, berylhost.Member{Name: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("z%d", i%3)})
	}
	return live
}
