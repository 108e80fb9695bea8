package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// movingMeanWeight is the weight of a new sample in a moving mean.
	movingMeanWeight = 0.2
	// maxConsecutiveFaults is how many faults in a row set an upstream aside.
	maxConsecutiveFaults = 2
	// maxConsecutiveRefusals is how many calls in a row that an upstream refuses unrun set it aside.
	maxConsecutiveRefusals = 4
	// minFaultBackoff is how long an upstream is first set aside for faults; it doubles each time.
	minFaultBackoff = time.Second
	// maxFaultBackoff bounds that time.
	maxFaultBackoff = 30 * time.Second
	// minSlowBackoff is how long an upstream is first set aside for slowness; it doubles each time.
	minSlowBackoff = 500 * time.Millisecond
	// maxSlowBackoff bounds that time.
	maxSlowBackoff = 4 * time.Second
	// backoffResetTime is how long an upstream must be in use for its backoff to start anew.
	backoffResetTime = 30 * time.Second
	// onlineProbeDelay is how long a probe waits for batch work before an online request makes it.
	onlineProbeDelay = time.Second
	// slowRatio is how many times the median an upstream must take to lose slots.
	slowRatio = 2.0
	// ejectRatio is how many times the median an upstream must take to be set aside.
	ejectRatio = 4.0
	// slowSlotFactor is by what an upstream's share of slots shrinks when it is slow.
	slowSlotFactor = 0.5
	// slotRecoveryStep is by what that share grows when it is not.
	slotRecoveryStep = 0.1
	// recoverySlotShare is the share of slots with which an upstream comes back.
	recoverySlotShare = 0.5
)

// movingMean is an exponentially weighted movingMean mean of a time span.
type movingMean struct {
	mean time.Duration
}

func (m *movingMean) add(d time.Duration) {
	if d <= 0 {
		return
	}
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(float64(d-m.mean) * movingMeanWeight)
}

// latencyMedians is the median of a target's upstreams.
type latencyMedians struct {
	timeToFirstToken  time.Duration
	interTokenLatency time.Duration
}

// slowdown is how many times the norm the spans take; zero where nothing is known.
func (m latencyMedians) slowdown(timeToFirstToken, interTokenLatency time.Duration) float64 {
	return max(durationRatio(timeToFirstToken, m.timeToFirstToken), durationRatio(interTokenLatency, m.interTokenLatency))
}

func durationRatio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// health is what the calls to an upstream have shown of it; the zero value is in full use.
type health struct {
	heldFor           [kindCount]movingMean
	timeToFirstToken  movingMean
	interTokenLatency movingMean
	// slowdown is how many times the norm the upstream takes, as last judged.
	slowdown float64
	// withheldShare is the share of the slots that is not given.
	withheldShare float64
	// newSamples counts the samples since the last judgement.
	newSamples int
	// faults counts faults in a row.
	faults int
	// refusals counts the calls in a row that it refused unrun.
	refusals int
	// ejected marks an upstream that gets nothing but probes.
	ejected bool
	// ejectedSlow marks one set aside for slowness.
	ejectedSlow bool
	probing     bool
	// ejections is how often in a row it was set aside.
	ejections int
	// ejectedAt is when it was last set aside.
	ejectedAt time.Time
	// nextProbeAt is when the next probe is due.
	nextProbeAt time.Time
	// recoveredAt is when it last came recoveredAt into use.
	recoveredAt time.Time
}

// effectiveSlots returns how many of the configured slots are given.
func (h *health) effectiveSlots(slots int) int {
	if h.withheldShare == 0 {
		return slots
	}
	return max(int(float64(slots)*(1-h.withheldShare)+0.5), 1)
}

// admits says whether a permit of that kind may be granted, as ordinary work or as a probe.
func (h *health) admits(now time.Time, k workKind, alone bool) bool {
	if !h.ejected {
		return true
	}
	if h.probing || now.Before(h.probeDue(alone)) || k == longOnline {
		return false
	}
	return k == batchWork || alone || !now.Before(h.nextProbeAt.Add(onlineProbeDelay))
}

// probeDue returns when the next probe may go; a target with no upstream in use is alone and probed at a steady pace.
func (h *health) probeDue(alone bool) time.Time {
	steady := h.ejectedAt.Add(minFaultBackoff)
	if alone && steady.Before(h.nextProbeAt) {
		return steady
	}
	return h.nextProbeAt
}

// markProbe marks a permit as the probe of an upstream that is set aside.
func (h *health) markProbe(p *permit) {
	if h.ejected {
		h.probing = true
		p.probe = true
	}
}

// permitEnded notes that a permit has gone, with or without a report.
func (h *health) permitEnded(p *permit) {
	if p.probe {
		h.probing = false
	}
}

// observe learns from the end of a call.
func (h *health) observe(now time.Time, p *permit, r berylpermit.Report, m latencyMedians) {
	if r.Fault {
		h.recordFault(now, p)
		return
	}
	if r.Refused {
		if 2*(p.upstream.inFlight()-1) < p.upstream.slots {
			h.recordRefusal(now, p)
		}
		return
	}
	if r.TimeToFirstToken > 0 || r.Kind == beryloutcome.Answered {
		h.faults, h.refusals = 0, 0
		h.finishProbe(now, p, r, m)
	}
	if r.Kind == beryloutcome.Answered {
		h.heldFor[kindOf(p.class, p.long)].add(r.HeldFor)
	}
	h.timeToFirstToken.add(r.TimeToFirstToken)
	h.interTokenLatency.add(r.InterTokenLatency)
	h.newSamples++
}

func (h *health) recordFault(now time.Time, p *permit) {
	h.faults++
	if p.probe || !h.ejected && h.faults >= maxConsecutiveFaults {
		h.eject(now, minFaultBackoff, maxFaultBackoff)
		h.ejectedSlow = false
	}
}

// recordRefusal sets aside an upstream that refuses one call after the other although under half of its slots are in use as far
// as is known: it would draw the work of all hosts. One that is full may refuse a few in a row.
func (h *health) recordRefusal(now time.Time, p *permit) {
	h.refusals++
	if p.probe || !h.ejected && h.refusals >= maxConsecutiveRefusals {
		h.eject(now, minSlowBackoff, maxSlowBackoff)
		h.ejectedSlow, h.refusals = false, 0
	}
}

// finishProbe ends the time aside if the probe was answered at a normal speed.
func (h *health) finishProbe(now time.Time, p *permit, r berylpermit.Report, m latencyMedians) {
	if !p.probe || !h.ejected {
		return
	}
	if m.slowdown(r.TimeToFirstToken, r.InterTokenLatency) >= slowRatio && h.ejectedSlow {
		h.eject(now, minSlowBackoff, maxSlowBackoff)
		return
	}
	h.ejected = false
	h.recoveredAt = now
	h.withheldShare = 1 - recoverySlotShare
	h.slowdown = 0
	h.timeToFirstToken = movingMean{}
	h.interTokenLatency = movingMean{}
}

// eject takes the upstream out of use for a time that doubles.
func (h *health) eject(now time.Time, minBackoff, maxBackoff time.Duration) {
	if !h.ejected && now.Sub(h.recoveredAt) > backoffResetTime {
		h.ejections = 0
	}
	h.ejected = true
	h.ejectedAt = now
	h.nextProbeAt = now.Add(min(minBackoff<<h.ejections, maxBackoff))
	h.ejections = min(h.ejections+1, 8)
	h.newSamples = 0
}

// evaluate compares the upstream with the norm and cuts or regrows its share of slots.
func (h *health) evaluate(now time.Time, m latencyMedians, mayEject bool) {
	if h.ejected || h.newSamples == 0 {
		return
	}
	h.newSamples = 0
	h.slowdown = m.slowdown(h.timeToFirstToken.mean, h.interTokenLatency.mean)
	switch {
	case h.slowdown >= ejectRatio && mayEject:
		h.eject(now, minSlowBackoff, maxSlowBackoff)
		h.ejectedSlow = true
	case h.slowdown >= slowRatio:
		h.withheldShare = 1 - (1-h.withheldShare)*slowSlotFactor
	case h.withheldShare > 0:
		h.withheldShare = max(h.withheldShare-slotRecoveryStep, 0)
	}
}

// loadFactor is by how much slower than the others the upstream is, at least 1.
func (h *health) loadFactor() float64 {
	return max(h.slowdown, 1)
}
