package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// permit is one call in flight as its owner counts it.
type permit struct {
	id    berylpermit.ID
	up    *upstream
	class berylpermit.Class
	long  bool
	// probe marks a permit that finds out whether an upstream set aside is well again.
	probe bool
	since time.Time
	// seen is when a report of its holder last named it, or when it was granted.
	seen time.Time
	// missed counts the holder's reports in a row that do not name it.
	missed int
	// yielded is when its holder was first told to yield, zero before.
	yielded time.Time
	// asked is when its holder was last told to yield.
	asked time.Time
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
	// settled is when batch permits may be granted again after a change of ownership.
	settled time.Time
	online  int
	long    int
	// batch holds the batch permits not told to yield, oldest first.
	batch []*permit
	// yielding holds the batch permits told to yield.
	yielding []*permit
	// overdue counts the yielding permits whose holder has not given them back in time.
	overdue int
	targets []*target
	health  health
	// peer is what the owner says, when that is another host.
	peer peerWord
}

// target is a model or plain service with those of its upstreams that the host owns.
type target struct {
	name string
	// ups lists the owned upstreams, all those of the other owners too.
	ups []*upstream
	all []*upstream
	// queues hold the waiting asks by kind of work.
	queues   [kinds]queue
	arrivals rate
	// loads is what replies carry, described again now and then from the upstream nextWord on.
	loads     []berylpermit.Load
	described time.Time
	nextWord  int
	pace      pace
	norm      norm
	judged    time.Time
	// firsts and gaps are kept from one judgement to the next to save allocations.
	firsts []time.Duration
	gaps   []time.Duration
}

// kind is a kind of work that is queued apart, so that none stands before another that could go.
type kind int

const (
	shortOnline kind = iota
	longOnline
	batchWork
	kinds
)

func kindOf(class berylpermit.Class, long bool) kind {
	if class == berylpermit.Batch {
		return batchWork
	}
	if long {
		return longOnline
	}
	return shortOnline
}

// held counts all permits in flight.
func (u *upstream) held() int {
	return u.online + len(u.batch) + len(u.yielding)
}

// free counts the slots to give; a permit told to yield counts as given back until it is overdue. An upstream set aside
// has one slot for its probe, whatever it still has in flight.
func (u *upstream) free() int {
	if u.health.aside {
		return 1
	}
	return u.health.limit(u.slots) - u.online - len(u.batch) - u.overdue
}

// usable says whether the upstream may get any new permit.
func (u *upstream) usable() bool {
	return u.owned && !u.leaving && u.slots > 0
}

// longRoom says whether one more long online permit keeps within the share and leaves a slot for short work.
func (u *upstream) longRoom(share float64) bool {
	slots := u.health.limit(u.slots)
	most := max(int(float64(slots)*share), 1)
	if slots >= 2 {
		most = min(most, slots-1)
	}
	return u.long < most
}

// youngest returns the batch permit with the least work to lose, or nil.
func (u *upstream) youngest() *permit {
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
	for i > 0 && u.batch[i-1].since.After(p.since) {
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
	if p.yielded.IsZero() {
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
	p.yielded = now
	p.asked = now
	u.yielding = append(u.yielding, p)
}

// markOverdue counts a yielding permit as held again.
func (u *upstream) markOverdue(p *permit) {
	if !p.overdue {
		p.overdue = true
		u.overdue++
	}
}
