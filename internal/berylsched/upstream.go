package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// permit is one call in flight as its owner counts it.
type permit struct {
	id       berylpermit.ID
	upstream *upstream
	class    berylpermit.Class
	long     bool
	// probe marks a permit that finds out whether an upstream set aside is well again.
	probe     bool
	grantedAt time.Time
	// confirmedAt is when a report of its holder last named it, or when it was granted.
	confirmedAt time.Time
	// missedReports counts the holder's reports in a row that do not name it.
	missedReports int
	// yieldedAt is when its holder was first told to yield, zero before.
	yieldedAt time.Time
	// yieldSentAt is when its holder was last told to yield.
	yieldSentAt time.Time
	// overdue marks a permit that was not given back within the grace time.
	overdue bool
	// index is its place in its holder's list.
	index int
}

// upstream is the state of one upstream at its owner.
type upstream struct {
	name    string
	slots   int
	leaving bool
	owned   bool
	term    uint64
	// batchAllowedAt is when batch permits may be granted again after a change of ownership.
	batchAllowedAt time.Time
	online         int
	long           int
	// batch holds the batch permits not told to yield, oldest first.
	batch []*permit
	// yielding holds the batch permits told to yield.
	yielding []*permit
	// overdue counts the yielding permits whose holder has not given them back in time.
	overdue int
	targets []*target
	health  health
	// peerLoad is what the owner says, when that is another host.
	peerLoad peerLoad
}

// target is a model or plain service with those of its upstreams that the host owns.
type target struct {
	name string
	// owned lists the owned upstreams, all those of the other owners too.
	owned []*upstream
	all   []*upstream
	// queues hold the waiting asks by kind of work.
	queues   [kindCount]queue
	arrivals arrivalRate
	// cachedLoads is what replies carry, described again now and then from the upstream nextWord on.
	cachedLoads []berylpermit.Load
	cachedAt    time.Time
	loadCursor  int
	throughput  throughput
	medians     latencyMedians
	evaluatedAt time.Time
	// firstTokenSamples and gaps are kept from one judgement to the next to save allocations.
	firstTokenSamples []time.Duration
	interTokenSamples []time.Duration
}

// workKind is a workKind of work that is queued apart, so that none stands before another that could go.
type workKind int

const (
	shortOnline workKind = iota
	longOnline
	batchWork
	kindCount
)

func kindOf(class berylpermit.Class, long bool) workKind {
	if class == berylpermit.Batch {
		return batchWork
	}
	if long {
		return longOnline
	}
	return shortOnline
}

// inFlight counts all permits in flight.
func (u *upstream) inFlight() int {
	return u.online + len(u.batch) + len(u.yielding)
}

// freeSlots counts the slots to give; a permit told to yield counts as given back until it is overdue. An upstream set aside
// has one slot for its probe, whatever it still has in flight.
func (u *upstream) freeSlots() int {
	if u.health.ejected {
		return 1
	}
	return u.health.effectiveSlots(u.slots) - u.online - len(u.batch) - u.overdue
}

// usable says whether the upstream may get any new permit.
func (u *upstream) usable() bool {
	return u.owned && !u.leaving && u.slots > 0
}

// mayAddLong says whether one more long online permit keeps within the share and leaves a slot for short work.
func (u *upstream) mayAddLong(share float64) bool {
	slots := u.health.effectiveSlots(u.slots)
	most := max(int(float64(slots)*share), 1)
	if slots >= 2 {
		most = min(most, slots-1)
	}
	return u.long < most
}

// youngestBatch returns the batch permit with the least work to lose, or nil.
func (u *upstream) youngestBatch() *permit {
	if len(u.batch) == 0 {
		return nil
	}
	return u.batch[len(u.batch)-1]
}

func (u *upstream) addPermit(p *permit) {
	if p.class == berylpermit.Online {
		u.online++
		if p.long {
			u.long++
		}
		return
	}
	i := len(u.batch)
	for i > 0 && u.batch[i-1].grantedAt.After(p.grantedAt) {
		i--
	}
	u.batch = slices.Insert(u.batch, i, p)
}

func (u *upstream) removePermit(p *permit) {
	if p.class == berylpermit.Online {
		u.online--
		if p.long {
			u.long--
		}
		return
	}
	if p.yieldedAt.IsZero() {
		u.batch = removeFrom(u.batch, p)
		return
	}
	u.yielding = removeFrom(u.yielding, p)
	if p.overdue {
		u.overdue--
	}
}

func removeFrom(list []*permit, p *permit) []*permit {
	i := slices.Index(list, p)
	if i < 0 {
		panic("berylsched: permit is not counted for its upstream")
	}
	return slices.Delete(list, i, i+1)
}

// startYield moves a batch permit among those told to yield.
func (u *upstream) startYield(p *permit, now time.Time) {
	u.batch = removeFrom(u.batch, p)
	p.yieldedAt = now
	p.yieldSentAt = now
	u.yielding = append(u.yielding, p)
}

// markOverdue counts a yielding permit as held again.
func (u *upstream) markOverdue(p *permit) {
	if !p.overdue {
		p.overdue = true
		u.overdue++
	}
}
