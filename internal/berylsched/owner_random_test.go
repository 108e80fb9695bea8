package berylsched

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// world is two owners in turn, three holders and a network that loses and doubles messages, on fake time.
type world struct {
	t      *rapid.T
	now    time.Time
	owners [2]Owner
	// current is the owner of all upstreams.
	current int
	seq     uint64
	open    map[berylpermit.ID]bool
	held    map[berylpermit.ID]berylpermit.HeldPermit
	replies map[berylpermit.ID]int
}

var (
	worldUpstreams = []string{"u1", "u2"}
	worldHosts     = []string{"h1", "h2", "h3"}
)

const worldSlots = 2

// TestMain makes random tests give the same verdict on every run; flags given on the command line win.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "60"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0)}
	w.open = make(map[berylpermit.ID]bool)
	w.held = make(map[berylpermit.ID]berylpermit.HeldPermit)
	w.replies = make(map[berylpermit.ID]int)
	config := Config{LongShare: 0.5}
	for _, name := range worldUpstreams {
		config.Upstreams = append(config.Upstreams, Upstream{Name: name, Slots: worldSlots, Targets: []string{"m"}})
	}
	for i := range w.owners {
		w.owners[i].Configure(w.now, config)
	}
	w.owners[0].Owned(w.now, worldUpstreams)
	return w
}

func (w *world) owner() *Owner {
	return &w.owners[w.current]
}

// lost draws whether the network loses a message.
func (w *world) lost() bool {
	return rapid.IntRange(0, 9).Draw(w.t, "lost") == 0
}

// do hands a message to the owner, not at all, once or twice.
func (w *world) do(event func() []Action) {
	for range []int{0, 1, 1, 1, 1, 2}[rapid.IntRange(0, 5).Draw(w.t, "copies")] {
		w.carry(event())
	}
}

func (w *world) carry(actions []Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind == ActionYield {
			if !w.lost() {
				w.release(a.Yield.ID)
			}
			continue
		}
		w.replied(a.Reply)
	}
	w.check()
}

// replied checks that an ask is answered once, but for repeats of its grant, and lets the holder take the permit.
func (w *world) replied(r berylpermit.Reply) {
	if r.Verdict != berylpermit.Granted {
		if w.replies[r.ID]++; w.replies[r.ID] > 1 && w.open[r.ID] {
			w.t.Fatalf("%v answered %d times", r.ID, w.replies[r.ID])
		}
		delete(w.open, r.ID)
		return
	}
	if w.lost() || !w.open[r.ID] {
		return
	}
	p := w.owner().permits[r.ID]
	w.held[r.ID] = berylpermit.HeldPermit{ID: r.ID, Upstream: r.Upstream, Class: p.class, Long: p.long}
	delete(w.open, r.ID)
}

func (w *world) release(id berylpermit.ID) {
	if _, ok := w.held[id]; !ok {
		return
	}
	delete(w.held, id)
	fault := rapid.IntRange(0, 9).Draw(w.t, "fault") == 0
	report := berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: 50 * time.Millisecond, Fault: fault}
	w.do(func() []Action { return w.owner().Release(w.now, berylpermit.Release{ID: id, Report: report}) })
}

func (w *world) ask(t *rapid.T) {
	w.seq++
	ask := berylpermit.Request{Target: "m", Queue: rapid.Bool().Draw(t, "queue")}
	ask.ID = berylpermit.ID{Host: rapid.SampledFrom(worldHosts).Draw(t, "host"), Boot: 1, Seq: w.seq}
	ask.Class = berylpermit.Class(rapid.IntRange(0, 1).Draw(t, "class"))
	ask.Long = rapid.Bool().Draw(t, "long")
	ask.Remaining = time.Duration(rapid.IntRange(0, 20000).Draw(t, "remaining")) * time.Millisecond
	w.open[ask.ID] = true
	w.do(func() []Action { return w.owner().Ask(w.now, ask) })
}

// some draws one of the IDs, in their order so that a seed repeats.
func some[T any](t *rapid.T, from map[berylpermit.ID]T) (berylpermit.ID, bool) {
	ids := slices.SortedFunc(maps.Keys(from), func(a, b berylpermit.ID) int { return int(a.Seq) - int(b.Seq) })
	if len(ids) == 0 {
		return berylpermit.ID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// pass lets time go on; each holder reports every second.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickEvery)
		w.carry(w.owner().Tick(w.now))
		if w.now.Sub(time.Unix(1000, 0))%reportEvery == 0 {
			for _, host := range worldHosts {
				w.report(host)
			}
		}
	}
}

func (w *world) report(host string) {
	h := berylpermit.HeldReport{Host: host, Boot: 1}
	for _, p := range w.held {
		if p.ID.Host == host {
			h.Permits = append(h.Permits, p)
		}
	}
	w.do(func() []Action { return w.owner().Held(w.now, h) })
}

// check compares the owner's counts with its permits and looks for broken promises.
func (w *world) check() {
	for _, u := range w.owner().ups {
		online, batch, yielding, long := 0, 0, 0, 0
		for _, p := range w.owner().permits {
			switch {
			case p.up != u:
			case p.class == berylpermit.Online:
				online++
				if p.long {
					long++
				}
			case p.yielded.IsZero():
				batch++
			default:
				yielding++
			}
		}
		if online != u.online || long != u.long || batch != len(u.batch) || yielding != len(u.yielding) {
			w.t.Fatalf("%s: counts %d %d %d %d are not those of its permits", u.name, u.online, u.long, len(u.batch), len(u.yielding))
		}
		t := w.owner().targets["m"]
		if u.free()+batch > 0 && !u.health.aside && t.queues[shortOnline].len() > 0 {
			w.t.Fatalf("%s: a short online ask waits: %d slots, %d online, %d batch, %d yielding, %d overdue",
				u.name, u.health.limit(u.slots), online, batch, yielding, u.overdue)
		}
	}
}

func TestOwnerAgainstLossDoublingAndMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "asks") {
					w.ask(t)
				}
			},
			"release": func(t *rapid.T) {
				if id, ok := some(t, w.held); ok {
					w.release(id)
				}
			},
			"withdraw": func(t *rapid.T) {
				if id, ok := some(t, w.open); ok {
					delete(w.open, id)
					w.do(func() []Action { return w.owner().Withdraw(w.now, id) })
				}
			},
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tickEvery)
			},
			"move": func(*rapid.T) {
				w.carry(w.owner().Owned(w.now, nil))
				w.current = 1 - w.current
				w.carry(w.owner().Owned(w.now, worldUpstreams))
			},
			"paused": func(*rapid.T) { w.carry(w.owner().Paused(w.now)) },
			"lose": func(t *rapid.T) {
				host := rapid.SampledFrom(worldHosts).Draw(t, "host")
				maps.DeleteFunc(w.held, func(id berylpermit.ID, _ berylpermit.HeldPermit) bool { return id.Host == host })
				maps.DeleteFunc(w.open, func(id berylpermit.ID, _ bool) bool { return id.Host == host })
				w.carry(w.owner().HostGone(w.now, host, 1))
			},
		})
		clear(w.open)
		clear(w.held)
		w.pass(2 * permitLease)
		if n := len(w.owner().permits) + len(w.owner().waiting); n > 0 {
			t.Fatalf("%d permits and asks are left for ever", n)
		}
	})
}

// TestOwnerNeverOverfills lets nothing go wrong: then the slots bound what is held, but for permits told to yield.
func TestOwnerNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		held := make(map[berylpermit.ID]bool)
		step := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == ActionReply && a.Reply.Verdict == berylpermit.Granted {
					held[a.Reply.ID] = true
				}
			}
			for _, u := range w.owner().ups {
				if n := u.online + len(u.batch); n > worldSlots {
					t.Fatalf("%s has %d permits that do not yield", u.name, n)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.seq++
				step(w.owner().Ask(w.now, berylpermit.Request{
					ID:        berylpermit.ID{Host: "h1", Seq: w.seq},
					Target:    "m",
					Class:     berylpermit.Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Long:      rapid.Bool().Draw(t, "long"),
					Queue:     true,
					Remaining: time.Minute,
				}))
			},
			"release": func(t *rapid.T) {
				if id, ok := some(t, held); ok {
					delete(held, id)
					step(w.owner().Release(w.now, berylpermit.Release{ID: id}))
				}
			},
			"pass": func(*rapid.T) {
				w.now = w.now.Add(time.Second)
				step(w.owner().Tick(w.now))
			},
		})
	})
}
