package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// meanWeight is the weight of a new sample in a moving mean.
	meanWeight = 0.2
	// faultsAside is how many faults in a row set an upstream aside.
	faultsAside = 2
	// refusalsAside is how many calls in a row that an upstream refuses unrun set it aside.
	refusalsAside = 4
	// faultBackoff is how long an upstream is first set aside for faults; it doubles each time.
	faultBackoff = time.Second
	// faultBackoffMost bounds that time.
	faultBackoffMost = 30 * time.Second
	// slowBackoff is how long an upstream is first set aside for slowness; it doubles each time.
	slowBackoff = 500 * time.Millisecond
	// slowBackoffMost bounds that time.
	slowBackoffMost = 4 * time.Second
	// backoffMemory is how long an upstream must be in use for its backoff to start anew.
	backoffMemory = 30 * time.Second
	// onlineProbeAfter is how long a probe waits for batch work before an online request makes it.
	onlineProbeAfter = time.Second
	// slowRatio is how many times the median an upstream must take to lose slots.
	slowRatio = 2.0
	// asideRatio is how many times the median an upstream must take to be set aside.
	asideRatio = 4.0
	// cutFactor is by what an upstream's share of slots shrinks when it is slow.
	cutFactor = 0.5
	// regrowStep is by what that share grows when it is not.
	regrowStep = 0.1
	// returnShare is the share of slots with which an upstream comes back.
	returnShare = 0.5
)

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

// norm is the median of a target's upstreams.
type norm struct {
	first time.Duration
	gap   time.Duration
}

// ratio is how many times the norm the spans take; zero where nothing is known.
func (n norm) ratio(first, gap time.Duration) float64 {
	return max(quotient(first, n.first), quotient(gap, n.gap))
}

func quotient(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// health is what the calls to an upstream have shown of it; the zero value is in full use.
type health struct {
	busy  [kinds]moving
	first moving
	gap   moving
	// slow is how many times the norm the upstream takes, as last judged.
	slow float64
	// cut is the share of the slots that is not given.
	cut float64
	// fresh counts the samples since the last judgement.
	fresh int
	// faults counts faults in a row.
	faults int
	// refusals counts the calls in a row that it refused unrun.
	refusals int
	// aside marks an upstream that gets nothing but probes.
	aside bool
	// asideSlow marks one set aside for slowness.
	asideSlow bool
	probing   bool
	// asides is how often in a row it was set aside.
	asides int
	// since is when it was last set aside.
	since time.Time
	// until is when the next probe is due.
	until time.Time
	// back is when it last came back into use.
	back time.Time
}

// limit returns how many of the configured slots are given.
func (h *health) limit(slots int) int {
	if h.cut == 0 {
		return slots
	}
	return max(int(float64(slots)*(1-h.cut)+0.5), 1)
}

// open says whether a permit of that kind may be granted, as ordinary work or as a probe.
func (h *health) open(now time.Time, k kind, alone bool) bool {
	if !h.aside {
		return true
	}
	if h.probing || now.Before(h.due(alone)) || k == longOnline {
		return false
	}
	return k == batchWork || alone || !now.Before(h.until.Add(onlineProbeAfter))
}

// due returns when the next probe may go; a target with no upstream in use is alone and probed at a steady pace.
func (h *health) due(alone bool) time.Time {
	steady := h.since.Add(faultBackoff)
	if alone && steady.Before(h.until) {
		return steady
	}
	return h.until
}

// granted marks a permit as the probe of an upstream that is set aside.
func (h *health) granted(p *permit) {
	if h.aside {
		h.probing = true
		p.probe = true
	}
}

// ended notes that a permit has gone, with or without a report.
func (h *health) ended(p *permit) {
	if p.probe {
		h.probing = false
	}
}

// observe learns from the end of a call.
func (h *health) observe(now time.Time, p *permit, r berylpermit.Report, n norm) {
	if r.Fault {
		h.fault(now, p)
		return
	}
	if r.Refused {
		if 2*(p.up.held()-1) < p.up.slots {
			h.refused(now, p)
		}
		return
	}
	if r.TimeToFirstToken > 0 || r.Kind == beryloutcome.Answered {
		h.faults, h.refusals = 0, 0
		h.probed(now, p, r, n)
	}
	if r.Kind == beryloutcome.Answered {
		h.busy[kindOf(p.class, p.long)].add(r.HeldFor)
	}
	h.first.add(r.TimeToFirstToken)
	h.gap.add(r.InterTokenLatency)
	h.fresh++
}

func (h *health) fault(now time.Time, p *permit) {
	h.faults++
	if p.probe || !h.aside && h.faults >= faultsAside {
		h.setAside(now, faultBackoff, faultBackoffMost)
		h.asideSlow = false
	}
}

// refused sets aside an upstream that refuses one call after the other although under half of its slots are in use as far
// as is known: it would draw the work of all hosts. One that is full may refuse a few in a row.
func (h *health) refused(now time.Time, p *permit) {
	h.refusals++
	if p.probe || !h.aside && h.refusals >= refusalsAside {
		h.setAside(now, slowBackoff, slowBackoffMost)
		h.asideSlow, h.refusals = false, 0
	}
}

// probed ends the time aside if the probe was answered at a normal speed.
func (h *health) probed(now time.Time, p *permit, r berylpermit.Report, n norm) {
	if !p.probe || !h.aside {
		return
	}
	if n.ratio(r.TimeToFirstToken, r.InterTokenLatency) >= slowRatio && h.asideSlow {
		h.setAside(now, slowBackoff, slowBackoffMost)
		return
	}
	h.aside = false
	h.back = now
	h.cut = 1 - returnShare
	h.slow = 0
	h.first = moving{}
	h.gap = moving{}
}

// setAside takes the upstream out of use for a time that doubles.
func (h *health) setAside(now time.Time, first, most time.Duration) {
	if !h.aside && now.Sub(h.back) > backoffMemory {
		h.asides = 0
	}
	h.aside = true
	h.since = now
	h.until = now.Add(min(first<<h.asides, most))
	h.asides = min(h.asides+1, 8)
	h.fresh = 0
}

// judge compares the upstream with the norm and cuts or regrows its share of slots.
func (h *health) judge(now time.Time, n norm, mayAside bool) {
	if h.aside || h.fresh == 0 {
		return
	}
	h.fresh = 0
	h.slow = n.ratio(h.first.mean, h.gap.mean)
	switch {
	case h.slow >= asideRatio && mayAside:
		h.setAside(now, slowBackoff, slowBackoffMost)
		h.asideSlow = true
	case h.slow >= slowRatio:
		h.cut = 1 - (1-h.cut)*cutFactor
	case h.cut > 0:
		h.cut = max(h.cut-regrowStep, 0)
	}
}

// weight is by how much slower than the others the upstream is, at least 1.
func (h *health) weight() float64 {
	return max(h.slow, 1)
}
