package berylpace

import "time"

const (
	// startShare is the share of its slots with which a new or recovered upstream starts among proven ones. From there
	// three doublings reach all slots, for any number of slots.
	startShare = 1.0 / 8
	// slowRatio is the multiple of the usual latency from which a call is slow.
	slowRatio = 2.0
	// maxSlowOfOneHost is how many slow calls in a row of one host count as slowness of the upstream. Fewer may come from
	// the host's own path.
	maxSlowOfOneHost = 3
	// relaxInterval is how long requests wait without any change of the limit before it rises by one slot: long calls show
	// nothing until they end. After refusals refusedRelaxInterval applies, since one more refusal costs little.
	relaxInterval        = time.Second
	refusedRelaxInterval = 250 * time.Millisecond
	// memory is how long the limit at which trouble began slows down later rises.
	memory = 30 * time.Second
	// usualWeight is the weight of a new sample in the upstream's usual latencies. It is small, so that these are its past
	// rather than its last calls.
	usualWeight = 0.05
	// recentWeight is the weight of a new sample in the upstream's recent latencies, over which calls with long prompts
	// average out.
	recentWeight = 0.3
	// slowFactor is the factor by which the limit falls after slow calls, and faultFactor that after a fault of a new or
	// recovered upstream. Once another cause holds, a fault counts like slowness. While all slots may be used it has no
	// effect: a few calls in a hundred may fail for reasons that have nothing to do with the number of calls, and an upstream
	// whose calls all fail is ejected.
	slowFactor  = 0.75
	faultFactor = 0.5
	// stepShare is the share of the slots by which the limit rises in each round above the threshold, at least one slot.
	stepShare = 1.0 / 8
)

// Cause is why an upstream has the limit that it has.
type Cause uint8

const (
	// None means that all slots may be used.
	None Cause = iota
	// New means that the upstream has not been seen before.
	New
	// Recovered means that the upstream has answered a probe after an ejection.
	Recovered
	// Slow means that calls were slow in comparison with the upstream's own past and others of its kind.
	Slow
	// Refused means that the upstream refused a call without running it.
	Refused
	// Fault means that a call failed.
	Fault
)

// String returns the name used in logs, metrics and the status.
func (c Cause) String() string {
	names := [...]string{"none", "new", "recovered", "slow", "refused", "fault"}
	if int(c) >= len(names) {
		return "unknown"
	}
	return names[c]
}

// Latency holds a call's latencies, or those to compare it with; zero means unknown.
type Latency struct {
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// BetweenEvents is the mean time between events.
	BetweenEvents time.Duration
}

// Result is how a call ended.
type Result uint8

const (
	// Success is an answered call.
	Success Result = iota
	// Refusal is a call that the upstream refused without running it.
	Refusal
	// Failure is a call whose end is a fault of the upstream.
	Failure
)

// Call is what one ended call shows about the upstream.
type Call struct {
	// Host is the host that made the call.
	Host string
	// GrantedAt is when the call's permit was granted.
	GrantedAt time.Time
	// InFlight is the most calls known to have run beside it, itself included.
	InFlight int
	// Result is how the call ended.
	Result Result
	// Latency is how fast the answer was, and Kind the usual latency of upstreams of the same kind.
	Latency, Kind Latency
	// Missing is the share, from 0 to 1, of the slots of the upstream's kind that may not be used now. The limit does not
	// fall below that share of the slots: if all upstreams are in trouble, holding back more only refuses more.
	Missing float64
}

// Pace is the limit of one upstream's calls in flight. The zero value allows all slots.
type Pace struct {
	// limit is valid unless cause is None.
	limit int
	cause Cause
	// threshold is the limit up to which each success raises the limit; above it, a whole round of successes does. Zero
	// means that there was no trouble within memory.
	threshold int
	// successes counts the successes above threshold since the last rise.
	successes int
	// doubles is set until the first success, which doubles the limit.
	doubles bool
	// changedAt is the time of the last start or fall. Calls that were granted before it say nothing about the limit.
	changedAt time.Time
	troubleAt time.Time
	// movedAt is the time of the last start, fall or rise.
	movedAt time.Time
	// usual is the mean latency of calls that were not slow, and recent that of all calls since the last start or fall.
	usual  Latency
	recent Latency
	// slowHost is the host of the last slow call, and slowCalls counts its slow calls in a row.
	slowHost  string
	slowCalls int
}

// Limit returns how many of the slots may be used, at least one.
func (p *Pace) Limit(slots int) int {
	if p.cause == None {
		return slots
	}
	return max(min(p.limit, slots), 1)
}

// Cause returns why the limit is below the number of slots, or None.
func (p *Pace) Cause() Cause {
	return p.cause
}

// Start begins with few slots: because the upstream is new, or because it has just answered a probe. The parameter unproven
// is the share, from 0 to 1, of the slots of its kind that are of such upstreams. The more they are, the less is left to
// serve the demand meanwhile, so that share of the slots is allowed at once, and all of them if all upstreams are new.
func (p *Pace) Start(now time.Time, slots int, unproven float64, cause Cause) {
	p.limit = max(int(float64(slots)*max(startShare, unproven)+0.5), 1)
	p.cause, p.doubles, p.successes, p.changedAt, p.movedAt = cause, true, 0, now, now
	p.slowHost, p.slowCalls, p.recent = "", 0, Latency{}
	if unproven >= 1 {
		p.threshold = 0
		p.settle(slots)
		return
	}
	if cause == Recovered {
		p.raise(now, slots)
	}
	p.settle(slots)
}

// Inherit continues with the limit of the upstream's last owner.
func (p *Pace) Inherit(now time.Time, slots, limit int, cause Cause) {
	*p = Pace{limit: max(limit, 1), cause: cause, doubles: true, changedAt: now, movedAt: now}
	p.settle(slots)
}

// Eject records that the upstream was taken out of use, for slowness or another cause. The later rise is slow after
// slowness, which the number of calls may have caused, and after a second ejection within memory.
func (p *Pace) Eject(now time.Time, slots int, slow bool) {
	if p.cause == None {
		p.limit = slots
	}
	if slow || p.hasTrouble(now) {
		p.threshold = max(min(p.limit, slots)/2, 1)
	} else {
		p.threshold = slots
	}
	p.troubleAt = now
}

// Observe takes the end of a call into account and reports whether the limit has changed. A call that was granted before
// the last fall has no effect, so that calls which run side by side count as one sign of trouble.
func (p *Pace) Observe(now time.Time, slots int, c Call) bool {
	before := p.Limit(slots)
	current := !c.GrantedAt.Before(p.changedAt)
	if c.Result == Success {
		p.recent.add(c.Latency, recentWeight)
	}
	switch {
	case c.Result == Success && isSlow(c.Latency, p.usual, c.Kind) && isSlow(p.recent, p.usual, c.Kind):
		if p.blamesUpstream(c.Host) && current {
			p.fall(now, slots, int(float64(before)*slowFactor), Slow, c.Missing)
		}
	case c.Result == Success:
		p.slowHost, p.slowCalls = "", 0
		p.usual.add(c.Latency, usualWeight)
		if p.cause != None && current && 2*c.InFlight >= before {
			p.raise(now, slots)
			p.settle(slots)
		}
	case current && c.Result == Refusal:
		p.fall(now, slots, c.InFlight-1, Refused, c.Missing)
	case current && c.Result == Failure && p.cause != None:
		factor := slowFactor
		if p.cause == New || p.cause == Recovered {
			factor = faultFactor
		}
		p.fall(now, slots, int(float64(before)*factor), Fault, c.Missing)
	}
	return p.Limit(slots) != before
}

// hasTrouble reports whether there was trouble within memory.
func (p *Pace) hasTrouble(now time.Time) bool {
	return now.Sub(p.troubleAt) < memory
}

// raise raises the limit after a success: it doubles at the first one, and once per round of successes up to the
// threshold. Above the threshold it grows by stepShare each round. After refusals it rises faster, since too high a limit
// costs no more than a few further refusals.
func (p *Pace) raise(now time.Time, slots int) {
	threshold, step := slots, max(int(float64(slots)*stepShare), 1)
	if p.threshold > 0 && p.hasTrouble(now) {
		threshold = p.threshold
	}
	switch {
	case p.doubles && p.limit < threshold:
		p.limit = min(2*p.limit, threshold)
	case p.cause == Refused:
		p.limit += 1 + step
	case p.limit < threshold:
		p.limit++
	default:
		if p.successes++; p.successes >= p.limit {
			p.limit, p.successes = p.limit+step, 0
		}
	}
	p.doubles, p.movedAt = false, now
}

// Relax raises the limit by one slot if it has not changed for a while. It is called from time to time while requests wait
// and the limit is in use.
func (p *Pace) Relax(now time.Time, slots int) {
	interval := relaxInterval
	if p.cause == Refused {
		interval = refusedRelaxInterval
	}
	if p.cause != None && now.Sub(p.movedAt) >= interval {
		p.limit, p.movedAt = p.limit+1, now
		p.settle(slots)
	}
}

// fall lowers the limit, but not below the missing share. A later rise is slow above half of the last limit, except after
// refusals: they cost little, and end as soon as the upstream has finished what it runs.
func (p *Pace) fall(now time.Time, slots, limit int, cause Cause, missing float64) {
	before := p.Limit(slots)
	p.limit = max(min(limit, before-1), min(int(float64(slots)*missing), before), 1)
	p.cause, p.changedAt, p.movedAt = cause, now, now
	if cause != Refused {
		p.threshold, p.troubleAt = max(p.limit, before/2), now
	}
	p.successes, p.doubles = 0, false
	p.slowHost, p.slowCalls, p.recent = "", 0, Latency{}
	p.settle(slots)
}

// settle ends the pace once all slots are allowed.
func (p *Pace) settle(slots int) {
	if p.limit >= slots {
		p.limit, p.cause = 0, None
	}
}

// isSlow reports whether a latency is a multiple of what is usual, both for the upstream itself and for its kind as far as
// they are known. If all upstreams of a kind become slow, the load is the cause rather than the upstream.
func isSlow(l, usual, ofKind Latency) bool {
	own, kind := slowdown(l, usual), slowdown(l, ofKind)
	return max(own, kind) >= slowRatio && (own == 0 || own >= slowRatio) && (kind == 0 || kind >= slowRatio)
}

// slowdown returns the larger ratio of the two latencies to the usual ones, or zero if none is known.
func slowdown(l, usual Latency) float64 {
	ratio := 0.0
	if usual.FirstEvent > 0 {
		ratio = float64(l.FirstEvent) / float64(usual.FirstEvent)
	}
	if usual.BetweenEvents > 0 {
		ratio = max(ratio, float64(l.BetweenEvents)/float64(usual.BetweenEvents))
	}
	return ratio
}

// blamesUpstream counts a slow call and reports whether the upstream is slow, rather than the path of one host.
func (p *Pace) blamesUpstream(host string) bool {
	if p.slowHost != "" && p.slowHost != host {
		return true
	}
	p.slowHost = host
	p.slowCalls++
	return p.slowCalls >= maxSlowOfOneHost
}

// add adds a call's latencies to the moving means l.
func (l *Latency) add(call Latency, weight float64) {
	l.FirstEvent = movingMean(l.FirstEvent, call.FirstEvent, weight)
	l.BetweenEvents = movingMean(l.BetweenEvents, call.BetweenEvents, weight)
}

func movingMean(mean, sample time.Duration, weight float64) time.Duration {
	switch {
	case sample <= 0:
		return mean
	case mean == 0:
		return sample
	}
	return mean + time.Duration(float64(sample-mean)*weight)
}
