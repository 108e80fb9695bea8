package berylsched

import (
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// movingMeanWeight is the weight of a new sample in a movingMean, from 0 to 1.
	movingMeanWeight = 0.2
	// maxConsecutiveFaults is the number of faults in a row that ejects an upstream.
	maxConsecutiveFaults = 2
	// maxConsecutiveRefusals is the number of calls refused in a row, without being run, that ejects an upstream.
	maxConsecutiveRefusals = 4
	// minFaultBackoff is the time to the first probe of an upstream ejected for faults; it doubles with each ejection.
	minFaultBackoff = time.Second
	// maxFaultBackoff bounds the time to the next probe of an upstream ejected for faults.
	maxFaultBackoff = 30 * time.Second
	// minSlowBackoff is the time to the first probe of an upstream ejected for slowness or refusals; it doubles with each
	// ejection.
	minSlowBackoff = 500 * time.Millisecond
	// maxSlowBackoff bounds the time to the next probe of an upstream ejected for slowness or refusals.
	maxSlowBackoff = 4 * time.Second
	// backoffResetTime is how long an upstream must have been back in use for its backoff to start from the minimum again.
	backoffResetTime = 30 * time.Second
	// onlineProbeDelay is how long a due probe is left to batch work before an online request may be used for it.
	onlineProbeDelay = time.Second
	// slowRatio is the multiple of the median latency from which an upstream loses slots.
	slowRatio = 2.0
	// ejectRatio is the multiple of the median latency from which an upstream is ejected.
	ejectRatio = 4.0
	// slowSlotFactor is the factor by which the usable slots of a slow upstream are reduced at each evaluation.
	slowSlotFactor = 0.5
	// slotRecoveryStep is the share of its slots that an upstream regains at each evaluation in which it is not slow.
	slotRecoveryStep = 0.1
	// recoverySlotShare is the share of its slots that an upstream has at first after an ejection.
	recoverySlotShare = 0.5
)

// Causes of an ejection.
const (
	causeFaults    = "faults"
	causeRefusals  = "refusals"
	causeSlow      = "slow"
	causeLastOwner = "last owner"
)

// movingMean is an exponentially weighted moving average of durations; zero means that there is no sample yet.
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

// latencyMedians holds the median latencies of a target's upstreams; zero means unknown.
type latencyMedians struct {
	timeToFirstToken  time.Duration
	interTokenLatency time.Duration
}

// slowdown returns the larger of the two latencies' ratios to their medians, or zero if both medians are unknown.
func (m latencyMedians) slowdown(timeToFirstToken, interTokenLatency time.Duration) float64 {
	return max(durationRatio(timeToFirstToken, m.timeToFirstToken), durationRatio(interTokenLatency, m.interTokenLatency))
}

func durationRatio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// health is the outlier detection state of one upstream, derived from the reports of its calls. The zero value is an
// upstream in full use.
type health struct {
	// pace limits the slots in place of withheldShare; it is nil unless AdaptivePace is set.
	pace *berylpace.Pace
	// heldFor is how long permits were held, by kind of work.
	heldFor           [kindCount]movingMean
	timeToFirstToken  movingMean
	interTokenLatency movingMean
	// slowdown is the ratio of the upstream's latency to the median at the last evaluation.
	slowdown float64
	// withheldShare is the share of the configured slots, from 0 to 1, that is not granted because the upstream is slow or
	// was ejected and has not regained all slots yet.
	withheldShare float64
	// newSamples counts the samples since the last evaluation.
	newSamples int
	// faults counts consecutive faults.
	faults int
	// refusals counts consecutive calls that the upstream refused without running them.
	refusals int
	// ejected marks an upstream that gets no calls but probes.
	ejected bool
	// ejectedFor is why the upstream was last ejected.
	ejectedFor string
	// probing is set while a probe is in flight.
	probing bool
	// ejections counts consecutive ejections, up to a bound; it determines the backoff.
	ejections int
	// ejectedAt is the time of the last ejection.
	ejectedAt time.Time
	// nextProbeAt is the earliest time of the next probe.
	nextProbeAt time.Time
	// recoveredAt is when the upstream was last put back into use.
	recoveredAt time.Time
}

// effectiveSlots returns how many of the configured slots may be granted, at least one.
func (h *health) effectiveSlots(slots int) int {
	if h.pace != nil {
		return h.pace.Limit(slots)
	}
	if h.withheldShare == 0 {
		return slots
	}
	return max(int(float64(slots)*(1-h.withheldShare)+0.5), 1)
}

// admits reports whether a permit for that kind of work may be granted, as ordinary work or as a probe. The parameter
// noneHealthy is set when all of the target's usable upstreams that this host owns are ejected.
func (h *health) admits(now time.Time, k workKind, noneHealthy bool) bool {
	if !h.ejected {
		return true
	}
	if h.probing || now.Before(h.probeDue(noneHealthy)) || k == longOnline {
		return false
	}
	return k == batchWork || noneHealthy || !now.Before(h.nextProbeAt.Add(onlineProbeDelay))
}

// probeDue returns when the next probe may be sent. If noneHealthy is set, this is no later than minFaultBackoff after the
// ejection.
func (h *health) probeDue(noneHealthy bool) time.Time {
	latest := h.ejectedAt.Add(minFaultBackoff)
	if noneHealthy && latest.Before(h.nextProbeAt) {
		return latest
	}
	return h.nextProbeAt
}

// markProbe marks a newly granted permit as a probe if the upstream is ejected.
func (h *health) markProbe(p *permit) {
	if h.ejected {
		h.probing = true
		p.probe = true
	}
}

// permitEnded records that a permit was released or lost; if it was the probe, the next one may be sent.
func (h *health) permitEnded(p *permit) {
	if p.probe {
		h.probing = false
	}
}

// observe updates the health with the report of an ended call. A refused call counts only while less than half of the
// slots are in use by other calls, since a full upstream refuses some calls, and only without a limit. Neither refusals nor
// latencies count for a permit that was granted before the takeover had settled: other hosts may have granted the same slots.
func (h *health) observe(now time.Time, p *permit, r berylpermit.Report, m latencyMedians) {
	if r.Fault {
		h.recordFault(now, p)
		return
	}
	unsettled := p.grantedAt.Before(p.upstream.batchAllowedAt) && !p.probe
	if r.Refused {
		if !unsettled && !p.upstream.limit.Limited && 2*(p.upstream.inFlight()-1) < p.upstream.slots {
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
	if unsettled {
		return
	}
	h.timeToFirstToken.add(r.TimeToFirstToken)
	h.interTokenLatency.add(r.InterTokenLatency)
	h.newSamples++
}

// recordFault ejects the upstream after maxConsecutiveFaults or a failed probe.
func (h *health) recordFault(now time.Time, p *permit) {
	h.faults++
	if p.probe || !h.ejected && h.faults >= maxConsecutiveFaults {
		h.eject(now, causeFaults, minFaultBackoff, maxFaultBackoff)
	}
}

// recordRefusal ejects the upstream after maxConsecutiveRefusals or a refused probe. An upstream that refuses calls at
// once always looks idle and would attract the work of all hosts.
func (h *health) recordRefusal(now time.Time, p *permit) {
	h.refusals++
	if p.probe || !h.ejected && h.refusals >= maxConsecutiveRefusals {
		h.eject(now, causeRefusals, minSlowBackoff, maxSlowBackoff)
		h.refusals = 0
	}
}

// finishProbe puts the upstream back into use after an answered probe. An upstream ejected for slowness is ejected again
// if the probe was slow as well.
func (h *health) finishProbe(now time.Time, p *permit, r berylpermit.Report, m latencyMedians) {
	if !p.probe || !h.ejected {
		return
	}
	if m.slowdown(r.TimeToFirstToken, r.InterTokenLatency) >= slowRatio && h.ejectedFor == causeSlow {
		h.eject(now, causeSlow, minSlowBackoff, maxSlowBackoff)
		return
	}
	h.ejected = false
	h.recoveredAt = now
	if h.pace != nil {
		h.pace.Start(now, p.upstream.slots, p.upstream.unprovenShare(now), berylpace.Recovered)
	} else {
		h.withheldShare = 1 - recoverySlotShare
	}
	h.slowdown = 0
	h.timeToFirstToken = movingMean{}
	h.interTokenLatency = movingMean{}
}

// eject takes the upstream out of use until a probe succeeds. The time to the next probe doubles with each consecutive
// ejection, from minBackoff up to maxBackoff.
func (h *health) eject(now time.Time, cause string, minBackoff, maxBackoff time.Duration) {
	if !h.ejected && now.Sub(h.recoveredAt) > backoffResetTime {
		h.ejections = 0
	}
	h.ejected, h.ejectedFor = true, cause
	h.ejectedAt = now
	h.nextProbeAt = now.Add(min(minBackoff<<h.ejections, maxBackoff))
	h.ejections = min(h.ejections+1, 8)
	h.newSamples = 0
}

// evaluate compares the upstream's latency with the medians: it ejects the upstream, if mayEject is set, or withholds or
// restores slots. Without new samples it changes nothing.
func (h *health) evaluate(now time.Time, m latencyMedians, mayEject bool) {
	if h.ejected || h.newSamples == 0 {
		return
	}
	h.newSamples = 0
	h.slowdown = m.slowdown(h.timeToFirstToken.mean, h.interTokenLatency.mean)
	switch {
	case h.slowdown >= ejectRatio && mayEject:
		h.eject(now, causeSlow, minSlowBackoff, maxSlowBackoff)
	case h.pace != nil:
	case h.slowdown >= slowRatio:
		h.withheldShare = 1 - (1-h.withheldShare)*slowSlotFactor
	case h.withheldShare > 0:
		h.withheldShare = max(h.withheldShare-slotRecoveryStep, 0)
	}
}

// loadFactor is the factor by which the upstream's load counts more because it is slow, at least 1.
func (h *health) loadFactor() float64 {
	return max(h.slowdown, 1)
}
