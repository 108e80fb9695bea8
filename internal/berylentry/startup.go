package berylentry

import (
	"cmp"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylhost"
)

const (
	// presumeDuration is how long after it has first read the host list a host takes listed hosts for up that it has not heard of. When
	// all hosts of a fleet start together, the membership needs about this long until each has heard of all others.
	presumeDuration = 2 * time.Second
	// presumeLiveShare is the share of the listed hosts that must be live for the membership to be trusted before that.
	presumeLiveShare = 0.9
)

// startup tells which hosts a host that has just started takes for up. Without it each host of a fleet that starts together would
// own all upstreams at first, and all of them together would grant each slot many times. It is used by one goroutine.
type startup struct {
	begun time.Time // when the host list was first read; zero before
	ended bool
}

// presume returns the listed hosts that are not live but taken for up, sorted by name, and a channel that receives when that ends.
// Both are nil once the membership is known.
func (s *startup) presume(now time.Time, live, listed []berylhost.Member) ([]berylhost.Member, <-chan time.Time) {
	if s.ended || len(listed) <= 1 {
		return nil, nil
	}
	if s.begun.IsZero() {
		s.begun = now
	}
	left := presumeDuration - now.Sub(s.begun)
	if left <= 0 || float64(len(live)) >= presumeLiveShare*float64(len(listed)) {
		s.ended = true
		return nil, nil
	}
	isLive := make(map[string]bool, len(live))
	for _, m := range live {
		isLive[m.Name] = true
	}
	var presumed []berylhost.Member
	for _, m := range listed {
		if !isLive[m.Name] {
			presumed = append(presumed, m)
		}
	}
	slices.SortFunc(presumed, func(a, b berylhost.Member) int { return cmp.Compare(a.Name, b.Name) })
	return presumed, time.After(left)
}
