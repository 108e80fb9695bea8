package berylsched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpermit"
)

// checkFairness compares the counts of permits and waiting requests by account with the permits and queues, and checks that
// each flow has as many places as waiters and that the places are in order.
func (m *ownerModel) checkFairness(t *target) {
	held := make(map[*account]int)
	for _, p := range m.owner().permits {
		held[p.account]++
	}
	waiting := make(map[*account]int)
	for _, w := range m.owner().waiting {
		waiting[w.flow.account]++
	}
	for _, f := range []*fairness{&t.onlineSharing, &t.batchSharing} {
		sumHeld, heldByWaiting, waitingAccounts := 0, 0, 0
		for _, a := range f.accounts {
			if a.held != held[a] || a.waiting != waiting[a] {
				m.t.Fatalf("account %q: counts of %d permits and %d waiting requests, but there are %d and %d", a.name, a.held, a.waiting, held[a], waiting[a])
			}
			sumHeld += a.held
			if a.waiting > 0 {
				waitingAccounts++
				heldByWaiting += a.held
			}
		}
		if sumHeld != f.held || heldByWaiting != f.heldByWaiting || waitingAccounts != f.waitingAccounts {
			m.t.Fatalf("counts of %d held, %d by waiting, %d waiting accounts; there are %d, %d, %d",
				f.held, f.heldByWaiting, f.waitingAccounts, sumHeld, heldByWaiting, waitingAccounts)
		}
	}
	for k := range t.queues {
		m.checkQueue(&t.queues[k])
	}
}

func (m *ownerModel) checkQueue(q *queue) {
	if !slices.IsSortedFunc(q.places.all(), comparePlaces) || !slices.IsSortedFunc(q.heads.all(), comparePlaces) {
		m.t.Fatalf("places are out of order")
	}
	places := 0
	for _, h := range q.heads.all() {
		own := &h.flow.queues[q.kind]
		if own.places.at(0) != h || own.places.len() != own.waiters.len() || !slices.IsSortedFunc(own.places.all(), comparePlaces) {
			m.t.Fatalf("a flow has %d places and %d waiters, or places out of order", own.places.len(), own.waiters.len())
		}
		places += own.places.len()
	}
	if places != q.len() {
		m.t.Fatalf("the queue has %d places, and its flows have %d", q.len(), places)
	}
}

// TestFullQueueOfOneAccount guards against an account that fills the queue, and against state that grows with the number of
// accounts ever seen.
func TestFullQueueOfOneAccount(t *testing.T) {
	is := is.New(t)
	o, now, seq := fullOwner(1, 0)
	send := func(account string) []Action {
		seq++
		req := benchRequest(seq, "model-0")
		req.Account = account
		return o.Request(now, req)
	}
	for range maxQueueLength {
		is.Equal(len(send("large")), 0)
	}
	is.Equal(send("large")[0].Reply.ID.Seq, seq) // a further one is refused
	refused := send("small")
	is.Equal(len(refused), 1)
	is.True(refused[0].Reply.ID.Seq != seq && o.waiting[refused[0].Reply.ID] == nil) // one of the large account's, for the small one
	for i := range 20000 {
		send(fmt.Sprint("account", i))
		o.Withdraw(now, berylpermit.ID{Host: "entry-1", Boot: 1, Seq: seq})
	}
	is.True(o.targets["model-0"].onlineSharing.entries <= 4*minSweepSize)
}
