package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
)

// permit is one granted permit as its owner counts it.
type permit struct {
	id       berylpermit.ID
	upstream *upstream
	class    berylpermit.Class
	// account counts the permit; it is nil if the upstream serves no target.
	account *account
	// long marks work whose estimated answer is over the rules' long-tokens.
	long bool
	// probe marks a permit whose call tests whether an ejected upstream has recovered.
	probe     bool
	grantedAt time.Time
	// confirmedAt is when the holder last reported the permit, or when it was granted; its lease counts from then.
	confirmedAt time.Time
	// missedReports counts the holder's consecutive reports without the permit.
	missedReports int
	// yieldedAt is when the holder was first told to yield, or zero.
	yieldedAt time.Time
	// yieldSentAt is when the holder was last told to yield.
	yieldSentAt time.Time
	// overdue marks a permit that was not given back within yieldGrace.
	overdue bool
	// inFlight counts the upstream's permits, itself included, when it was granted.
	inFlight int
	// index is the position in the list of the holder's permits.
	index int
}

// upstream is the Owner's state of one upstream, owned or not.
type upstream struct {
	name    string
	slots   int
	leaving bool
	owned   bool
	// term distinguishes successive ownerships of the upstream.
	term uint64
	// batchAllowedAt is when the counts have settled after a takeover or a pause of the process. Until then no batch permits are
	// granted, and refusals and latencies say nothing about the upstream.
	batchAllowedAt time.Time
	// online counts the online permits, and long counts those among them that are for long work.
	online int
	long   int
	// batch holds the batch permits that have not been told to yield, oldest first.
	batch []*permit
	// yielding holds the batch permits that have been told to yield.
	yielding []*permit
	// overdue counts the yielding permits that were not given back within yieldGrace.
	overdue int
	targets []*target
	health  health
	limit   rateLimit
	// leavingRun is the run of which an answer has said that it leaves, or zero; leaving is what the configuration says.
	leavingRun int64
	// reportedPace is the limit that was last reported, and reportedCause its cause, at paceReportedAt.
	reportedPace   int
	reportedCause  berylpace.Cause
	paceReportedAt time.Time
	// peerLoad is the last load reported by another host that owns the upstream.
	peerLoad peerLoad
}

// target is the state of a model or plain service.
type target struct {
	name string
	// owned lists the target's upstreams that this host owns, and all lists them together with those of other owners.
	owned []*upstream
	all   []*upstream
	// queues holds the waiters by kind of work.
	queues [kindCount]queue
	// onlineSharing and batchSharing share the slots between client accounts.
	onlineSharing fairness
	batchSharing  fairness
	arrivals      arrivalRate
	// cachedLoads are the loads for replies, computed at cachedAt. They end with the upstream at index
	// loadCursor of owned.
	cachedLoads []berylpermit.Load
	cachedAt    time.Time
	loadCursor  int
	throughput  throughput
	medians     latencyMedians
	evaluatedAt time.Time
	// missing is the share of the slots of all that may not be used, as of evaluatedAt. It is kept with AdaptivePace only.
	missing float64
	// firstTokenSamples and interTokenSamples are buffers of updateMedians, kept to save allocations.
	firstTokenSamples []time.Duration
	interTokenSamples []time.Duration
}

// workKind is a kind of work with a queue of its own, so that a request of one kind that can't run does not block those of
// another kind that can.
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

// inFlight counts all permits that have not been released.
func (u *upstream) inFlight() int {
	return u.online + len(u.batch) + len(u.yielding)
}

// freeSlots counts the slots that may be granted. A permit told to yield counts as given back until it is overdue. An
// ejected upstream has one slot, for its probe, whatever it still has in flight.
func (u *upstream) freeSlots() int {
	if u.health.ejected {
		return 1
	}
	return u.health.effectiveSlots(u.slots) - u.online - len(u.batch) - u.overdue
}

// usable reports whether the upstream may get new permits at all.
func (u *upstream) usable() bool {
	return u.owned && !u.leaving && u.slots > 0
}

// mayAddLong reports whether one more long online permit stays within the share for long work and, if the upstream has
// two slots or more, leaves one for short work.
func (u *upstream) mayAddLong(share float64) bool {
	slots := u.health.effectiveSlots(u.slots)
	maxLong := max(int(float64(slots)*share), 1)
	if slots >= 2 {
		maxLong = min(maxLong, slots-1)
	}
	return u.long < maxLong
}

// youngestBatch returns the batch permit granted last, whose preemption loses the least work, or nil.
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

// startYield moves a batch permit from batch to yielding.
func (u *upstream) startYield(p *permit, now time.Time) {
	u.batch = removeFrom(u.batch, p)
	p.yieldedAt = now
	p.yieldSentAt = now
	u.yielding = append(u.yielding, p)
}

// markOverdue makes a yielding permit take up a slot again.
func (u *upstream) markOverdue(p *permit) {
	if !p.overdue {
		p.overdue = true
		u.overdue++
	}
}
