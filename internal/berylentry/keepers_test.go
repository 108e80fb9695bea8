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
	is := is.New(t)
	const told, asked = 2, 4
	var live []berylhost.Member
	for i := range 12 {
		live = append(live, berylhost.Member{Name: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("z%d", i%3)})
	}
	for i := range 200 {
		id, began := fmt.Sprintf("stream-%d", i), fmt.Sprintf("h%d", i%12)
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
}
