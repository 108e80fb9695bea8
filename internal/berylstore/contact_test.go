package berylstore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestContact guards against taking a watch that the store has cut for an outage, of which hosts and upstreams get a time of grace.
func TestContact(t *testing.T) {
	const second = time.Second
	start := time.Unix(1000, 0)
	type step struct {
		at      time.Duration
		outcome callOutcome
	}
	for _, tt := range []struct {
		name  string
		steps []step
		// lost, reconnected and unsteady are the expected times since the start; -1 stands for the zero time.
		lost, reconnected, unsteady time.Duration
		cuts, outages               int
	}{
		{"always in reach", []step{{second, callAnswered}, {2 * second, callAnswered}}, -1, -1, -1, 0, 0},
		{"a cut watch that is renewed", []step{{second, watchCut}, {second, callAnswered}}, -1, -1, -1, 1, 0},
		{"many cut watches", []step{{1, watchCut}, {2, callAnswered}, {3, watchCut}, {4, callAnswered}, {5, watchCut}, {6, callAnswered}}, -1, -1, -1, 3, 0},
		{"a cut watch before silence", []step{{second, watchCut}, {2 * second, callFailed}}, second, -1, -1, 1, 1},
		{"silence", []step{{second, callAnswered}, {4 * second, callFailed}}, 4 * second, -1, -1, 0, 1},
		{"a whole outage", []step{{second, watchCut}, {2 * second, callFailed}, {3 * second, callFailed}, {9 * second, callAnswered}}, -1, 9 * second, 9 * second, 1, 1},
		{"cuts after an outage", []step{{second, callFailed}, {2 * second, callAnswered}, {4 * second, watchCut}, {4 * second, callAnswered}}, -1, 2 * second, 2 * second, 1, 1},
		{"a cut during an outage", []step{{second, callFailed}, {2 * second, watchCut}, {3 * second, callAnswered}}, -1, 3 * second, 3 * second, 1, 1},
		{"a second outage soon after", []step{{second, callFailed}, {2 * second, callAnswered}, {4 * second, callFailed}, {5 * second, callAnswered}}, -1, 5 * second, 2 * second, 0, 2},
		{"a second outage much later", []step{{second, callFailed}, {2 * second, callAnswered}, {5 * second, callFailed}, {6 * second, callAnswered}}, -1, 6 * second, 6 * second, 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c contact
			for _, s := range tt.steps {
				c = c.after(start.Add(s.at), s.outcome)
			}
			at := func(since time.Duration) time.Time {
				if since < 0 {
					return time.Time{}
				}
				return start.Add(since)
			}
			is.Equal(c.lostAt, at(tt.lost))
			is.Equal(c.reconnectedAt, at(tt.reconnected))
			is.Equal(c.unsteadySince, at(tt.unsteady))
			is.Equal(c.cuts, tt.cuts)
			is.Equal(c.outages, tt.outages)
		})
	}
}

// TestContactInAnyHistory checks that only a call without an answer begins an outage, that only an answer ends it, and that a
// series of outages is as old as its first one.
func TestContactInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c contact
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			outcome := rapid.SampledFrom([]callOutcome{callAnswered, watchCut, callFailed}).Draw(t, "outcome")
			next := c.after(now, outcome)
			check := func(holds bool, what string) {
				if !holds {
					t.Fatal(fmt.Sprint(what, ": ", c, " after ", outcome, " is ", next))
				}
			}
			lost, wasLost := !next.lostAt.IsZero(), !c.lostAt.IsZero()
			check(lost == (outcome == callFailed || wasLost && outcome == watchCut), "lost")
			check((next.reconnectedAt != c.reconnectedAt) == (wasLost && outcome == callAnswered), "reconnected")
			check(!next.unsteadySince.After(next.reconnectedAt), "unsteady")
			if next.reconnectedAt != c.reconnectedAt && next.unsteadySince == c.unsteadySince {
				check(c.lostAt.Sub(c.reconnectedAt) < steadyTime, "series")
			}
			c = next
		}
	})
}
