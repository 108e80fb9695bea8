package berylsched

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpermit"
)

// reportCounter is a Transport that counts the reports of held permits to each host.
type reportCounter struct {
	Transport
	mu      sync.Mutex
	reports map[string]int
}

func (c *reportCounter) SendHeldReport(_ context.Context, host string, _ berylpermit.HeldReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[host]++
	return nil
}

func (c *reportCounter) reset() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.reports
	c.reports = make(map[string]int)
	return counts
}

// TestReportsWhileHostsComeAndGo checks that a new table leads to a report only if it changes the owner of a held permit.
// While hosts lose and regain their connections there are many tables per second, and a report of each would flood the
// network.
func TestReportsWhileHostsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		counter := &reportCounter{reports: make(map[string]int)}
		s := New(Settings{Host: "host-0", Boot: 1, Transport: counter})
		go s.Run(ctx)
		doc, members := inventory(40, 40)
		s.SetConfigAndMembers(doc, members)
		time.Sleep(time.Second)
		owner := ""
		for name, p := range s.table.Load().placements {
			if p.owner != "host-0" {
				owner = p.owner
				s.addHeld(&berylpermit.Request{ID: s.nextID()}, name, p.owner)
				break
			}
		}
		counter.reset()
		for range 50 {
			// Remove one of two hosts in turn, but never the owner of the held permit's upstream.
			for _, removed := range []int{1, 2} {
				var fewer []Member
				for i, m := range members {
					if i != removed || m.Name == owner {
						fewer = append(fewer, m)
					}
				}
				s.SetConfigAndMembers(doc, fewer)
				time.Sleep(10 * time.Millisecond)
			}
		}
		is.Equal(counter.reset(), map[string]int{}) // same owner, and no regular report is due yet
		var without []Member
		for _, m := range members {
			if m.Name != owner {
				without = append(without, m)
			}
		}
		s.SetConfigAndMembers(doc, without)
		time.Sleep(10 * time.Millisecond)
		reported := counter.reset()
		is.Equal(len(reported), 1) // the new owner gets a report at once
		is.Equal(reported[owner], 0)
		time.Sleep(4 * time.Second)
		is.True(len(counter.reset()) >= 1) // 4 s include the next regular report, due every reportInterval
	})
}

// TestYieldThatOvertakesItsPermit checks that a yield that arrives before the grant of its permit takes effect.
func TestYieldThatOvertakesItsPermit(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Host: "h1", Boot: 1})
	req := berylpermit.Request{ID: s.nextID(), Class: berylpermit.Batch}
	is.NoErr(s.HandleYield("h2", berylpermit.Yield{ID: req.ID}))
	select {
	case <-s.addHeld(&req, "u1", "h2").Yield:
	default:
		t.Fatal("the permit was not told to yield")
	}
}
