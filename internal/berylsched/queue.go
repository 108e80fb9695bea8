package berylsched

import (
	"math"
	"sort"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// maxScannedAccounts is how many accounts are looked at to find one that holds no more than its fair share, so that the
	// cost of a decision does not grow with the number of accounts.
	maxScannedAccounts = 64
	// maxWaitFactor is the multiple of its longest acceptable wait after which a request that others have overtaken is
	// refused. The relay takes half of the time to the first event as that wait.
	maxWaitFactor = 2
	// maxSparePlaces is the most places that a queue keeps for reuse.
	maxSparePlaces = 256
)

// waiter is a request that waits at an owner for a free slot.
type waiter struct {
	req      berylpermit.Request
	target   *target
	flow     *flow
	deadline time.Time
	// renewedAt is when the request was last received. A request that is not sent again is refused after its lease.
	renewedAt time.Time
	// predicted is the predicted wait as of the last search for late requests.
	predicted time.Duration
	// arrival is a sequence number that orders equal deadlines first come, first served.
	arrival uint64
}

// isOvertaken reports whether the request, by its predicted wait, will have waited for a multiple of what it accepted when
// it was queued, because requests of other accounts have come before it since.
func (w *waiter) isOvertaken(now time.Time) bool {
	if w.req.MaxQueueWait <= 0 || w.flow.account.isOnly() {
		return false
	}
	waited := w.req.Remaining - w.deadline.Sub(now)
	return waited+w.predicted > maxWaitFactor*w.req.MaxQueueWait
}

// compareWaiters orders waiters by deadline, then by arrival.
func compareWaiters(a, b *waiter) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	if a.arrival < b.arrival {
		return -1
	}
	if a.arrival > b.arrival {
		return 1
	}
	return 0
}

// queue holds the waiters of a target for one kind of work. They are ordered by priority, then fairly between accounts,
// and the requests of an account by deadline. Each account has as many places in the order as requests, so that the rank
// of a request takes two binary searches however many accounts there are.
type queue struct {
	kind workKind
	// places are all places in order, and heads the first place of each flow.
	places sortedList[*place]
	heads  sortedList[*place]
	spare  []*place
	// probe is the place that rank looks for.
	probe place
}

func (q *queue) len() int {
	return q.places.len()
}

// candidate returns the waiter that is tried as the i-th one for a free slot, or nil. In each priority, the accounts that
// hold less than their fair share of the slots come first.
func (q *queue) candidate(i, slots int) *waiter {
	heads := q.heads.all()
	if len(heads) == 1 {
		if waiters := &heads[0].flow.queues[q.kind].waiters; i < waiters.len() {
			return waiters.at(i)
		}
		return nil
	}
	for len(heads) > 0 {
		l := heads[0].flow.level
		n := len(heads)
		if heads[n-1].flow.level != l {
			n = sort.Search(n, func(j int) bool { return heads[j].flow.level.priority > l.priority })
		}
		if i < l.waiting[q.kind] {
			return q.candidateOf(heads[:min(n, maxScannedAccounts)], i, slots)
		}
		i -= l.waiting[q.kind]
		heads = heads[n:]
	}
	return nil
}

// candidateOf returns the i-th candidate among flows of one priority: the first waiters of accounts that hold less than
// their fair share, those of the other accounts, then the second ones of all, and so on.
func (q *queue) candidateOf(heads []*place, i, slots int) *waiter {
	for _, inExcess := range []bool{false, true} {
		for _, p := range heads {
			if (p.flow.account.excess(slots) > 0) != inExcess {
				continue
			}
			if i--; i < 0 {
				return p.flow.queues[q.kind].waiters.at(0)
			}
		}
	}
	for depth := 1; depth < maxSkippedWaiters; depth++ {
		for _, p := range heads {
			waiters := &p.flow.queues[q.kind].waiters
			if waiters.len() <= depth {
				continue
			}
			if i--; i < 0 {
				return waiters.at(depth)
			}
		}
	}
	return nil
}

// position predicts how many requests are granted before w, which is or would be in the queue.
func (q *queue) position(w *waiter, slots int) int {
	fl := w.flow
	own := &fl.queues[q.kind]
	index := own.waiters.rank(w, compareWaiters)
	if fl.account.isOnly() {
		return index
	}
	p := q.placeAt(fl, index)
	rank := q.places.rank(p, comparePlaces)
	higher := 0
	if fl.account.excess(slots) > 0 {
		q.probe = place{flow: fl, start: -1}
		higher = q.places.rank(&q.probe, comparePlaces)
	}
	return q.adjust(fl, index, rank, higher, slots, func() int { return q.countExcess(p, slots) })
}

// placeAt returns the flow's place of that index, or the one that it would get next. The result is valid until the next
// use of probe.
func (q *queue) placeAt(fl *flow, index int) *place {
	if own := &fl.queues[q.kind]; index < own.places.len() {
		return own.places.at(index)
	}
	q.probe = place{flow: fl, start: fl.nextStart(q.kind), seq: math.MaxUint64}
	return &q.probe
}

// adjust corrects the rank of a flow's place of that index for the rule that accounts in excess of their fair share come
// later, and for requests of other accounts that come before it although they have not arrived yet. The queue has higher
// places of higher priority; skipped counts the places before this one of accounts in excess.
func (q *queue) adjust(fl *flow, index, rank, higher, slots int, skipped func() int) int {
	a := fl.account
	if float64(a.held+index+1) <= a.fairShare(slots) {
		return rank - skipped()
	}
	if excess := a.excess(slots); excess > 0 {
		others := fl.level.waiting[q.kind] - fl.queues[q.kind].waiters.len()
		rank = max(rank, higher+index+min(excess, others))
	}
	available := a.available(slots)
	return max(rank, (slots*(index+1)+available-1)/available-1)
}

// countExcess counts the places before p, of the same priority, of accounts in excess of their fair share.
func (q *queue) countExcess(p *place, slots int) int {
	target := *p // p may be the probe
	q.probe = place{flow: p.flow, start: -1}
	first := q.heads.rank(&q.probe, comparePlaces)
	q.probe = target
	count := 0
	for _, h := range q.heads.all()[first:min(first+maxScannedAccounts, q.heads.len())] {
		if comparePlaces(h, &q.probe) >= 0 {
			break
		}
		if h.flow.account.excess(slots) > 0 {
			count += h.flow.queues[q.kind].places.rank(&q.probe, comparePlaces)
		}
	}
	return count
}

// add adds a waiter and a place for it at the end of its flow.
func (q *queue) add(w *waiter) {
	fl := w.flow
	own := &fl.queues[q.kind]
	p := q.newPlace()
	*p = place{flow: fl, start: fl.nextStart(q.kind), seq: w.arrival}
	fl.finish = p.start + workOf(&w.req)
	fl.countWaiting(q.kind, 1)
	fl.period = fl.level.period
	own.waiters.add(w, compareWaiters)
	own.places.add(p, comparePlaces)
	q.places.add(p, comparePlaces)
	if own.places.len() == 1 {
		q.heads.add(p, comparePlaces)
	}
}

// take removes a waiter that is granted a permit; it uses the first place of its flow.
func (q *queue) take(w *waiter) {
	l := w.flow.level
	l.virtualTime = max(l.virtualTime, w.flow.queues[q.kind].places.at(0).start)
	q.removePlace(w, 0)
}

// remove removes a waiter that is not granted a permit; its flow gives up its last place.
func (q *queue) remove(w *waiter) {
	w.flow.finish -= workOf(&w.req)
	q.removePlace(w, w.flow.queues[q.kind].places.len()-1)
}

func (q *queue) removePlace(w *waiter, index int) {
	own := &w.flow.queues[q.kind]
	p := own.places.at(index)
	own.waiters.remove(w, compareWaiters)
	own.places.removeAt(index)
	q.places.remove(p, comparePlaces)
	if index == 0 && q.heads.len() == 1 && own.places.len() > 0 {
		q.heads.all()[0] = own.places.at(0)
	} else if index == 0 {
		q.heads.remove(p, comparePlaces)
		if own.places.len() > 0 {
			q.heads.add(own.places.at(0), comparePlaces)
		}
	}
	if len(q.spare) < maxSparePlaces {
		q.spare = append(q.spare, p)
	}
	w.flow.countWaiting(q.kind, -1)
}

// newPlace returns a spare place, or allocates one.
func (q *queue) newPlace() *place {
	if n := len(q.spare); n > 0 {
		p := q.spare[n-1]
		q.spare = q.spare[:n-1]
		return p
	}
	return new(place)
}

// lastBehind returns the waiter in the last place of a full queue if a request of the flow would come before it and is of
// another account, or nil. It makes room, so that one account cannot fill the queue.
func (q *queue) lastBehind(fl *flow) *waiter {
	last := q.places.at(q.len() - 1)
	if last.flow.account == fl.account || comparePlaces(last, q.placeAt(fl, fl.queues[q.kind].places.len())) <= 0 {
		return nil
	}
	waiters := &last.flow.queues[q.kind].waiters
	return waiters.at(waiters.len() - 1)
}

// removable appends to list the waiters for which keep returns false, in order. The predicted position of a waiter, which
// keep gets, does not count those before it that are removed.
func (q *queue) removable(list []*waiter, slots int, keep func(w *waiter, position int) bool) []*waiter {
	for _, h := range q.heads.all() {
		h.flow.queues[q.kind].next = 0
	}
	var l *level
	rank, higher, skipped := 0, 0, 0
	alone := q.len() > 0 && q.heads.at(0).flow.account.isOnly()
	for _, p := range q.places.all() {
		fl := p.flow
		if fl.level != l {
			l, higher, skipped = fl.level, rank, 0
		}
		own := &fl.queues[q.kind]
		index := own.next
		own.next++
		position := rank
		if !alone {
			position = q.adjust(fl, index, rank, higher, slots, func() int { return skipped })
		}
		if !keep(own.waiters.at(index), position) {
			list = append(list, own.waiters.at(index))
			continue
		}
		rank++
		if !alone && fl.account.excess(slots) > 0 {
			skipped++
		}
	}
	return list
}
