package berylbatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// eventGap is the time between two events of the engine in these tests.
const eventGap = 10 * time.Millisecond

// testCluster is what several hosts share in these tests.
type testCluster struct {
	store    berylfake.MemoryStore
	fleet    berylroute.Registry
	routes   berylroute.CurrentConfig
	upstream fakeUpstream
	slots    chan struct{}

	mu    sync.Mutex
	alive map[string]uint64
	hosts map[string]*Manager
	// permits holds the permits in use.
	permits map[*berylpermit.Permit]chan struct{}
}

func newTestCluster(slots int) *testCluster {
	cluster := &testCluster{slots: make(chan struct{}, slots), alive: make(map[string]uint64), hosts: make(map[string]*Manager), permits: make(map[*berylpermit.Permit]chan struct{})}
	cluster.fleet.Log = discardLog()
	cluster.fleet.Put(berylroute.Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:1", Slots: slots})
	cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3})
	cluster.upstream.events = 20
	return cluster
}

// setUp returns what most tests start from; the hosts end with the test.
func setUp(t *testing.T, slots int) (*is.I, context.Context, *testCluster) {
	return is.New(t), t.Context(), newTestCluster(slots)
}

func (cluster *testCluster) installRoute(r berylroute.Route) {
	r.Name, r.Host, r.Prefix, r.Kind = "r", "h", "/jobs/", berylroute.Batch
	r.Shares = []berylroute.Share{{Service: "svc", Weight: 1}}
	version := int64(1)
	if c := cluster.routes.Get(); c != nil {
		version = c.Version + 1
	}
	cluster.routes.Install(&berylroute.Config{Version: version, Routes: []berylroute.Route{r}})
}

// Acquire grants a slot when one is free.
func (cluster *testCluster) Acquire(ctx context.Context, ask berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	select {
	case cluster.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &beryloutcome.Refusal{Status: http.StatusServiceUnavailable}
	}
	yield := make(chan struct{})
	p := &berylpermit.Permit{Upstream: "u", Class: ask.Class, Yield: yield}
	var once sync.Once
	p.Release = func(berylpermit.Report) {
		once.Do(func() {
			<-cluster.slots
			cluster.mu.Lock()
			delete(cluster.permits, p)
			cluster.mu.Unlock()
		})
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.permits[p] = yield
	return p, nil
}

// yieldAll takes all slots back.
func (cluster *testCluster) yieldAll() {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for p, yield := range cluster.permits {
		close(yield)
		delete(cluster.permits, p)
	}
}

// startHost starts a startHost; kill ends it without a farewell.
func (cluster *testCluster) startHost(ctx context.Context, name string, boot uint64) (m *Manager, kill context.CancelFunc) {
	m = New(Config{
		Host: name, Boot: boot, Store: &cluster.store, Permits: cluster, Fleet: &cluster.fleet, Caller: &cluster.upstream, Routes: &cluster.routes,
		Members: &testMembers{cluster, name}, Peers: cluster, Lease: cluster.lease(ctx), Retention: 2 * time.Minute, Log: discardLog(),
	})
	cluster.mu.Lock()
	cluster.alive[name], cluster.hosts[name] = boot, m
	cluster.mu.Unlock()
	running, stop := context.WithCancel(ctx)
	m.mu.Lock()
	m.itemContext = running
	m.mu.Unlock()
	go m.follower.Run(running)
	go m.dispatchLoop(running)
	go m.commitLoop(running)
	go m.adoptLoop(running)
	go m.progressLoop(running)
	return m, func() {
		stop()
		cluster.mu.Lock()
		delete(cluster.alive, name)
		cluster.mu.Unlock()
	}
}

// lease returns a lease that outlasts the test.
func (cluster *testCluster) lease(ctx context.Context) func() int64 {
	lease, err := cluster.store.Grant(ctx, time.Hour)
	if err != nil {
		return func() int64 { return 0 }
	}
	return func() int64 { return lease }
}

func (cluster *testCluster) ReadJob(ctx context.Context, host string, read ReadRequest) (ReadReply, error) {
	cluster.mu.Lock()
	m, up := cluster.hosts[host], cluster.alive[host] != 0
	cluster.mu.Unlock()
	if !up {
		return ReadReply{}, errors.New("no answer")
	}
	return m.HandleRead(ctx, "", read)
}

type testMembers struct {
	*testCluster
	name string
}

func (m *testMembers) Alive(host string, boot uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive[host] == boot
}

func (m *testMembers) Count() int { return 2 }

func (m *testMembers) Rank(string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for name := range m.alive {
		if name < m.name {
			rank++
		}
	}
	return rank
}

// fakeUpstream answers items with as many events, or as scripted.
type fakeUpstream struct {
	events int
	status func(id string) int
	// firstBody, where it is set, is the body of each item's first call.
	firstBody func(ctx context.Context) io.Reader

	mu          sync.Mutex
	callsByItem map[string]int
	// resumed holds the events after which calls were resumed, by item.
	resumed map[string][]int64
	calls   []string
}

func (e *fakeUpstream) Call(ctx context.Context, call *berylrelay.Call) (*berylrelay.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.callsByItem == nil {
		e.callsByItem, e.resumed = make(map[string]int), make(map[string][]int64)
	}
	e.callsByItem[call.ID]++
	e.calls = append(e.calls, call.ID)
	from := int64(1)
	if call.Resume {
		from = call.ResumeAfter + 1
		e.resumed[call.ID] = append(e.resumed[call.ID], call.ResumeAfter)
	}
	status := http.StatusOK
	if e.status != nil {
		status = e.status(call.ID)
	}
	if status != http.StatusOK {
		return &berylrelay.Reply{Status: status, Signed: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	if e.firstBody != nil && e.callsByItem[call.ID] == 1 {
		return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: io.NopCloser(e.firstBody(ctx))}, nil
	}
	return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: &eventBody{ctx: ctx, id: call.ID, next: from, last: int64(e.events)}}, nil
}

func (e *fakeUpstream) callsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callsByItem[id]
}

type eventBody struct {
	ctx        context.Context
	id         string
	next, last int64
	rest       bytes.Buffer
}

func (b *eventBody) Read(p []byte) (int, error) {
	if b.rest.Len() == 0 {
		if b.next > b.last {
			return 0, io.EOF
		}
		select {
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		case <-time.After(eventGap):
		}
		fmt.Fprintf(&b.rest, "id: %d\ndata: %s %d\n\n", b.next, b.id, b.next)
		b.next++
	}
	return b.rest.Read(p)
}

func (b *eventBody) Close() error { return nil }

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func eventText(id string, events int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, fmt.Sprintf("%s %d", id, i))
	}
	return strings.Join(lines, "\n")
}

func (cluster *testCluster) submission(id string, items int) Submission {
	s := Submission{ID: id, Route: &cluster.routes.Get().Routes[0], Host: "h", Path: "/jobs/" + id}
	for i := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/jobs/x", Body: []byte("body"), Tokens: 100})
	}
	return s
}

// readAll reads a job until it is whole and checks that each item stands there once.
func readAll(t *testing.T, m *Manager, id string, total int, within time.Duration) map[string]Result {
	t.Helper()
	end := time.Now().Add(within)
	var all []Result
	for len(all) < total && time.Now().Before(end) {
		page, refusal := m.Read(t.Context(), id, len(all), time.Second)
		if refusal != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		all = append(all, page.Results...)
		if len(page.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	results := make(map[string]Result)
	for _, r := range all {
		if _, twice := results[r.ID]; twice {
			t.Fatalf("item %s is listed twice", r.ID)
		}
		results[r.ID] = r
	}
	if len(results) != total {
		t.Fatalf("%d of %d items are listed after %v", len(results), total, within)
	}
	return results
}

func TestJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 7)), nil)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, cluster.submission("j", 7)), nil) // sent again at another host
		for _, m := range []*Manager{a, b} {
			for id, r := range readAll(t, m, "j", 7, 5*time.Second) {
				is.Equal(r.State, Completed)
				is.Equal(string(r.Text), eventText(id, 20))
				is.Equal(cluster.upstream.callsOf(id), 1)
			}
		}
		body, refusal := b.ItemBody(ctx, "j", "j-3")
		is.Equal(refusal, nil)
		is.Equal(string(body), "body")
		_, refusal = b.Read(ctx, "other", 0, 0)
		is.Equal(refusal.Status, http.StatusNotFound)
	})
}

func TestAcceptanceWhoseAnswerIsLost(t *testing.T) {
	for _, tt := range []struct {
		name    string
		faults  []berylfake.StoreFault
		refused int // status of the refusal, or zero
		runs    bool
	}{
		{"answer lost", []berylfake.StoreFault{berylfake.StoreLosesAnswer}, 0, true},
		{"call lost", []berylfake.StoreFault{berylfake.StoreLosesCall}, 0, true},
		{"refused", []berylfake.StoreFault{berylfake.StoreRefuses}, http.StatusServiceUnavailable, false},
		{"answer lost, then refused, then well", []berylfake.StoreFault{berylfake.StoreLosesAnswer, berylfake.StoreRefuses}, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 4)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				next := 0
				cluster.store.SetFault(func(call, _ string) berylfake.StoreFault {
					if call != "commit" || next >= len(tt.faults) {
						return berylfake.StoreWell
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

// A host must not promise that a job does not run while an earlier write of it may still take effect.
func TestLateAcceptanceIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		first := true
		cluster.store.SetFault(func(call, _ string) berylfake.StoreFault {
			switch {
			case call != "commit":
				return berylfake.StoreWell
			case first:
				first = false
				return berylfake.StoreActsLate
			default:
				return berylfake.StoreRefuses
			}
		})
		bounded, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		refusal := a.Submit(bounded, cluster.submission("j", 2))
		is.Equal(refusal.Status, http.StatusGatewayTimeout)
		cluster.store.SetFault(nil)
		cluster.store.Late()
		readAll(t, a, "j", 2, 8*time.Second) // it runs all the same
	})
}

func TestJobOfADeadHostIsAdopted(t *testing.T) {
	for _, tt := range []struct {
		name string
		// restart brings the host back under a new run.
		restart bool
	}{{"gone for good", false}, {"restarted", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, kill := cluster.startHost(ctx, "a", 1)
				b, _ := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 10)), nil)
				time.Sleep(900 * time.Millisecond) // some are listed, some finished, some running
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

// A host that was cut off and taken for dead goes on for a while; what it finishes is not listed a second time.
func TestFencedHostCommitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 12)), nil)
		time.Sleep(300 * time.Millisecond)
		cluster.mu.Lock()
		delete(cluster.alive, "a") // the others believe that it is gone
		cluster.mu.Unlock()
		results := readAll(t, b, "j", 12, 10*time.Second)
		is.Equal(len(results), 12)
		time.Sleep(2 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.jobs["j"].isRunningHere(), false)
	})
}

func TestCommitWhoseAnswerIsLost(t *testing.T) {
	for _, fault := range []berylfake.StoreFault{berylfake.StoreLosesAnswer, berylfake.StoreLosesCall, berylfake.StoreRefuses, berylfake.StoreActsLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 8)), nil)
				n := 0
				cluster.store.SetFault(func(call, _ string) berylfake.StoreFault {
					n++
					if call == "commit" && n%2 == 0 {
						return fault
					}
					return berylfake.StoreWell
				})
				time.AfterFunc(1500*time.Millisecond, cluster.store.Late)
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
		is.True(cluster.upstream.resumed["j-0"][0] >= 9) // nothing that had arrived ran again
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

func TestCancelledJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		a, _ := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 50)), nil)
		time.Sleep(time.Second)
		is.Equal(b.Cancel(ctx, "j"), nil)
		is.Equal(b.Cancel(ctx, "j"), nil) // also when it is repeated
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
		refusal := b.Submit(ctx, cluster.submission("k", 5)) // known over all hosts
		is.Equal(refusal.Status, http.StatusTooManyRequests)
		readAll(t, a, "j", 9, 10*time.Second)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, cluster.submission("k", 5)), nil)
	})
}

func TestUnreachableStoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.store.SetFault(func(string, string) berylfake.StoreFault { return berylfake.StoreLosesCall })
		a, _ := cluster.startHost(ctx, "a", 1)
		_, refusal := a.Read(ctx, "j", 0, 0)
		is.Equal(refusal.Status, http.StatusServiceUnavailable)
		is.Equal(a.Cancel(ctx, "j").Status, http.StatusServiceUnavailable)
	})
}

// A planned stop gives the jobs back, so that they go on without a wait for the host's death to be noticed.
func TestPlannedStopGivesJobsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 2)
		m := New(Config{
			Host: "z", Boot: 1, Store: &cluster.store, Permits: cluster, Fleet: &cluster.fleet, Caller: &cluster.upstream, Routes: &cluster.routes,
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
		is.Equal(m.Submit(ctx, cluster.submission("k", 2)), nil) // accepted for another host to run
		time.Sleep(300 * time.Millisecond)
		stop()
		<-ended
		readAll(t, b, "j", 10, 5*time.Second)
		readAll(t, b, "k", 2, 5*time.Second)
	})
}

// RollingRestart: a host that is about to stop takes over no job, which it would have to give back a moment later.
func TestLeavingHostAdoptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 2)
		z, kill := cluster.startHost(ctx, "z", 1)
		a, _ := cluster.startHost(ctx, "a", 1) // first in line
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

// Jobs come faster than the upstreams can run them: those that can still be done in time are not held up by those that
// can't.
func TestJobFloodBeyondCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.installRoute(berylroute.Route{CompletionTarget: 2 * time.Second, Retention: time.Minute, MaxAttempts: 3})
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("flood", 30)), nil) // 6 s of work
		time.Sleep(time.Second)
		is.Equal(a.Submit(ctx, cluster.submission("small", 4)), nil)
		began := time.Now()
		readAll(t, a, "small", 4, 10*time.Second)
		is.True(time.Since(began) <= 2500*time.Millisecond) // in time but for the listing
		readAll(t, a, "flood", 30, 20*time.Second)
	})
}

// A host that was frozen wakes with finished items, takes up their listing, and only then learns that the job has another
// owner. The listing must fail: its results would stand where the new owner lists others.
func TestCommitBegunBeforeTheJobWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newTestCluster(1)
		m := New(Config{Host: "a", Boot: 1, Store: &cluster.store, Routes: &cluster.routes, Fleet: &cluster.fleet, Members: &testMembers{cluster, "a"}, Peers: cluster, Log: discardLog()})
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
		taken := cluster.store.Commit(t.Context(), berylstore.Txn{Checks: []berylstore.Check{{Key: recordKey("j"), Revision: revision}}, Puts: []berylstore.Put{{Key: recordKey("j"), Value: value}}})
		m.apply([]berylstore.Event{{Item: berylstore.Item{Key: recordKey("j"), Value: value, Revision: taken.Revision}}}, taken.Revision)
		m.commitSegments(t.Context(), segments)
		page, err := cluster.store.List(t.Context(), jobSegmentPrefix("j"), "")
		is.NoErr(err)
		is.Equal(len(page.Items), 0)
	})
}

// An item that runs for long goes on at another host near where it was when its host was lost, not from its start.
func TestProgressSurvivesHostLoss(t *testing.T) {
	for _, tt := range []struct {
		name    string
		planned bool
		most    int64 // events that may be made again
	}{{"killed", false, 160}, {"stopped as planned", true, 10}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				cluster.upstream.events = 600 // 6 s
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
					is.True(cluster.upstream.resumed[id][0] >= 399-tt.most)
				}
			})
		})
	}
}
