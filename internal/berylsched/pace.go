package berylsched

import (
	"math"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// reserveWindow is the span of online arrivals for which batch work leaves slots idle.
	reserveWindow = 20 * time.Millisecond
	// arrivalTimeConstant is the time constant of the arrival rate.
	arrivalTimeConstant = 2 * time.Second
	// onlineWaitLease is how long a waiting ask lives without being sent again, batchLease the same for batch work.
	onlineWaitLease = 4 * time.Second
	batchWaitLease  = 8 * time.Second
	// defaultHeldTime stands for the busy time of calls before any has ended.
	defaultHeldTime = 100 * time.Millisecond
	// loadCacheTTL is the least time between two descriptions of the loads for replies.
	loadCacheTTL = 2 * time.Millisecond
	// maxPredictedWait bounds predicted waits.
	maxPredictedWait = time.Hour
)

// arrivalRate is an exponentially decayed arrival arrivalRate.
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

// reservedSlots is how many slots batch work leaves idle for the online requests of the next moment.
func (t *target) reservedSlots(now time.Time) int {
	expected := t.arrivals.value(now) * reserveWindow.Seconds()
	return min(int(math.Round(expected)), t.throughput.slots/4)
}

// idleSlots counts the free slots of the target.
func (t *target) idleSlots() int {
	idle := 0
	for _, u := range t.owned {
		if free := u.freeSlots(); free > 0 && u.usable() && !u.health.ejected {
			idle += free
		}
	}
	return idle
}

// canServe says whether any upstream could ever be granted to the ask as things are.
func (t *target) canServe(req *berylpermit.Request) bool {
	for _, u := range t.owned {
		if u.usable() && !avoids(req, u.name) {
			return true
		}
	}
	return false
}

// throughput is how fast a target's slots free, as of its last refresh.
type throughput struct {
	// slots counts the slots of the upstreams in use.
	slots int
	// perSecond is how many slots free in a second for each kind of work.
	perSecond [kindCount]float64
	// heldFor is the mean heldFor time of each kind of work.
	heldFor [kindCount]time.Duration
	// nextProbeAt is when the first upstream comes back from being set aside, if none is in use.
	nextProbeAt time.Time
}

// predictWait predicts how long that many slots take to free.
func (p *throughput) predictWait(now time.Time, k workKind, slots int) time.Duration {
	if p.slots == 0 {
		return max(p.nextProbeAt.Sub(now), 0) + minFaultBackoff*time.Duration(max(slots-1, 0))
	}
	seconds := float64(slots) / p.perSecond[k]
	return min(time.Duration(seconds*float64(time.Second)), maxPredictedWait)
}

// meetsDeadline says whether an ask that waits so long can still be answered within its deadline. While no upstream is in use
// only the next probe is worth waiting for.
func (p *throughput) meetsDeadline(k workKind, remaining, wait time.Duration) bool {
	if k == batchWork {
		return remaining > 0
	}
	if p.slots == 0 && wait > minFaultBackoff {
		return false
	}
	return remaining > wait+p.heldFor[k]/2
}

// refreshThroughput recomputes what replies and predictions use.
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
		p.perSecond[shortOnline] += float64(slots-long)/p.heldFor[shortOnline].Seconds() + float64(long)/p.heldFor[longOnline].Seconds()
		p.perSecond[longOnline] += math.Max(float64(slots)*o.longShare, 1) / p.heldFor[longOnline].Seconds()
		p.perSecond[batchWork] += float64(slots) / p.heldFor[batchWork].Seconds()
	}
	t.throughput = p
}

// meanHeldTimes returns the busy time of each kind over the target's upstreams.
func (t *target) meanHeldTimes() [kindCount]time.Duration {
	var busy [kindCount]time.Duration
	for k := range busy {
		var sum time.Duration
		n := 0
		for _, u := range t.owned {
			if b := u.health.heldFor[k].mean; b > 0 {
				sum += b
				n++
			}
		}
		busy[k] = defaultHeldTime
		if n > 0 {
			busy[k] = max(sum/time.Duration(n), time.Millisecond)
		}
	}
	return busy
}

// replyLoads returns the loads that replies carry: up to maxLoads upstreams, others each time where there are more.
func (t *target) replyLoads(now time.Time) []berylpermit.Load {
	if t.cachedLoads != nil && now.Sub(t.cachedAt) < loadCacheTTL {
		return t.cachedLoads
	}
	t.cachedAt = now
	n := min(len(t.owned), maxReplyLoads)
	t.cachedLoads = make([]berylpermit.Load, 0, n) // earlier replies still hold the old one
	for range n {
		t.loadCursor = (t.loadCursor + 1) % len(t.owned)
		t.cachedLoads = append(t.cachedLoads, t.owned[t.loadCursor].load(now, t))
	}
	return t.cachedLoads
}

// load describes the upstream as one of the target's.
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
	}
	if u.leaving {
		l.Slots = 0
	}
	if u.freeSlots()+len(u.batch) <= 0 {
		l.PredictedWait = t.throughput.predictWait(now, shortOnline, t.queues[shortOnline].len()+1)
	}
	return l
}

// score orders upstreams with free slots; less is better.
func (u *upstream) score() float64 {
	return float64(u.inFlight()+1) / float64(u.health.effectiveSlots(u.slots)) * u.health.loadFactor()
}
