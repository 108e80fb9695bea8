package berylsched

import (
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// waiter is a request that waits at an owner for a free slot.
type waiter struct {
	req      berylpermit.Request
	target   *target
	deadline time.Time
	// renewedAt is when the request was last received. A request that is not sent again is refused after its lease.
	renewedAt time.Time
	// arrival is a sequence number that orders equal deadlines first come, first served.
	arrival uint64
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

// queue is a priority queue of waiters by deadline, kept as one sorted slice: the rank of a request, which admission
// needs, takes a binary search, and most requests are added near the end and taken from the front.
type queue struct {
	items []*waiter
	head  int
}

// waiting returns the waiters in order; the slice is valid until the queue changes.
func (q *queue) waiting() []*waiter {
	return q.items[q.head:]
}

func (q *queue) len() int {
	return len(q.items) - q.head
}

// rank returns how many waiters come before w, which need not be in the queue.
func (q *queue) rank(w *waiter) int {
	i, _ := slices.BinarySearchFunc(q.waiting(), w, compareWaiters)
	return i
}

func (q *queue) add(w *waiter) {
	i := q.rank(w)
	if q.head > 0 && i < q.len()/2 {
		q.head--
		copy(q.items[q.head:], q.items[q.head+1:q.head+1+i])
		q.items[q.head+i] = w
		return
	}
	q.items = slices.Insert(q.items, q.head+i, w)
}

func (q *queue) remove(w *waiter) {
	i, found := slices.BinarySearchFunc(q.waiting(), w, compareWaiters)
	if !found {
		return
	}
	q.removeAt(i)
}

func (q *queue) removeAt(i int) {
	if i < q.len()/2 {
		copy(q.items[q.head+1:q.head+1+i], q.items[q.head:q.head+i])
		q.items[q.head] = nil
		q.head++
	} else {
		q.items = slices.Delete(q.items, q.head+i, q.head+i+1)
	}
	if q.len() == 0 {
		q.items, q.head = q.items[:0], 0
	}
}
