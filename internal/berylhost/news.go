package berylhost

import (
	"cmp"
	"math/bits"
	"slices"
)

const maxQueuedNews = 256

// newsQueue lists the members whose latest state still has to be gossiped, the least often sent first.
type newsQueue struct {
	items  []newsItem
	picked []string
}

type newsItem struct {
	name      string
	sentCount int
}

// add puts a member at the front of the queue.
func (n *newsQueue) add(name string) {
	n.items = slices.DeleteFunc(n.items, func(i newsItem) bool { return i.name == name })
	if len(n.items) >= maxQueuedNews {
		n.items = n.items[:maxQueuedNews-1]
	}
	n.items = slices.Insert(n.items, 0, newsItem{name: name})
}

// pick returns up to count names, the least often sent first, and removes those that have been sent limit times. The
// slice is valid until the next pick.
func (n *newsQueue) pick(count, limit int) []string {
	n.picked = n.picked[:0]
	count = min(count, len(n.items))
	for i := range count {
		n.picked = append(n.picked, n.items[i].name)
		n.items[i].sentCount++
	}
	if count == 0 {
		return nil
	}
	n.items = slices.DeleteFunc(n.items, func(i newsItem) bool { return i.sentCount >= limit })
	slices.SortStableFunc(n.items, func(a, b newsItem) int { return cmp.Compare(a.sentCount, b.sentCount) })
	return n.picked
}

// retransmitLimit returns how often the news of one member is sent. As in SWIM it grows with the logarithm of the
// number of members.
func (t *Table) retransmitLimit() int {
	return retransmitFactor * bits.Len(uint(len(t.views.others)+1))
}
