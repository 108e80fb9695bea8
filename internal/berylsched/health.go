package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// meanWeight is the weight of a new sample in a moving mean.
const meanWeight = 0.2

// moving is an exponentially weighted moving mean of a time span.
type moving struct {
	mean time.Duration
}

func (m *moving) add(d time.Duration) {
	if d <= 0 {
		return
	}
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(float64(d-m.mean) * meanWeight)
}

// health is what the calls to an upstream have shown of it.
type health struct {
	busy  [kinds]moving
	first moving
	gap   moving
}

// limit returns how many of the configured slots are given.
func (h *health) limit(slots int) int {
	return slots
}

// inUse says whether the upstream takes ordinary work.
func (h *health) inUse(now time.Time) bool {
	return true
}

// opens returns when the upstream is probed next.
func (h *health) opens() time.Time {
	return time.Time{}
}

// open says whether a permit of that kind may be granted, as ordinary work or as a probe.
func (h *health) open(now time.Time, u *upstream, k kind) bool {
	return true
}

func (h *health) granted(p *permit) {}

func (h *health) ended(p *permit) {}

// observe learns from the end of a call.
func (h *health) observe(now time.Time, p *permit, r berylpermit.Report) {
	h.first.add(r.FirstToken)
	h.gap.add(r.TokenGap)
	if !r.Fault {
		h.busy[kindOf(p.class, p.long)].add(r.Busy)
	}
}
