package berylsched

import (
	"math"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// reserveWindow is the span of online arrivals for which batch work leaves slots idle.
	reserveWindow = 20 * time.Millisecond
	// arrivalMemory is the time constant of the arrival rate.
	arrivalMemory = 2 * time.Second
	// askLease is how long a waiting ask lives without being sent again, batchLease the same for batch work.
	askLease   = 4 * time.Second
	batchLease = 8 * time.Second
	// unknownBusy stands for the busy time of calls before any has ended.
	unknownBusy = 100 * time.Millisecond
	// describeEvery is the least time between two descriptions of the loads for replies.
	describeEvery = 2 * time.Millisecond
	// longestWait bounds predicted waits.
	longestWait = time.Hour
)

// rate is an exponentially decayed arrival rate.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/arrivalMemory.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/arrivalMemory.Seconds())
}

// reserve is how many slots batch work leaves idle for the online requests of the next moment.
func (t *target) reserve(now time.Time) int {
	expected := t.arrivals.value(now) * reserveWindow.Seconds()
	return min(int(math.Round(expected)), t.pace.slots/4)
}

// idle counts the free slots of the target.
func (t *target) idle() int {
	idle := 0
	for _, u := range t.ups {
		if free := u.free(); free > 0 && u.usable() && !u.health.aside {
			idle += free
		}
	}
	return idle
}

// mayServe says whether any upstream could ever be granted to the ask as things are.
func (t *target) mayServe(ask *berylpermit.Request) bool {
	for _, u := range t.ups {
		if u.usable() && !avoids(ask, u.name) {
			return true
		}
	}
	return false
}

// pace is how fast a target's slots free, as of its last refresh.
type pace struct {
	// slots counts the slots of the upstreams in use.
	slots int
	// perSecond is how many slots free in a second for each kind of work.
	perSecond [kinds]float64
	// busy is the mean busy time of each kind of work.
	busy [kinds]time.Duration
	// opens is when the first upstream comes back from being set aside, if none is in use.
	opens time.Time
}

// wait predicts how long that many slots take to free.
func (p *pace) wait(now time.Time, k kind, slots int) time.Duration {
	if p.slots == 0 {
		return max(p.opens.Sub(now), 0) + faultBackoff*time.Duration(max(slots-1, 0))
	}
	seconds := float64(slots) / p.perSecond[k]
	return min(time.Duration(seconds*float64(time.Second)), longestWait)
}

// inTime says whether an ask that waits so long can still be answered within its deadline. While no upstream is in use
// only the next probe is worth waiting for.
func (p *pace) inTime(k kind, remaining, wait time.Duration) bool {
	if k == batchWork {
		return remaining > 0
	}
	if p.slots == 0 && wait > faultBackoff {
		return false
	}
	return remaining > wait+p.busy[k]/2
}

// refresh recomputes what replies and predictions use.
func (t *target) refresh(now time.Time, o *Owner) {
	p := pace{busy: t.meanBusy()}
	for _, u := range t.ups {
		if !u.usable() {
			continue
		}
		if u.health.aside {
			if due := u.health.due(true); p.opens.IsZero() || due.Before(p.opens) {
				p.opens = due
			}
			continue
		}
		slots := u.health.limit(u.slots)
		long := min(u.long, slots)
		p.slots += slots
		p.perSecond[shortOnline] += float64(slots-long)/p.busy[shortOnline].Seconds() + float64(long)/p.busy[longOnline].Seconds()
		p.perSecond[longOnline] += math.Max(float64(slots)*o.longShare, 1) / p.busy[longOnline].Seconds()
		p.perSecond[batchWork] += float64(slots) / p.busy[batchWork].Seconds()
	}
	t.pace = p
}

// meanBusy returns the busy time of each kind over the target's upstreams.
func (t *target) meanBusy() [kinds]time.Duration {
	var busy [kinds]time.Duration
	for k := range busy {
		var sum time.Duration
		n := 0
		for _, u := range t.ups {
			if b := u.health.busy[k].mean; b > 0 {
				sum += b
				n++
			}
		}
		busy[k] = unknownBusy
		if n > 0 {
			busy[k] = max(sum/time.Duration(n), time.Millisecond)
		}
	}
	return busy
}

// words returns the loads that replies carry: up to maxLoads upstreams, others each time where there are more.
func (t *target) words(now time.Time) []berylpermit.Load {
	if t.loads != nil && now.Sub(t.described) < describeEvery {
		return t.loads
	}
	t.described = now
	n := min(len(t.ups), maxLoads)
	t.loads = make([]berylpermit.Load, 0, n) // earlier replies still hold the old one
	for range n {
		t.nextWord = (t.nextWord + 1) % len(t.ups)
		t.loads = append(t.loads, t.ups[t.nextWord].load(now, t))
	}
	return t.loads
}

// load describes the upstream as one of the target's.
func (u *upstream) load(now time.Time, t *target) berylpermit.Load {
	l := berylpermit.Load{
		Upstream:          u.name,
		Slots:             u.health.limit(u.slots),
		Online:            u.online,
		Batch:             len(u.batch) + len(u.yielding),
		Waiting:           t.queues[shortOnline].len() + t.queues[longOnline].len(),
		Straggler:         u.health.aside,
		TimeToFirstToken:  u.health.first.mean,
		InterTokenLatency: u.health.gap.mean,
	}
	if u.leaving {
		l.Slots = 0
	}
	if u.free()+len(u.batch) <= 0 {
		l.PredictedWait = t.pace.wait(now, shortOnline, t.queues[shortOnline].len()+1)
	}
	return l
}

// score orders upstreams with free slots; less is better.
func (u *upstream) score() float64 {
	return float64(u.held()+1) / float64(u.health.limit(u.slots)) * u.health.weight()
}
