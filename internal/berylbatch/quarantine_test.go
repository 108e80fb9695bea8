package berylbatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
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

// Guards against sound items that are held, or lost, because upstreams happened to crash under items of their jobs: operators expect
// an item to be run within 18 s, and again within 20 s after it has failed.
func TestSoundItemsAreRunInTime(t *testing.T) {
	const runWithin, againWithin = 18 * time.Second, 20 * time.Second
	for _, tt := range []struct {
		name string
		// crashes says whether the upstream crashes on the n-th call of an item. Calls and crashes count from 0 over all items.
		crashes func(id string, n, crashes int) bool
		items   int
		held    bool // whether the part, or the item, is held for a while
	}{
		{"two crashes of an item", func(id string, n, _ int) bool { return id == "j-0" && n < 2 }, 1, false},
		{"three crashes of an item", func(id string, n, _ int) bool { return id == "j-0" && n < 3 }, 1, true},
		{"four crashes of an item, of which one is its trial", func(id string, n, _ int) bool { return id == "j-0" && n < 4 }, 1, true},
		{"one crash of each of three items", func(_ string, n, crashes int) bool { return n == 0 && crashes < 3 }, 3, true},
		{"one crash of each of three items and one of the trial", func(_ string, n, crashes int) bool { return n == 0 && crashes < 3 || crashes == 3 }, 3, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				calls, crashes, lastCrash := make(map[string]int), 0, make(map[string]time.Time)
				var mu sync.Mutex
				cluster.restartUpstream(func(id string) bool {
					mu.Lock()
					defer mu.Unlock()
					if !strings.HasPrefix(id, "j") {
						return false
					}
					if at := lastCrash[id]; !at.IsZero() {
						is.True(time.Since(at) <= againWithin) // run again in time
					}
					crashed := tt.crashes(id, calls[id], crashes)
					calls[id]++
					if crashed {
						crashes++
						lastCrash[id] = time.Now()
					} else {
						delete(lastCrash, id)
					}
					return crashed
				})
				m, _ := cluster.startHost(ctx, "a", 1)
				cluster.startQuarantine(m)
				go m.Quarantine.Run(ctx)
				time.Sleep(time.Second)
				online, stop := context.WithCancel(ctx)
				var answered sync.WaitGroup
				answered.Go(func() { // online requests without the part are answered all the while
					for online.Err() == nil {
						m.Quarantine.RecordBegin("svc", berylquarantine.Prompt{Parts: []string{"q"}})
						time.Sleep(5 * time.Millisecond)
					}
				})
				defer answered.Wait()
				defer stop()
				job := cluster.submission("j", tt.items)
				for i := range job.Items {
					job.Items[i].PromptParts = []string{"p"}
				}
				is.Equal(m.Submit(ctx, job), nil)
				held := false
				for range 80 {
					time.Sleep(50 * time.Millisecond)
					held = held || m.Quarantine.HoldsBack(berylquarantine.Prompt{Parts: []string{"p"}, Item: berylquarantine.ItemKey("j", "j-0")})
				}
				is.Equal(held, tt.held)
				later := cluster.submission("l", 10)
				for i := range later.Items {
					later.Items[i].PromptParts = []string{"p"}
				}
				is.Equal(m.Submit(ctx, later), nil)
				for _, r := range readAll(t, m, "l", 10, runWithin) {
					is.Equal(r.State, Completed)
				}
				for _, r := range readAll(t, m, "j", len(job.Items), runWithin) {
					is.Equal(r.State, Completed)
				}
			})
		})
	}
}
