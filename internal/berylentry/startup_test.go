package berylentry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

// Guards against hosts that start together taking themselves for the only ones, and against a host that keeps taking lost hosts
// for up.
func TestHostsPresumedAtTheStart(t *testing.T) {
	hosts := func(names ...string) []berylhost.Member {
		var members []berylhost.Member
		for _, name := range names {
			members = append(members, berylhost.Member{Name: name})
		}
		return members
	}
	start := time.Unix(1_700_000_000, 0)
	for _, tt := range []struct {
		name         string
		live, listed []berylhost.Member
		after        time.Duration
		want         int
	}{
		{"host list not read", hosts("a"), hosts("a"), 0, 0},
		{"all start together", hosts("a"), hosts("c", "a", "b"), 0, 2},
		{"some are heard of", hosts("a", "c"), hosts("a", "b", "c"), presumeDuration / 2, 1},
		{"all are heard of", hosts("a", "b"), hosts("a", "b"), 0, 0},
		{"others stay silent", hosts("a"), hosts("a", "b", "c"), presumeDuration, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s startup
			s.presume(start, hosts("a"), hosts("a", "b", "c"))
			presumed, ends := s.presume(start.Add(tt.after), tt.live, tt.listed)
			is.Equal(len(presumed), tt.want)
			is.Equal(ends != nil, tt.want > 0)
		})
	}
}
