package berylsched

import (
	"math"
	"time"

	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// reserveWindow is the time span whose expected online arrivals determine how many slots batch work leaves idle.
	reserveWindow = 20 * time.Millisecond
	// arrivalTimeConstant is the time constant with which the arrival rate decays.
	arrivalTimeConstant = 2 * time.Second
	// onlineWaitLease and batchWaitLease are how long a queued request is kept without being sent again.
	onlineWaitLease = 4 * time.Second
	batchWaitLease  = 8 * time.Second
	// defaultHeldTime stands for the mean time for which a permit is held while no call of a kind of work has ended yet.
	defaultHeldTime = 100 * time.Millisecond
	// loadCacheTTL is how long the loads in replies are reused before they are computed again.
	loadCacheTTL = 2 * time.Millisecond
	// maxPredictedWait bounds the predicted wait.
	maxPredictedWait = time.Hour
)

// arrivalRate is an exponentially decayed rate of arrivals.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/arrivalTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *arrivalRate) value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// reservedSlots returns how many slots batch work leaves idle for online requests: as many as are expected to arrive
// within reserveWindow, but at most a quarter of the slots.
func (t *target) reservedSlots(now time.Time) int {
	expected := t.arrivals.value(now) * reserveWindow.Seconds()
	return min(int(math.Round(expected)), t.throughput.slots/4)
}

// idleSlots counts the free slots of the target's upstreams that get ordinary work: usable and not ejected.
func (t *target) idleSlots(now time.Time) int {
	idle := 0
	for _, u := range t.owned {
		if free := u.grantable(now); free > 0 && u.usable() && !u.health.ejected {
			idle += free
		}
	}
	return idle
}

// canServe reports whether any owned upstream could be granted to the request once a slot is free.
func (t *target) canServe(req *berylpermit.Request) bool {
	for _, u := range t.owned {
		if u.usable() && !avoids(req, u.name) {
			return true
		}
	}
	return false
}

// throughput is how fast a target's slots become free, as of the last refreshThroughput.
type throughput struct {
	// slots counts the effective slots, free or not, of the upstreams that are usable and not ejected.
	slots int
	// perSecond is how many slots per second become free for each kind of work.
	perSecond [kindCount]float64
	// limited is set if any upstream has a limit.
	limited bool
	// unlimitedPerSecond is perSecond for short online requests of the upstreams without a limit.
	unlimitedPerSecond float64
	// heldFor is the mean time for which a permit is held, by kind of work.
	heldFor [kindCount]time.Duration
	// nextProbeAt is when the first probe of an ejected upstream is due; it is used only when slots is zero.
	nextProbeAt time.Time
}

// predictWait predicts how long it takes until that many slots have become free. If all upstreams are ejected, each
// slot is a probe, one per minFaultBackoff.
func (p *throughput) predictWait(now time.Time, k workKind, slots int) time.Duration {
	if p.slots == 0 {
		return max(p.nextProbeAt.Sub(now), 0) + minFaultBackoff*time.Duration(max(slots-1, 0))
	}
	seconds := float64(slots) / p.perSecond[k]
	return min(time.Duration(seconds*float64(time.Second)), maxPredictedWait)
}

// meetsDeadline reports whether a request that waits so long can still be answered in the remaining time, taking half of
// the mean held time for the answer. Batch requests may wait until their deadline. While all upstreams are ejected,
// online requests may wait only for the next probe.
func (p *throughput) meetsDeadline(k workKind, remaining, wait time.Duration) bool {
	if k == batchWork {
		return remaining > 0
	}
	if p.slots == 0 && wait > minFaultBackoff {
		return false
	}
	return remaining > wait+p.heldFor[k]/2
}

// refreshThroughput recomputes the target's throughput from its owned upstreams.
func (t *target) refreshThroughput(now time.Time, o *Owner) {
	p := throughput{heldFor: t.meanHeldTimes()}
	for _, u := range t.owned {
		if !u.usable() {
			continue
		}
		if u.health.ejected {
			if due := u.health.probeDue(true); p.nextProbeAt.IsZero() || due.Before(p.nextProbeAt) {
				p.nextProbeAt = due
			}
			continue
		}
		slots := u.health.effectiveSlots(u.slots)
		long := min(u.long, slots)
		p.slots += slots
		most := u.limit.most()
		p.perSecond[shortOnline] += min(float64(slots-long)/p.heldFor[shortOnline].Seconds()+float64(long)/p.heldFor[longOnline].Seconds(), most)
		p.perSecond[longOnline] += min(max(float64(slots)*o.longShare, 1)/p.heldFor[longOnline].Seconds(), most)
		p.perSecond[batchWork] += min(float64(slots)/p.heldFor[batchWork].Seconds(), most)
		if u.limit.Limited {
			p.limited = true
		} else {
			p.unlimitedPerSecond += float64(slots-long) / p.heldFor[shortOnline].Seconds()
		}
	}
	t.throughput = p
}

// meanHeldTimes returns the mean held time over the target's upstreams, by kind of work.
func (t *target) meanHeldTimes() [kindCount]time.Duration {
	var heldTimes [kindCount]time.Duration
	for k := range heldTimes {
		var sum time.Duration
		n := 0
		for _, u := range t.owned {
			if b := u.health.heldFor[k].mean; b > 0 {
				sum += b
				n++
			}
		}
		heldTimes[k] = defaultHeldTime
		if n > 0 {
			heldTimes[k] = max(sum/time.Duration(n), time.Millisecond)
		}
	}
	return heldTimes
}

// replyLoads returns the loads for a reply, recomputed at most every loadCacheTTL. It covers up to maxReplyLoads
// upstreams and goes round robin over the target's upstreams where there are more.
func (t *target) replyLoads(now time.Time) []berylpermit.Load {
	if t.cachedLoads != nil && now.Sub(t.cachedAt) < loadCacheTTL {
		return t.cachedLoads
	}
	t.cachedAt = now
	n := min(len(t.owned), maxReplyLoads)
	t.cachedLoads = make([]berylpermit.Load, 0, n) // a new slice, since earlier replies still refer to the last one
	for range n {
		t.loadCursor = (t.loadCursor + 1) % len(t.owned)
		t.cachedLoads = append(t.cachedLoads, t.owned[t.loadCursor].load(now, t))
	}
	return t.cachedLoads
}

// load returns the upstream's load. Waiting and PredictedWait are computed from the target's online queues, since
// requests wait for a target and not for one upstream.
func (u *upstream) load(now time.Time, t *target) berylpermit.Load {
	l := berylpermit.Load{
		Upstream:          u.name,
		Slots:             u.health.effectiveSlots(u.slots),
		Online:            u.online,
		Batch:             len(u.batch) + len(u.yielding),
		Waiting:           t.queues[shortOnline].len() + t.queues[longOnline].len(),
		Straggler:         u.health.ejected,
		TimeToFirstToken:  u.health.timeToFirstToken.mean,
		InterTokenLatency: u.health.interTokenLatency.mean,
		Limit:             u.limit.Limit,
		LeavingRun:        u.leavingRun,
	}
	if p := u.health.pace; p != nil && p.Cause() != berylpace.None {
		l.Pace, l.PaceCause = p.Limit(u.slots), p.Cause()
	}
	if u.limit.Limited {
		l.Admitted = int(u.limit.tokens(now))
	}
	if u.leaving {
		l.Slots = 0
	}
	if u.freeSlots()+len(u.batch) <= 0 || u.limit.tokens(now) < 1 {
		l.PredictedWait = t.throughput.predictWait(now, shortOnline, t.queues[shortOnline].len()+1)
	}
	return l
}

// score ranks upstreams with free slots by their share of used slots and their slowness; lower is better. For online work
// it is at least the used share of the limit. Batch calls last long and need few requests, so they go to limited upstreams
// as to others.
func (u *upstream) score(now time.Time, k workKind) float64 {
	score := float64(u.inFlight()+1) / float64(u.health.effectiveSlots(u.slots)) * u.health.loadFactor()
	if k == batchWork {
		return score
	}
	return max(score, u.limit.usedShare(now))
}
