package berylbatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylroute"
)

// startQuarantine gives a manager a quarantine for which every broken call is a crash.
func (cluster *testCluster) startQuarantine(m *Manager) {
	m.Quarantine = berylquarantine.New(berylquarantine.Config{
		Host: m.Host, Store: &cluster.store, Rank: func(string) int { return 0 }, Log: discardLog(),
		HasCrashed: func(context.Context, berylroute.Upstream) bool { return true },
	})
}

// restartUpstream replaces the upstream by a later run whenever it has crashed on an item that crashes holds.
func (cluster *testCluster) restartUpstream(crashes func(id string) bool) {
	run := int64(0)
	cluster.upstream.body = func(id string) io.Reader {
		if !crashes(id) {
			return nil
		}
		run++
		cluster.upstreams.Put(berylroute.Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:1", Slots: 4, StartedAtMillis: run})
		return &brokenBody{}
	}
}

// brokenBody breaks off before its first event.
type brokenBody struct{}

func (*brokenBody) Read([]byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return 0, io.ErrUnexpectedEOF
}

// Guards against items with a part that crashes upstreams being run until their retention is over, and against the items beside
// them being held back.
func TestItemsThatCrashUpstreamsAreHeldBack(t *testing.T) {
	for _, tt := range []struct {
		name string
		// part returns the prompt part of an item, and crashes says whether an upstream crashes on it.
		part    func(i int) string
		crashes func(id string) bool
		// bad is the number of items that crash upstreams, calls the most calls of them together: three for a verdict, those
		// that were under way then, and two trials.
		bad, calls int
	}{
		{"shared part", func(i int) string { return fmt.Sprint("p", i%2) }, func(id string) bool { return strings.HasSuffix(id, "1") || strings.HasSuffix(id, "3") }, 2, 8},
		{"one item by itself", func(int) string { return "p" }, func(id string) bool { return strings.HasSuffix(id, "1") }, 1, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 4)
				cluster.restartUpstream(tt.crashes)
				m, _ := cluster.startHost(ctx, "a", 1)
				cluster.startQuarantine(m)
				go m.Quarantine.Run(ctx)
				time.Sleep(time.Second)
				s := cluster.submission("j", 4)
				for i := range s.Items {
					s.Items[i].PromptParts = []string{tt.part(i)}
				}
				sound := cluster.submission("k", 20)
				for i := range sound.Items {
					sound.Items[i].ID, sound.Items[i].PromptParts = fmt.Sprintf("k-%d-sound", i), []string{"q"}
				}
				is.Equal(m.Submit(ctx, s), nil)
				is.Equal(m.Submit(ctx, sound), nil)
				readAll(t, m, "k", 20, 20*time.Second)
				results := readAll(t, m, "j", 4, 3*time.Minute) // the retention is a minute
				calls, abandoned := 0, 0
				for id, r := range results {
					if tt.crashes(id) {
						calls += cluster.upstream.callsOf(id)
					}
					if r.State == Abandoned {
						abandoned++
					}
				}
				is.Equal(abandoned, tt.bad)
				is.True(calls <= tt.calls)
			})
		})
	}
}

// Guards against an item being held back because upstreams have crashed under it: items are handed in to be run, and never crash
// upstreams by themselves.
func TestItemUnderWhichUpstreamsCrashedIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		crashes := 0
		cluster.restartUpstream(func(id string) bool {
			if !strings.HasSuffix(id, "-1") || crashes == 5 {
				return false
			}
			crashes++
			return true
		})
		m, _ := cluster.startHost(ctx, "a", 1)
		cluster.startQuarantine(m)
		go m.Quarantine.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(m.Submit(ctx, cluster.submission("j", 4)), nil)
		results := readAll(t, m, "j", 4, 10*time.Second)
		is.Equal(crashes, 5)
		is.Equal(results["j-1"].State, Completed)
	})
}
