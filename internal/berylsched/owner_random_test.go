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

// ownerModel simulates two owners, of which one at a time owns all upstreams, three holders and a network that loses and
// duplicates messages, on fake time.
type ownerModel struct {
	t      *rapid.T
	now    time.Time
	owners [2]Owner
	// current is the index of the present owner.
	current      int
	seq          uint64
	openRequests map[berylpermit.ID]bool
	held         map[berylpermit.ID]berylpermit.HeldPermit
	refusals     map[berylpermit.ID]int
}

var (
	modelUpstreams = []string{"u1", "u2"}
	modelHosts     = []string{"h1", "h2", "h3"}
	modelAccounts  = []string{"", "a", "b"}
)

const modelSlots = 2

// TestMain fixes the seed and size of random tests, so that every run gives the same result. Flags on the command line
// take precedence.
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

func newOwnerModel(t *rapid.T) *ownerModel {
	m := &ownerModel{t: t, now: time.Unix(1000, 0)}
	m.openRequests = make(map[berylpermit.ID]bool)
	m.held = make(map[berylpermit.ID]berylpermit.HeldPermit)
	m.refusals = make(map[berylpermit.ID]int)
	config := Config{LongShare: 0.5}
	for _, name := range modelUpstreams {
		config.Upstreams = append(config.Upstreams, Upstream{Name: name, Slots: modelSlots, Targets: []string{"m"}})
	}
	paced := rapid.Bool().Draw(t, "paced")
	for i := range m.owners {
		m.owners[i].AdaptivePace = paced
		m.owners[i].Configure(m.now, config)
	}
	m.owners[0].SetOwned(m.now, modelUpstreams)
	return m
}

func (m *ownerModel) owner() *Owner {
	return &m.owners[m.current]
}

// lost draws whether the network loses a message, at one in ten.
func (m *ownerModel) lost() bool {
	return rapid.IntRange(0, 9).Draw(m.t, "lost") == 0
}

// deliver delivers a message to the owner: not at all, once or twice.
func (m *ownerModel) deliver(event func() []Action) {
	for range []int{0, 1, 1, 1, 1, 2}[rapid.IntRange(0, 5).Draw(m.t, "copies")] {
		m.apply(event())
	}
}

// apply carries out the owner's actions, of which yields may be lost, and checks the invariants.
func (m *ownerModel) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind == ActionYield {
			if !m.lost() {
				m.release(a.Yield.ID)
			}
			continue
		}
		m.checkReply(a.Reply)
	}
	m.checkInvariants()
}

// checkReply checks that a request is answered only once, apart from repeats of its grant, and records a grant that is
// not lost with its holder.
func (m *ownerModel) checkReply(r berylpermit.Reply) {
	if r.Verdict != berylpermit.Granted {
		if m.refusals[r.ID]++; m.refusals[r.ID] > 1 && m.openRequests[r.ID] {
			m.t.Fatalf("%v answered %d times", r.ID, m.refusals[r.ID])
		}
		delete(m.openRequests, r.ID)
		return
	}
	if m.lost() || !m.openRequests[r.ID] {
		return
	}
	p := m.owner().permits[r.ID]
	m.held[r.ID] = berylpermit.HeldPermit{ID: r.ID, Upstream: r.Upstream, Class: p.class, Long: p.long, Account: p.account.name}
	delete(m.openRequests, r.ID)
}

func (m *ownerModel) release(id berylpermit.ID) {
	if _, ok := m.held[id]; !ok {
		return
	}
	delete(m.held, id)
	fault := rapid.IntRange(0, 9).Draw(m.t, "fault") == 0
	report := berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: 50 * time.Millisecond, Fault: fault}
	m.deliver(func() []Action { return m.owner().Release(m.now, berylpermit.Release{ID: id, Report: report}) })
}

func (m *ownerModel) sendRequest(t *rapid.T) {
	m.seq++
	req := berylpermit.Request{Target: "m", Queue: rapid.Bool().Draw(t, "queue")}
	req.ID = berylpermit.ID{Host: rapid.SampledFrom(modelHosts).Draw(t, "host"), Boot: 1, Seq: m.seq}
	req.Class = berylpermit.Class(rapid.IntRange(0, 1).Draw(t, "class"))
	req.Long = rapid.Bool().Draw(t, "long")
	req.Account = rapid.SampledFrom(modelAccounts).Draw(t, "account")
	req.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
	req.Tokens = rapid.IntRange(-1, 300).Draw(t, "tokens")
	req.Remaining = time.Duration(rapid.IntRange(0, 20000).Draw(t, "remaining")) * time.Millisecond
	m.openRequests[req.ID] = true
	m.deliver(func() []Action { return m.owner().Request(m.now, req) })
}

// pickID draws one of the IDs. They are sorted first, so that a run can be repeated by its seed.
func pickID[T any](t *rapid.T, from map[berylpermit.ID]T) (berylpermit.ID, bool) {
	ids := slices.SortedFunc(maps.Keys(from), func(a, b berylpermit.ID) int { return int(a.Seq) - int(b.Seq) })
	if len(ids) == 0 {
		return berylpermit.ID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// advance lets time pass; each holder reports its permits every reportInterval.
func (m *ownerModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(tickInterval)
		m.apply(m.owner().Tick(m.now))
		if m.now.Sub(time.Unix(1000, 0))%reportInterval == 0 {
			for _, host := range modelHosts {
				m.sendHeldReport(host)
			}
		}
	}
}

func (m *ownerModel) sendHeldReport(host string) {
	h := berylpermit.HeldReport{Host: host, Boot: 1}
	for _, p := range m.held {
		if p.ID.Host == host {
			h.Permits = append(h.Permits, p)
		}
	}
	m.deliver(func() []Action { return m.owner().ReconcileHeld(m.now, h) })
}

// checkInvariants compares the owner's counts with its permits, and checks that no short online request waits while a
// slot is free or used by batch work.
func (m *ownerModel) checkInvariants() {
	for _, u := range m.owner().sortedUpstreams {
		online, batch, yielding, long := 0, 0, 0, 0
		for _, p := range m.owner().permits {
			switch {
			case p.upstream != u:
			case p.class == berylpermit.Online:
				online++
				if p.long {
					long++
				}
			case p.yieldedAt.IsZero():
				batch++
			default:
				yielding++
			}
		}
		if online != u.online || long != u.long || batch != len(u.batch) || yielding != len(u.yielding) {
			m.t.Fatalf("%s: counts of online %d, long %d, batch %d, yielding %d differ from its permits", u.name, u.online, u.long, len(u.batch), len(u.yielding))
		}
		t := m.owner().targets["m"]
		m.checkFairness(t)
		if u.freeSlots()+batch > 0 && !u.health.ejected && t.queues[shortOnline].len() > 0 {
			m.t.Fatalf("%s: a short online request waits: %d slots, %d online, %d batch, %d yielding, %d overdue",
				u.name, u.health.effectiveSlots(u.slots), online, batch, yielding, u.overdue)
		}
	}
}

func TestOwnerAgainstLossDoublingAndMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "asks") {
					m.sendRequest(t)
				}
			},
			"release": func(t *rapid.T) {
				if id, ok := pickID(t, m.held); ok {
					m.release(id)
				}
			},
			"withdraw": func(t *rapid.T) {
				if id, ok := pickID(t, m.openRequests); ok {
					delete(m.openRequests, id)
					m.deliver(func() []Action { return m.owner().Withdraw(m.now, id) })
				}
			},
			"pass": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tickInterval)
			},
			"move": func(*rapid.T) {
				m.apply(m.owner().SetOwned(m.now, nil))
				m.current = 1 - m.current
				m.apply(m.owner().SetOwned(m.now, modelUpstreams))
			},
			"paused": func(*rapid.T) { m.apply(m.owner().RecoverFromPause(m.now)) },
			"lose": func(t *rapid.T) {
				host := rapid.SampledFrom(modelHosts).Draw(t, "host")
				maps.DeleteFunc(m.held, func(id berylpermit.ID, _ berylpermit.HeldPermit) bool { return id.Host == host })
				maps.DeleteFunc(m.openRequests, func(id berylpermit.ID, _ bool) bool { return id.Host == host })
				m.apply(m.owner().RemoveHost(m.now, host, 1))
			},
		})
		clear(m.openRequests)
		clear(m.held)
		m.advance(2 * permitLease)
		if n := len(m.owner().permits) + len(m.owner().waiting); n > 0 {
			t.Fatalf("%d permits and requests are never freed", n)
		}
	})
}

// TestOwnerNeverOverfills checks that without faults an upstream never has more permits than slots, apart from permits
// told to yield.
func TestOwnerNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerModel(t)
		held := make(map[berylpermit.ID]bool)
		step := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == ActionReply && a.Reply.Verdict == berylpermit.Granted {
					held[a.Reply.ID] = true
				}
			}
			for _, u := range m.owner().sortedUpstreams {
				if n := u.online + len(u.batch); n > modelSlots {
					t.Fatalf("%s has %d permits that were not told to yield, more than its slots", u.name, n)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m.seq++
				step(m.owner().Request(m.now, berylpermit.Request{
					ID:        berylpermit.ID{Host: "h1", Seq: m.seq},
					Target:    "m",
					Class:     berylpermit.Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Long:      rapid.Bool().Draw(t, "long"),
					Queue:     true,
					Account:   rapid.SampledFrom(modelAccounts).Draw(t, "account"),
					Remaining: time.Minute,
				}))
			},
			"release": func(t *rapid.T) {
				if id, ok := pickID(t, held); ok {
					delete(held, id)
					step(m.owner().Release(m.now, berylpermit.Release{ID: id}))
				}
			},
			"pass": func(*rapid.T) {
				m.now = m.now.Add(time.Second)
				step(m.owner().Tick(m.now))
			},
		})
	})
}
