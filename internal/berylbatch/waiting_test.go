package berylbatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// guardTest is a cluster whose route r allows 100 waiting tokens. No item runs.
type guardTest struct {
	*testCluster
	*is.I
	ctx context.Context
}

func runGuardTest(t *testing.T, f func(g *guardTest)) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 0)
		cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxWaitingTokens: 100})
		f(&guardTest{cluster, is, ctx})
	})
}

// lagging adds a host that does not see the records of the others.
func (g *guardTest) lagging(name string) *Manager {
	m := New(Config{
		Host: name, Boot: 1, Store: &g.store, Permits: g, Upstreams: &g.upstreams, Client: &g.upstream, Routes: &g.routes,
		Members: &testMembers{g.testCluster, name}, Peers: g, Lease: g.lease(g.ctx), Log: discardLog(),
	})
	g.alive[name], g.hosts[name] = 1, m
	return m
}

// submit sends a job of one item and returns the refusal's status, or 202.
func (g *guardTest) submit(m *Manager, id, account string, tokens int64) int {
	s := g.submission(id, 1)
	s.Account, s.Items[0].Tokens = account, tokens
	return statusOf(m.Submit(g.ctx, s))
}

func statusOf(refusal *beryloutcome.Refusal) int {
	if refusal == nil {
		return http.StatusAccepted
	}
	return refusal.Status
}

// failFirst applies a fault to the first acceptance of a job.
func (g *guardTest) failFirst(job string, fault berylfake.MemoryStoreFault) {
	g.store.SetFault(func(call, key string) berylfake.MemoryStoreFault {
		if call != "commit" || key != recordKey(job) {
			return berylfake.StoreHealthy
		}
		defer func() { fault = berylfake.StoreHealthy }()
		return fault
	})
}

func (g *guardTest) commits() int { return g.store.Calls()["commit"] }

func (g *guardTest) put(key string, value []byte) {
	g.store.Commit(g.ctx, berylstore.Txn{Puts: []berylstore.Put{{Key: key, Value: value}}})
}

func (g *guardTest) guard(account string) (jobs []string) {
	item, _, err := g.store.Get(g.ctx, guardKey("r", account))
	g.NoErr(err)
	stored, err := decode[guard](item.Value)
	g.NoErr(err)
	for _, e := range stored.Jobs {
		jobs = append(jobs, e.ID)
	}
	return jobs
}

// Guards against more waiting tokens than the limit, against the refusal of jobs that fit, and against more transactions than one for
// a job and one for a conflict.
func TestGuardOfWaitingTokens(t *testing.T) {
	for name, f := range map[string]func(g *guardTest){
		"one transaction a job at one host": func(g *guardTest) {
			a := g.lagging("a")
			for i := range 10 {
				g.Equal(g.submit(a, fmt.Sprint("j", i), "x", 10), 202)
			}
			g.Equal(g.commits(), 10)
			g.Equal(g.submit(a, "k", "x", 1), 429)
			g.Equal(g.submit(a, "k", "y", 100), 202) // another account has its own limit
		},
		"one transaction a job at hosts that have the records": func(g *guardTest) {
			for _, name := range []string{"a", "b", "c"} {
				g.startHost(g.ctx, name, 1)
			}
			time.Sleep(2 * time.Second) // each host has written its progress, which is empty
			before := g.commits()
			for i := range 9 {
				g.Equal(g.submit(g.hosts[string("abc"[i%3])], fmt.Sprint("j", i), "x", 10), 202)
				time.Sleep(3 * time.Second)
			}
			g.Equal(g.commits()-before, 9)
			g.Equal(len(g.guard("x")), 9)
		},
		"one more after a conflict": func(g *guardTest) {
			a, b := g.lagging("a"), g.lagging("b")
			g.Equal(g.submit(a, "j", "x", 60), 202)
			g.Equal(g.submit(b, "k", "x", 40), 202)
			g.Equal(g.commits(), 3)
			g.Equal(g.submit(a, "l", "x", 1), 429)
		},
		"at once at one host": func(g *guardTest) {
			a := g.lagging("a")
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() { g.Equal(g.submit(a, fmt.Sprint("j", i), "x", 10), 202) })
			}
			group.Wait()
			g.Equal(g.commits(), 10)
		},
		"conflicts in quick succession": func(g *guardTest) {
			var group sync.WaitGroup
			for i := range 10 {
				m := g.lagging(fmt.Sprint("h", i))
				group.Go(func() { g.Equal(g.submit(m, fmt.Sprint("j", i), "x", 10), 202) })
			}
			group.Wait()
			g.Equal(len(g.guard("x")), 10)
		},
		"an attempt that is overtaken by another job can't take effect late": func(g *guardTest) {
			a, b := g.lagging("a"), g.lagging("b")
			g.failFirst("j", berylfake.StoreDelaysCall)
			go func() {
				time.Sleep(50 * time.Millisecond)
				g.Equal(g.submit(b, "k", "x", 60), 202)
			}()
			g.Equal(g.submit(a, "j", "x", 60), 429)
			g.store.ApplyDelayed()
			_, found, err := g.store.Get(g.ctx, recordKey("j"))
			g.NoErr(err)
			g.True(!found) // the refusal was true
		},
		"lost answer, then another job": func(g *guardTest) {
			a, b := g.lagging("a"), g.lagging("b")
			g.failFirst("j", berylfake.StoreLosesAnswer)
			go func() {
				time.Sleep(50 * time.Millisecond)
				g.Equal(g.submit(b, "k", "x", 60), 429)
				g.Equal(g.submit(b, "j", "x", 60), 202) // the guard tells that the job is accepted
			}()
			g.Equal(g.submit(a, "j", "x", 60), 202)
			g.Equal(g.guard("x"), []string{"j"})
		},
		"sent again after its host was lost, whose jobs count whole": func(g *guardTest) {
			a, b := g.lagging("a"), g.lagging("b")
			g.Equal(g.submit(a, "k", "x", 90), 202)
			g.Equal(g.submit(b, "l", "x", 50), 429) // b knows of k now
			a.mu.Lock()
			a.finishItem(a.jobs["k"].items[0], Completed)
			a.mu.Unlock()
			g.Equal(g.submit(a, "j", "x", 90), 202)
			delete(g.alive, "a")
			time.Sleep(waitingReportTTL)
			g.Equal(g.submit(b, "j", "x", 90), 202)
			g.Equal(g.submit(b, "l", "x", 50), 429)
		},
		"renamed, a host has the older configuration": func(g *guardTest) {
			a, b := g.lagging("a"), g.lagging("b")
			old := g.routes.Get()
			route := old.Routes[0]
			route.Name = "r-2"
			b.Routes = &berylroute.CurrentConfig{}
			b.Routes.Install(old)
			a.mu.Lock()
			a.observeConfig()
			a.mu.Unlock()
			g.Equal(g.submit(b, "j", "x", 60), 202)
			g.routes.Install(&berylroute.Config{Version: old.Version + 1, Routes: []berylroute.Route{route}})
			s := g.submission("k", 1)
			s.Account = "x"
			s.Items[0].Tokens = 60
			g.Equal(statusOf(a.Submit(g.ctx, s)), 429) // it counts what b has accepted under the former name
			s.Items[0].Tokens = 30
			g.Equal(statusOf(a.Submit(g.ctx, s)), 202)
			s = g.submission("l", 1)
			s.Account, s.Route = "x", &old.Routes[0]
			s.Items[0].Tokens = 30
			g.Equal(statusOf(b.Submit(g.ctx, s)), 429) // and b what a has accepted under the new one
		},
		"a guard that can't be decoded is left alone": func(g *guardTest) {
			a := g.lagging("a")
			g.put(guardKey("r", "x"), []byte("damaged"))
			for range 2 {
				g.Equal(g.submit(a, "j", "x", 10), 503)
			}
			item, _, _ := g.store.Get(g.ctx, guardKey("r", "x"))
			g.Equal(string(item.Value), "damaged")
			g.Equal(g.submit(a, "j", "y", 10), 202)
		},
		"jobs of builds without guards": func(g *guardTest) {
			a, _ := g.startHost(g.ctx, "a", 1)
			time.Sleep(time.Millisecond)
			record := Record{Owner: "old", Boot: 1, Route: "r", Host: "h", Path: "/jobs/o", Total: 1, Tokens: 60, Submitted: time.Now().UnixMilli(), Account: "x"}
			g.alive["old"] = 1 // it does not answer for its jobs
			g.hosts["old"] = g.lagging("old")
			g.put(recordKey("o"), encode(&record))
			time.Sleep(3 * time.Second)
			g.Equal(g.submit(a, "j", "x", 60), 429)
			g.Equal(g.submit(a, "j", "x", 40), 202)
		},
		"clocks of hosts differ": func(g *guardTest) {
			a, now := g.lagging("a"), time.Now().UnixMilli()
			g.put(guardKey("r", "x"), encode(guard{Jobs: []guardEntry{
				{ID: "ahead", Tokens: 30, Accepted: now + 7000}, {ID: "behind", Tokens: 30, Accepted: now - 7000}, {ID: "old", Tokens: 90, Accepted: now - 61_000},
			}}))
			g.Equal(g.submit(a, "j", "x", 50), 429)
			g.Equal(g.submit(a, "j", "x", 40), 202)
			g.Equal(len(g.guard("x")), 3) // the old entry is dropped
		},
		"a guard stays bounded": func(g *guardTest) {
			a := g.lagging("a")
			var full guard
			for i := range maxGuardEntries {
				full.Jobs = append(full.Jobs, guardEntry{ID: fmt.Sprint("j", i), Accepted: time.Now().UnixMilli()})
			}
			g.put(guardKey("r", "x"), encode(full))
			g.Equal(g.submit(a, "k", "x", 50), 202)
			g.Equal(len(g.guard("x")), maxGuardEntries)
			g.Equal(g.submit(g.lagging("b"), "l", "x", 60), 429)
		},
		"without accounts all callers count": func(g *guardTest) {
			a := g.lagging("a")
			g.Equal(g.submit(a, "j", "", 60), 202)
			g.Equal(g.submit(g.lagging("b"), "k", "", 60), 429)
		},
	} {
		t.Run(name, func(t *testing.T) { runGuardTest(t, f) })
	}
}

// silentPeers answers like a host of a build that does not know the question for waiting tokens, or not at all.
type silentPeers struct{ answers bool }

func (p silentPeers) ReadJob(ctx context.Context, _ string, _ ReadRequest) (ReadReply, error) {
	if p.answers {
		return ReadReply{}, nil
	}
	<-ctx.Done()
	return ReadReply{}, ctx.Err()
}

// Guards against the refusal of a job that fits because items that have a result still count.
func TestOwnersAreAskedBeforeARefusal(t *testing.T) {
	for _, tt := range []struct {
		name    string
		peers   Peers
		follows bool // whether the host has the job's record
		ended   int
		want    int
	}{
		{"items that have ended", nil, true, 2, 202},
		{"items that have ended, of a job known from the guard", nil, false, 2, 202},
		{"no item has ended", nil, false, 0, 429},
		{"an owner of an older build", silentPeers{true}, true, 3, 429},
		{"an owner that does not answer", silentPeers{false}, false, 3, 429},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runGuardTest(t, func(g *guardTest) {
				a, b := g.lagging("a"), g.lagging("b")
				if tt.follows {
					b, _ = g.startHost(g.ctx, "b", 1)
				}
				if tt.peers != nil {
					b.Peers = tt.peers
				}
				j := g.submission("j", 3)
				j.Account = "x"
				setTokens(j.Items, 90)
				g.Equal(a.Submit(g.ctx, j), nil)
				a.mu.Lock()
				for _, it := range a.jobs["j"].items[:tt.ended] {
					a.finishItem(it, Completed) // has a result that is not committed
				}
				a.mu.Unlock()
				time.Sleep(3 * time.Second)
				began := time.Now()
				g.Equal(g.submit(b, "k", "x", 50), tt.want)
				g.True(time.Since(began) <= waitingReadTimeout)
			})
		})
	}
}

// submitStep is one submission of the randomized test.
type submitStep struct {
	host, account int
	tokens        int64
	pause         time.Duration
	fault         berylfake.MemoryStoreFault
}

// Guards against sequences of submissions, ends of items and faults of the store after which more tokens wait than the limit and a
// tenth, a job is refused that fits by what was known a second before, or a refused job is stored.
func TestWaitingTokensAtRandom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) submitStep {
			return submitStep{
				host: rapid.IntRange(0, 2).Draw(r, "host"), account: rapid.IntRange(0, 1).Draw(r, "account"),
				tokens: rapid.Int64Range(1, 60).Draw(r, "tokens"),
				pause:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 40, 300, 1500}).Draw(r, "ms")) * time.Millisecond,
				fault: rapid.SampledFrom([]berylfake.MemoryStoreFault{berylfake.StoreHealthy, berylfake.StoreHealthy, berylfake.StoreHealthy,
					berylfake.StoreLosesAnswer, berylfake.StoreLosesCall, berylfake.StoreDelaysCall, berylfake.StoreRefuses}).Draw(r, "fault"),
			}
		}), 1, 40).Draw(r, "steps")
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = playSubmissions(t, steps) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// playSubmissions plays steps and returns the first violation.
func playSubmissions(t *testing.T, steps []submitStep) (failure string) {
	_, ctx, cluster := setUp(t, 2)
	cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3, MaxWaitingTokens: 100})
	for i := range 3 {
		cluster.startHost(ctx, fmt.Sprint("h", i), 1)
	}
	var mu sync.Mutex
	type sample struct {
		at      time.Time
		waiting map[string]int64
	}
	var history []sample
	var refused []string
	tokens, ids := make(map[string]int64), [2][]string{} // of the jobs that were sent
	stored := func(id string) bool {
		_, found, _ := cluster.store.Get(ctx, recordKey(id))
		return found
	}
	waiting := func(id string) int64 { // what the hosts know of a job
		sum := tokens[id]
		for _, m := range cluster.hosts {
			if w, known := m.waitingOf([]string{id})[id]; known {
				sum = min(sum, w)
			}
		}
		return sum
	}
	go func() {
		for ctx.Err() == nil {
			mu.Lock()
			now := sample{time.Now(), make(map[string]int64)}
			for id := range tokens {
				now.waiting[id] = waiting(id)
			}
			history = append(history, now)
			mu.Unlock()
			pause(ctx, 20*time.Millisecond)
		}
	}()
	submit := func(i int, step submitStep) {
		id, account := fmt.Sprint("j", i), step.account
		s := cluster.submission(id, 2)
		s.Account = fmt.Sprint("account-", account)
		setTokens(s.Items, 2*step.tokens)
		mu.Lock()
		tokens[id] = 2 * step.tokens
		ids[account] = append(ids[account], id)
		mu.Unlock()
		status := statusOf(cluster.hosts[fmt.Sprint("h", step.host)].Submit(ctx, s))
		mu.Lock()
		defer mu.Unlock()
		known, now := int64(0), int64(0) // what waited by what was known a second before, and what waits now
		for _, other := range ids[account] {
			if !stored(other) {
				continue
			}
			before := tokens[other]
			for _, h := range history {
				if w, seen := h.waiting[other]; seen && h.at.Before(time.Now().Add(-time.Second)) {
					before = w
				}
			}
			known += before
			now += waiting(other)
		}
		if status == http.StatusTooManyRequests && known+tokens[id] <= 100 {
			failure = fmt.Sprintf("%s was refused, though %d of 100 tokens would have waited", id, known+tokens[id])
		}
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			refused = append(refused, id)
		}
		if status == http.StatusAccepted && now > 110 {
			failure = fmt.Sprintf("%d tokens wait after %s", now, id)
		}
	}
	var group sync.WaitGroup
	for i, step := range steps {
		time.Sleep(step.pause)
		if step.fault != berylfake.StoreHealthy {
			faulty := true
			cluster.store.SetFault(func(call, _ string) berylfake.MemoryStoreFault {
				if call != "commit" || !faulty {
					return berylfake.StoreHealthy
				}
				faulty = false
				return step.fault
			})
		}
		group.Go(func() { submit(i, step) })
		if i%5 == 4 {
			cluster.store.ApplyDelayed()
		}
	}
	group.Wait()
	cluster.store.ApplyDelayed()
	for _, id := range refused {
		if stored(id) {
			failure = id + " was refused, but is stored"
		}
	}
	return failure
}
