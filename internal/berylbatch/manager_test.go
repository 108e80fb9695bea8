package berylbatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

func TestJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 7)), nil)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, cluster.submission("j", 7)), nil) // submitting the same job again at another host succeeds and runs nothing twice
		for _, m := range []*Manager{a, b} {
			for id, r := range readAll(t, m, "j", 7, 5*time.Second) {
				is.Equal(r.State, Completed)
				is.Equal(string(r.Text), eventText(id, 20))
				is.Equal(cluster.upstream.callsOf(id), 1)
			}
		}
		body, refusal := b.ItemBody(ctx, "", "j", "j-3")
		is.Equal(refusal, nil)
		is.Equal(string(body), "body")
		_, refusal = b.Read(ctx, "", "other", 0, 0)
		is.Equal(refusal.Status, http.StatusNotFound)
	})
}

func TestAcceptanceWhoseAnswerIsLost(t *testing.T) {
	for _, tt := range []struct {
		name    string
		faults  []berylfake.MemoryStoreFault
		refused int // HTTP status of the expected refusal, or zero
		runs    bool
	}{
		{"answer lost", []berylfake.MemoryStoreFault{berylfake.StoreLosesAnswer}, 0, true},
		{"call lost", []berylfake.MemoryStoreFault{berylfake.StoreLosesCall}, 0, true},
		{"refused", []berylfake.MemoryStoreFault{berylfake.StoreRefuses}, http.StatusServiceUnavailable, false},
		{"answer lost, then refused, then well", []berylfake.MemoryStoreFault{berylfake.StoreLosesAnswer, berylfake.StoreRefuses}, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 4)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				next := 0
				cluster.store.SetFault(func(call, _ string) berylfake.MemoryStoreFault {
					if call != "commit" || next >= len(tt.faults) {
						return berylfake.StoreHealthy
					}
					next++
					return tt.faults[next-1]
				})
				refusal := a.Submit(ctx, cluster.submission("j", 3))
				if tt.refused != 0 {
					is.Equal(refusal.Status, tt.refused)
				} else {
					is.Equal(refusal, nil)
				}
				time.Sleep(5 * time.Second)
				is.Equal(cluster.upstream.callsOf("j-0") > 0, tt.runs)
				if tt.runs {
					readAll(t, a, "j", 3, time.Second)
				}
			})
		})
	}
}

// A host must not answer that a job was not accepted while an earlier write of the job may still take effect. Here the
// first write takes effect late, after all retries were refused.
func TestLateAcceptanceIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		first := true
		cluster.store.SetFault(func(call, _ string) berylfake.MemoryStoreFault {
			switch {
			case call != "commit":
				return berylfake.StoreHealthy
			case first:
				first = false
				return berylfake.StoreDelaysCall
			default:
				return berylfake.StoreRefuses
			}
		})
		bounded, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		refusal := a.Submit(bounded, cluster.submission("j", 2))
		is.Equal(refusal.Status, http.StatusGatewayTimeout)
		cluster.store.SetFault(nil)
		cluster.store.ApplyDelayed()
		readAll(t, a, "j", 2, 8*time.Second) // the late write took effect, so the job runs
	})
}

func TestJobOfADeadHostIsAdopted(t *testing.T) {
	for _, tt := range []struct {
		name string
		// restart starts the host again with another boot number.
		restart bool
	}{{"gone for good", false}, {"restarted", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, kill := cluster.startHost(ctx, "a", 1)
				b, _ := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 10)), nil)
				time.Sleep(900 * time.Millisecond) // by now some results are committed, some are finished but not committed, and some items are in flight
				kill()
				if tt.restart {
					time.Sleep(100 * time.Millisecond)
					cluster.startHost(ctx, "a", 2)
				}
				for id, r := range readAll(t, b, "j", 10, 10*time.Second) {
					is.Equal(string(r.Text), eventText(id, 20))
				}
			})
		})
	}
}

// A partitioned host that others believe to be down keeps running its items for a while. The results of these items must
// not be committed a second time.
func TestFencedHostCommitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		cluster.upstream.events = 200 // the items run on when a counts as down
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 12)), nil)
		time.Sleep(adoptedOwnerGrace + 200*time.Millisecond)
		cluster.mu.Lock()
		delete(cluster.alive, "a") // the other hosts believe that a is down
		cluster.mu.Unlock()
		results := readAll(t, b, "j", 12, 20*time.Second)
		is.Equal(len(results), 12)
		is.Equal(cluster.adoptions(ctx, is, "j"), 1)
		time.Sleep(2 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.jobs["j"].isRunningHere(), false)
	})
}

func TestCommitWhoseAnswerIsLost(t *testing.T) {
	for _, fault := range []berylfake.MemoryStoreFault{berylfake.StoreLosesAnswer, berylfake.StoreLosesCall, berylfake.StoreRefuses, berylfake.StoreDelaysCall} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 8)), nil)
				n := 0
				cluster.store.SetFault(func(call, _ string) berylfake.MemoryStoreFault {
					n++
					if call == "commit" && n%2 == 0 {
						return fault
					}
					return berylfake.StoreHealthy
				})
				time.AfterFunc(1500*time.Millisecond, cluster.store.ApplyDelayed)
				readAll(t, a, "j", 8, 15*time.Second)
			})
		})
	}
}

func TestYieldedItemResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
		time.Sleep(105 * time.Millisecond)
		cluster.yieldAll()
		results := readAll(t, a, "j", 1, 5*time.Second)
		is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
		is.Equal(len(cluster.upstream.resumed["j-0"]), 1)
		is.True(cluster.upstream.resumed["j-0"][0] >= 9) // the call resumes after the events received before
	})
}

func TestItemsThatFail(t *testing.T) {
	for _, tt := range []struct {
		status, runs int
	}{{http.StatusUnprocessableEntity, 1}, {http.StatusInternalServerError, 3}} {
		t.Run(fmt.Sprint(tt.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 4)
				cluster.upstream.status = func(id string) int {
					if id == "j-1" {
						return tt.status
					}
					return http.StatusOK
				}
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 3)), nil)
				results := readAll(t, a, "j", 3, 10*time.Second)
				is.Equal(results["j-1"].State, Abandoned)
				is.Equal(results["j-0"].State, Completed)
				is.Equal(cluster.upstream.callsOf("j-1"), tt.runs)
			})
		})
	}
}

// Guards against an item whose stream ends with its connection within an event being listed as whole.
func TestItemStreamThatEndsWithinAnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		cluster.upstream.firstBody = func(context.Context) io.Reader { return strings.NewReader("id: 1\ndata: j-0 1\n\nid: 2\ndata: j-") }
		m, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Second)
		is.Equal(m.Submit(ctx, cluster.submission("j", 1)), nil)
		results := readAll(t, m, "j", 1, 10*time.Second)
		is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
		is.Equal(cluster.upstream.resumed["j-0"], []int64{1})
	})
}

func TestCancelledJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 50)), nil)
		time.Sleep(time.Second)
		is.Equal(b.Cancel(ctx, "", "j"), nil)
		is.Equal(b.Cancel(ctx, "", "j"), nil) // a repeated cancellation succeeds too
		time.Sleep(time.Second)
		cluster.upstream.mu.Lock()
		runs := len(cluster.upstream.calls)
		cluster.upstream.mu.Unlock()
		time.Sleep(5 * time.Second)
		cluster.upstream.mu.Lock()
		defer cluster.upstream.mu.Unlock()
		is.Equal(len(cluster.upstream.calls), runs)
	})
}

func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3, MaxWaitingTokens: 1000})
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 9)), nil)
		time.Sleep(time.Second)
		refusal := b.Submit(ctx, cluster.submission("k", 7)) // the limit counts the jobs of all hosts: 400 or 500 tokens still wait
		is.Equal(refusal.Status, http.StatusTooManyRequests)
		readAll(t, a, "j", 9, 10*time.Second)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, cluster.submission("k", 7)), nil)
	})
}

func TestUnreachableStoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.store.SetFault(func(string, string) berylfake.MemoryStoreFault { return berylfake.StoreLosesCall })
		a, _ := cluster.startHost(ctx, "a", 1)
		_, refusal := a.Read(ctx, "", "j", 0, 0)
		is.Equal(refusal.Status, http.StatusServiceUnavailable)
		is.Equal(a.Cancel(ctx, "", "j").Status, http.StatusServiceUnavailable)
	})
}

// A planned stop releases the host's jobs, so that other hosts adopt them without having to detect that it is down.
func TestPlannedStopGivesJobsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 2)
		m := New(Config{
			Host: "z", Boot: 1, Store: &cluster.store, Permits: cluster, Upstreams: &cluster.upstreams, Client: &cluster.upstream, Routes: &cluster.routes,
			Members: &testMembers{cluster, "z"}, Peers: cluster, Lease: cluster.lease(ctx), Retention: 2 * time.Minute, Log: discardLog(),
		})
		cluster.mu.Lock()
		cluster.alive["z"], cluster.hosts["z"] = 1, m
		cluster.mu.Unlock()
		stopping, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); m.Run(stopping) }()
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(m.Submit(ctx, cluster.submission("j", 10)), nil)
		time.Sleep(500 * time.Millisecond)
		m.Drain()
		is.Equal(m.Submit(ctx, cluster.submission("k", 2)), nil) // a draining host accepts the job, for another host to run
		time.Sleep(300 * time.Millisecond)
		stop()
		<-ended
		readAll(t, b, "j", 10, 5*time.Second)
		readAll(t, b, "k", 2, 5*time.Second)
	})
}

// A draining host must not adopt jobs during a rolling restart, since it would have to release them a moment later.
func TestLeavingHostAdoptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 2)
		z, kill := cluster.startHost(ctx, "z", 1)
		a, _ := cluster.startHost(ctx, "a", 1) // ranks first by its name, so it would adopt the job if it were not draining
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(z.Submit(ctx, cluster.submission("j", 10)), nil)
		time.Sleep(500 * time.Millisecond)
		a.Drain()
		kill()
		readAll(t, b, "j", 10, 8*time.Second)
		item, _, err := cluster.store.Get(ctx, recordKey("j"))
		is.NoErr(err)
		record, err := decode[Record](item.Value)
		is.NoErr(err)
		is.Equal(record.Owner, "b")
		is.Equal(record.Adoptions, 1)
	})
}

// Jobs arrive faster than the upstreams can run them. Jobs that can still complete by their due time must not wait for
// jobs that can't.
func TestJobFloodBeyondCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.installRoute(berylroute.Route{CompletionTarget: 2 * time.Second, Retention: time.Minute, MaxAttempts: 3})
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("flood", 30)), nil) // 30 items of 200 ms each on one slot take 6 s, beyond the completion target of 2 s
		time.Sleep(time.Second)
		is.Equal(a.Submit(ctx, cluster.submission("small", 4)), nil)
		began := time.Now()
		readAll(t, a, "small", 4, 10*time.Second)
		is.True(time.Since(began) <= 2500*time.Millisecond) // the completion target of 2 s plus the delay of the commit
		readAll(t, a, "flood", 30, 20*time.Second)
	})
}

// A host that was frozen resumes with finished items, collects them for a commit and only then learns that the job has
// another owner. The commit must fail, because its results would take positions where the new owner commits others.
func TestCommitBegunBeforeTheJobWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(1)
		m := New(Config{Host: "a", Boot: 1, Store: &cluster.store, Routes: &cluster.routes, Upstreams: &cluster.upstreams, Members: &testMembers{cluster, "a"}, Peers: cluster, Log: discardLog()})
		is.Equal(m.Submit(t.Context(), cluster.submission("j", 2)), nil)
		m.mu.Lock()
		j := m.jobs["j"]
		j.items[0].text = []byte("done")
		j.finish(j.items[0], Completed)
		record, revision := j.record, j.revision
		m.mu.Unlock()
		segments := m.nextSegments()
		record.Owner = "b"
		value := encode(&record)
		takeover := cluster.store.Commit(t.Context(), berylstore.Txn{Checks: []berylstore.Check{{Key: recordKey("j"), Revision: revision}}, Puts: []berylstore.Put{{Key: recordKey("j"), Value: value}}})
		m.apply([]berylstore.Event{{Item: berylstore.Item{Key: recordKey("j"), Value: value, Revision: takeover.Revision}}}, takeover.Revision)
		m.commitSegments(t.Context(), segments)
		page, err := cluster.store.List(t.Context(), jobSegmentPrefix("j"), "")
		is.NoErr(err)
		is.Equal(len(page.Items), 0)
	})
}

// When the host of a long-running item is lost, another host must resume the item near the last event received instead of
// starting over.
func TestProgressSurvivesHostLoss(t *testing.T) {
	for _, tt := range []struct {
		name           string
		planned        bool
		maxRegenerated int64 // maximum number of events that are generated again
	}{{"killed", false, 160}, {"stopped as planned", true, 10}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				cluster.upstream.events = 600 // at 10 ms each: an item takes 6 s and is in flight when its host is lost
				a, kill := cluster.startHost(ctx, "a", 1)
				b, _ := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 2)), nil)
				time.Sleep(4 * time.Second)
				kill()
				if tt.planned {
					time.Sleep(time.Millisecond)
					a.releaseJobs(true)
				}
				for id, r := range readAll(t, b, "j", 2, 12*time.Second) {
					is.Equal(string(r.Text), eventText(id, 600))
					is.Equal(len(cluster.upstream.resumed[id]), 1)
					is.True(cluster.upstream.resumed[id][0] >= 399-tt.maxRegenerated)
				}
			})
		})
	}
}
