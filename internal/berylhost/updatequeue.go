package berylhost

import (
	"cmp"
	"math/bits"
	"slices"
)

const maxQueuedUpdates = 256

// updateQueue lists the members whose latest state still has to be gossiped, the least often sent first.
type updateQueue struct {
	items  []queuedUpdate
	picked []string
}

type queuedUpdate struct {
	name      string
	sentCount int
}

// add puts a member at the front of the queue.
func (q *updateQueue) add(name string) {
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.name == name })
	if len(q.items) >= maxQueuedUpdates {
		q.items = q.items[:maxQueuedUpdates-1]
	}
	q.items = slices.Insert(q.items, 0, queuedUpdate{name: name})
}

// pick returns up to count names, the least often sent first, and removes those that have been sent limit times. The
// slice is valid until the next pick.
func (q *updateQueue) pick(count, limit int) []string {
	q.picked = q.picked[:0]
	count = min(count, len(q.items))
	for i := range count {
		q.picked = append(q.picked, q.items[i].name)
		q.items[i].sentCount++
	}
	if count == 0 {
		return nil
	}
	q.items = slices.DeleteFunc(q.items, func(i queuedUpdate) bool { return i.sentCount >= limit })
	slices.SortStableFunc(q.items, func(a, b queuedUpdate) int { return cmp.Compare(a.sentCount, b.sentCount) })
	return q.picked
}

// retransmitLimit returns how often an update about one member is sent. As in SWIM it grows with the logarithm of the
// number of members.
func (t *Table) retransmitLimit() int {
	return retransmitFactor * bits.Len(uint(len(t.views.others)+1))
}
