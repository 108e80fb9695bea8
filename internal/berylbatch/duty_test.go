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

// world is what several hosts share in these tests.
type world struct {
	store  berylfake.MemoryStore
	fleet  berylroute.Registry
	routes berylroute.CurrentConfig
	engine engine
	slots  chan struct{}

	mu    sync.Mutex
	alive map[string]uint64
	hosts map[string]*Manager
	// yields holds the permits in use.
	yields map[*berylpermit.Permit]chan struct{}
}

func newWorld(slots int) *world {
	w := &world{slots: make(chan struct{}, slots), alive: make(map[string]uint64), hosts: make(map[string]*Manager), yields: make(map[*berylpermit.Permit]chan struct{})}
	w.fleet.Log = quiet()
	w.fleet.Put(berylroute.Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:1", Slots: slots})
	w.install(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3})
	w.engine.events = 20
	return w
}

// setUp returns what most tests start from; the hosts end with the test.
func setUp(t *testing.T, slots int) (*is.I, context.Context, *world) {
	return is.New(t), t.Context(), newWorld(slots)
}

func (w *world) install(r berylroute.Route) {
	r.Name, r.Host, r.Prefix, r.Kind = "r", "h", "/jobs/", berylroute.Batch
	r.Shares = []berylroute.Share{{Service: "svc", Weight: 1}}
	version := int64(1)
	if c := w.routes.Get(); c != nil {
		version = c.Version + 1
	}
	w.routes.Install(&berylroute.Config{Version: version, Routes: []berylroute.Route{r}})
}

// Acquire grants a slot when one is free.
func (w *world) Acquire(ctx context.Context, ask berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &beryloutcome.Refusal{Status: http.StatusServiceUnavailable}
	}
	yield := make(chan struct{})
	p := &berylpermit.Permit{Upstream: "u", Class: ask.Class, Yield: yield}
	var once sync.Once
	p.Release = func(berylpermit.Report) {
		once.Do(func() {
			<-w.slots
			w.mu.Lock()
			delete(w.yields, p)
			w.mu.Unlock()
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.yields[p] = yield
	return p, nil
}

// yieldAll takes all slots back.
func (w *world) yieldAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, yield := range w.yields {
		close(yield)
		delete(w.yields, p)
	}
}

// host starts a host; kill ends it without a farewell.
func (w *world) host(ctx context.Context, name string, boot uint64) (d *Manager, kill context.CancelFunc) {
	d = New(Config{
		Host: name, Boot: boot, Store: &w.store, Permits: w, Fleet: &w.fleet, Caller: &w.engine, Routes: &w.routes,
		Members: &member{w, name}, Peers: w, Lease: w.lease(ctx), Retention: 2 * time.Minute, Log: quiet(),
	})
	w.mu.Lock()
	w.alive[name], w.hosts[name] = boot, d
	w.mu.Unlock()
	running, stop := context.WithCancel(ctx)
	d.mu.Lock()
	d.work = running
	d.mu.Unlock()
	go d.follower.Run(running)
	go d.dispatch(running)
	go d.commitLoop(running)
	go d.adoptLoop(running)
	go d.progressLoop(running)
	return d, func() {
		stop()
		w.mu.Lock()
		delete(w.alive, name)
		w.mu.Unlock()
	}
}

// lease returns a lease that outlasts the test.
func (w *world) lease(ctx context.Context) func() int64 {
	lease, err := w.store.Grant(ctx, time.Hour)
	if err != nil {
		return func() int64 { return 0 }
	}
	return func() int64 { return lease }
}

func (w *world) ReadJob(ctx context.Context, host string, read ReadRequest) (ReadReply, error) {
	w.mu.Lock()
	d, up := w.hosts[host], w.alive[host] != 0
	w.mu.Unlock()
	if !up {
		return ReadReply{}, errors.New("no answer")
	}
	return d.HandleRead(ctx, "", read)
}

type member struct {
	*world
	name string
}

func (m *member) Alive(host string, boot uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive[host] == boot
}

func (m *member) Count() int { return 2 }

func (m *member) Rank(string) int {
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

// engine answers items with as many events, or as scripted.
type engine struct {
	events int
	status func(id string) int
	// babble, where it is set, is the body of each item's first call.
	babble func(ctx context.Context) io.Reader

	mu   sync.Mutex
	runs map[string]int
	// resumed holds the events after which calls were resumed, by item.
	resumed map[string][]int64
	order   []string
}

func (e *engine) Call(ctx context.Context, call *berylrelay.Call) (*berylrelay.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs, e.resumed = make(map[string]int), make(map[string][]int64)
	}
	e.runs[call.ID]++
	e.order = append(e.order, call.ID)
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
	if e.babble != nil && e.runs[call.ID] == 1 {
		return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: io.NopCloser(e.babble(ctx))}, nil
	}
	return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: &eventBody{ctx: ctx, id: call.ID, next: from, last: int64(e.events)}}, nil
}

func (e *engine) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
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

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func text(id string, events int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, fmt.Sprintf("%s %d", id, i))
	}
	return strings.Join(lines, "\n")
}

func (w *world) submission(id string, items int) Submission {
	s := Submission{ID: id, Route: &w.routes.Get().Routes[0], Host: "h", Path: "/jobs/" + id}
	for i := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/jobs/x", Body: []byte("body"), Tokens: 100})
	}
	return s
}

// readAll reads a job until it is whole and checks that each item stands there once.
func readAll(t *testing.T, d *Manager, id string, total int, within time.Duration) map[string]Result {
	t.Helper()
	end := time.Now().Add(within)
	var all []Result
	for len(all) < total && time.Now().Before(end) {
		page, refusal := d.Read(t.Context(), id, len(all), time.Second)
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
		is, ctx, w := setUp(t, 4)
		a, _ := w.host(ctx, "a", 1)
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("j", 7)), nil)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, w.submission("j", 7)), nil) // sent again at another host
		for _, d := range []*Manager{a, b} {
			for id, r := range readAll(t, d, "j", 7, 5*time.Second) {
				is.Equal(r.State, Completed)
				is.Equal(string(r.Text), text(id, 20))
				is.Equal(w.engine.count(id), 1)
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
				is, ctx, w := setUp(t, 4)
				a, _ := w.host(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				next := 0
				w.store.SetFault(func(call, _ string) berylfake.StoreFault {
					if call != "commit" || next >= len(tt.faults) {
						return berylfake.StoreWell
					}
					next++
					return tt.faults[next-1]
				})
				refusal := a.Submit(ctx, w.submission("j", 3))
				if tt.refused != 0 {
					is.Equal(refusal.Status, tt.refused)
				} else {
					is.Equal(refusal, nil)
				}
				time.Sleep(5 * time.Second)
				is.Equal(w.engine.count("j-0") > 0, tt.runs)
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
		is, ctx, w := setUp(t, 4)
		a, _ := w.host(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		first := true
		w.store.SetFault(func(call, _ string) berylfake.StoreFault {
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
		refusal := a.Submit(bounded, w.submission("j", 2))
		is.Equal(refusal.Status, http.StatusGatewayTimeout)
		w.store.SetFault(nil)
		w.store.Late()
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
				is, ctx, w := setUp(t, 2)
				a, kill := w.host(ctx, "a", 1)
				b, _ := w.host(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, w.submission("j", 10)), nil)
				time.Sleep(900 * time.Millisecond) // some are listed, some finished, some running
				kill()
				if tt.restart {
					time.Sleep(100 * time.Millisecond)
					w.host(ctx, "a", 2)
				}
				for id, r := range readAll(t, b, "j", 10, 10*time.Second) {
					is.Equal(string(r.Text), text(id, 20))
				}
			})
		})
	}
}

// A host that was cut off and taken for dead goes on for a while; what it finishes is not listed a second time.
func TestFencedHostListsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 4)
		a, _ := w.host(ctx, "a", 1)
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("j", 12)), nil)
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		delete(w.alive, "a") // the others believe that it is gone
		w.mu.Unlock()
		results := readAll(t, b, "j", 12, 10*time.Second)
		is.Equal(len(results), 12)
		time.Sleep(2 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.jobs["j"].running(), false)
	})
}

func TestListingWhoseAnswerIsLost(t *testing.T) {
	for _, fault := range []berylfake.StoreFault{berylfake.StoreLosesAnswer, berylfake.StoreLosesCall, berylfake.StoreRefuses, berylfake.StoreActsLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, w := setUp(t, 2)
				a, _ := w.host(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, w.submission("j", 8)), nil)
				n := 0
				w.store.SetFault(func(call, _ string) berylfake.StoreFault {
					n++
					if call == "commit" && n%2 == 0 {
						return fault
					}
					return berylfake.StoreWell
				})
				time.AfterFunc(1500*time.Millisecond, w.store.Late)
				readAll(t, a, "j", 8, 15*time.Second)
			})
		})
	}
}

func TestYieldedItemGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 1)
		a, _ := w.host(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("j", 1)), nil)
		time.Sleep(105 * time.Millisecond)
		w.yieldAll()
		results := readAll(t, a, "j", 1, 5*time.Second)
		is.Equal(string(results["j-0"].Text), text("j-0", 20))
		is.Equal(len(w.engine.resumed["j-0"]), 1)
		is.True(w.engine.resumed["j-0"][0] >= 9) // nothing that had arrived ran again
	})
}

func TestItemsThatFail(t *testing.T) {
	for _, tt := range []struct {
		status, runs int
	}{{http.StatusUnprocessableEntity, 1}, {http.StatusInternalServerError, 3}} {
		t.Run(fmt.Sprint(tt.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, w := setUp(t, 4)
				w.engine.status = func(id string) int {
					if id == "j-1" {
						return tt.status
					}
					return http.StatusOK
				}
				a, _ := w.host(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, w.submission("j", 3)), nil)
				results := readAll(t, a, "j", 3, 10*time.Second)
				is.Equal(results["j-1"].State, Abandoned)
				is.Equal(results["j-0"].State, Completed)
				is.Equal(w.engine.count("j-1"), tt.runs)
			})
		})
	}
}

func TestEndedJobStopsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 1)
		a, _ := w.host(ctx, "a", 1)
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("j", 50)), nil)
		time.Sleep(time.Second)
		is.Equal(b.Cancel(ctx, "j"), nil)
		is.Equal(b.Cancel(ctx, "j"), nil) // also when it is repeated
		time.Sleep(time.Second)
		w.engine.mu.Lock()
		runs := len(w.engine.order)
		w.engine.mu.Unlock()
		time.Sleep(5 * time.Second)
		w.engine.mu.Lock()
		defer w.engine.mu.Unlock()
		is.Equal(len(w.engine.order), runs)
	})
}

func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 1)
		w.install(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3, MaxWaitingTokens: 1000})
		a, _ := w.host(ctx, "a", 1)
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("j", 9)), nil)
		time.Sleep(time.Second)
		refusal := b.Submit(ctx, w.submission("k", 5)) // known over all hosts
		is.Equal(refusal.Status, http.StatusTooManyRequests)
		readAll(t, a, "j", 9, 10*time.Second)
		time.Sleep(2 * time.Second)
		is.Equal(b.Submit(ctx, w.submission("k", 5)), nil)
	})
}

func TestUnsureHostRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 1)
		w.store.SetFault(func(string, string) berylfake.StoreFault { return berylfake.StoreLosesCall })
		a, _ := w.host(ctx, "a", 1)
		_, refusal := a.Read(ctx, "j", 0, 0)
		is.Equal(refusal.Status, http.StatusServiceUnavailable)
		is.Equal(a.Cancel(ctx, "j").Status, http.StatusServiceUnavailable)
	})
}

// A planned stop gives the jobs back, so that they go on without a wait for the host's death to be noticed.
func TestPlannedStopGivesJobsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, w := setUp(t, 2)
		d := New(Config{
			Host: "z", Boot: 1, Store: &w.store, Permits: w, Fleet: &w.fleet, Caller: &w.engine, Routes: &w.routes,
			Members: &member{w, "z"}, Peers: w, Lease: w.lease(ctx), Retention: 2 * time.Minute, Log: quiet(),
		})
		w.mu.Lock()
		w.alive["z"], w.hosts["z"] = 1, d
		w.mu.Unlock()
		stopping, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); d.Run(stopping) }()
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(d.Submit(ctx, w.submission("j", 10)), nil)
		time.Sleep(500 * time.Millisecond)
		d.Drain()
		is.Equal(d.Submit(ctx, w.submission("k", 2)), nil) // accepted for another host to run
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
		is, ctx, w := setUp(t, 2)
		z, kill := w.host(ctx, "z", 1)
		a, _ := w.host(ctx, "a", 1) // first in line
		b, _ := w.host(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(z.Submit(ctx, w.submission("j", 10)), nil)
		time.Sleep(500 * time.Millisecond)
		a.Drain()
		kill()
		readAll(t, b, "j", 10, 8*time.Second)
		item, _, err := w.store.Get(ctx, recordKey("j"))
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
		is, ctx, w := setUp(t, 1)
		w.install(berylroute.Route{CompletionTarget: 2 * time.Second, Retention: time.Minute, MaxAttempts: 3})
		a, _ := w.host(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, w.submission("flood", 30)), nil) // 6 s of work
		time.Sleep(time.Second)
		is.Equal(a.Submit(ctx, w.submission("small", 4)), nil)
		began := time.Now()
		readAll(t, a, "small", 4, 10*time.Second)
		is.True(time.Since(began) <= 2500*time.Millisecond) // in time but for the listing
		readAll(t, a, "flood", 30, 20*time.Second)
	})
}

// A host that was frozen wakes with finished items, takes up their listing, and only then learns that the job has another
// owner. The listing must fail: its results would stand where the new owner lists others.
func TestListingBegunBeforeTheJobWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1)
		d := New(Config{Host: "a", Boot: 1, Store: &w.store, Routes: &w.routes, Fleet: &w.fleet, Members: &member{w, "a"}, Peers: w, Log: quiet()})
		is.Equal(d.Submit(t.Context(), w.submission("j", 2)), nil)
		d.mu.Lock()
		j := d.jobs["j"]
		j.items[0].text = []byte("done")
		j.finish(j.items[0], Completed)
		record, revision := j.record, j.revision
		d.mu.Unlock()
		segments := d.nextSegments()
		record.Owner = "b"
		value := encode(&record)
		taken := w.store.Commit(t.Context(), berylstore.Txn{Checks: []berylstore.Check{{Key: recordKey("j"), Revision: revision}}, Puts: []berylstore.Put{{Key: recordKey("j"), Value: value}}})
		d.apply([]berylstore.Event{{Item: berylstore.Item{Key: recordKey("j"), Value: value, Revision: taken.Revision}}}, taken.Revision)
		d.commitSegments(t.Context(), segments)
		page, err := w.store.List(t.Context(), segmentsOf("j"), "")
		is.NoErr(err)
		is.Equal(len(page.Items), 0)
	})
}

// An item that runs for long goes on at another host near where it was when its host was lost, not from its start.
func TestProgressOutlivesItsHost(t *testing.T) {
	for _, tt := range []struct {
		name    string
		planned bool
		most    int64 // events that may be made again
	}{{"killed", false, 160}, {"stopped as planned", true, 10}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, w := setUp(t, 2)
				w.engine.events = 600 // 6 s
				a, kill := w.host(ctx, "a", 1)
				b, _ := w.host(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, w.submission("j", 2)), nil)
				time.Sleep(4 * time.Second)
				kill()
				if tt.planned {
					time.Sleep(time.Millisecond)
					a.handOver(true)
				}
				for id, r := range readAll(t, b, "j", 2, 12*time.Second) {
					is.Equal(string(r.Text), text(id, 600))
					is.Equal(len(w.engine.resumed[id]), 1)
					is.True(w.engine.resumed[id][0] >= 399-tt.most)
				}
			})
		})
	}
}
