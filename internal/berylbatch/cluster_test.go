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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
)

// eventGap is the time between two events of the fake upstream.
const eventGap = 10 * time.Millisecond

// testCluster holds what the hosts of a test share: the store, the routes, one fake upstream and its slots. It grants
// permits and carries reads between hosts.
type testCluster struct {
	store     berylfake.MemoryStore
	upstreams berylroute.Registry
	routes    berylroute.CurrentConfig
	upstream  fakeUpstream
	slots     chan struct{}

	mu    sync.Mutex
	alive map[string]uint64
	hosts map[string]*Manager
	// permits holds the permits in use, each with the channel that asks its holder to yield.
	permits map[*berylpermit.Permit]chan struct{}
	// target is that of the last permit request.
	target string
	// permitsBroker and client, if set before a host is started, are used in place of the cluster and its upstream.
	permitsBroker berylpermit.Broker
	client        berylrelay.UpstreamClient
	// ownRoutes holds the configuration of each host that has another one than routes.
	ownRoutes map[string]*berylroute.CurrentConfig
}

// routesOf returns the configuration of a host.
func (cluster *testCluster) routesOf(name string) *berylroute.CurrentConfig {
	if own := cluster.ownRoutes[name]; own != nil {
		return own
	}
	return &cluster.routes
}

func newTestCluster(slots int) *testCluster {
	cluster := &testCluster{slots: make(chan struct{}, slots), alive: make(map[string]uint64), hosts: make(map[string]*Manager), permits: make(map[*berylpermit.Permit]chan struct{})}
	cluster.upstreams.Log = discardLog()
	cluster.upstreams.Put(berylroute.Upstream{ID: "u", Service: "svc", Address: "10.0.0.1:1", Slots: slots})
	cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3})
	cluster.upstream.events = 20
	return cluster
}

// setUp returns a cluster with the given number of upstream slots and the test's context, which stops the hosts.
func setUp(t *testing.T, slots int) (*is.I, context.Context, *testCluster) {
	return is.New(t), t.Context(), newTestCluster(slots)
}

// batchRoute returns the route of the jobs in these tests.
func batchRoute(retention time.Duration, attempts int) berylroute.Route {
	return berylroute.Route{
		Name: "r", Host: "h", Prefix: "/jobs/", Kind: berylroute.Batch, Shares: []berylroute.Share{{Service: "svc", Weight: 1}},
		CompletionTarget: 18 * time.Second, Retention: retention, MaxAttempts: attempts,
	}
}

func (cluster *testCluster) installRoute(r berylroute.Route) {
	r.Name, r.Host, r.Prefix, r.Kind = "r", "h", "/jobs/", berylroute.Batch
	if r.Shares == nil {
		r.Shares = []berylroute.Share{{Service: "svc", Weight: 1}}
	}
	version := int64(1)
	if c := cluster.routes.Get(); c != nil {
		version = c.Version + 1
	}
	cluster.routes.Install(&berylroute.Config{Version: version, Routes: []berylroute.Route{r}})
}

// Acquire waits for a free slot and grants a permit for it.
func (cluster *testCluster) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	cluster.mu.Lock()
	cluster.target = request.Target
	cluster.mu.Unlock()
	select {
	case cluster.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &beryloutcome.Refusal{Status: http.StatusServiceUnavailable}
	}
	yield := make(chan struct{})
	p := &berylpermit.Permit{Upstream: "u", Class: request.Class, Yield: yield}
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

// lastTarget returns the target of the last permit request.
func (cluster *testCluster) lastTarget() string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.target
}

// yieldAll asks the holders of all permits to yield.
func (cluster *testCluster) yieldAll() {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for p, yield := range cluster.permits {
		close(yield)
		delete(cluster.permits, p)
	}
}

// startHost starts a host; kill stops it without releasing its jobs.
func (cluster *testCluster) startHost(ctx context.Context, name string, boot uint64) (m *Manager, kill context.CancelFunc) {
	if cluster.permitsBroker == nil {
		cluster.permitsBroker, cluster.client = cluster, &cluster.upstream
	}
	m = New(Config{
		Host: name, Boot: boot, Store: &cluster.store, Permits: cluster.permitsBroker, Upstreams: &cluster.upstreams, Client: cluster.client, Routes: cluster.routesOf(name),
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

// lease returns a store lease that does not expire during the test.
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

// fakeUpstream answers each item with a stream of the given number of events, or as the functions below say.
type fakeUpstream struct {
	events int
	status func(id string) int
	// body, if set, returns the body of an item's answer, or nil for the usual one.
	body func(id string) io.Reader
	// firstBody, if set, returns the body of each item's first call.
	firstBody func(ctx context.Context) io.Reader

	mu          sync.Mutex
	callsByItem map[string]int
	// resumed holds the event IDs after which calls were resumed, by item.
	resumed map[string][]int64
	calls   []string
}

func (u *fakeUpstream) Call(ctx context.Context, call *berylrelay.Call) (*berylrelay.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.callsByItem == nil {
		u.callsByItem, u.resumed = make(map[string]int), make(map[string][]int64)
	}
	u.callsByItem[call.ID]++
	u.calls = append(u.calls, call.ID)
	from := int64(1)
	if call.Resume {
		from = call.ResumeAfter + 1
		u.resumed[call.ID] = append(u.resumed[call.ID], call.ResumeAfter)
	}
	status := http.StatusOK
	if u.status != nil {
		status = u.status(call.ID)
	}
	if status != http.StatusOK {
		return &berylrelay.Reply{Status: status, Signed: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	if u.body != nil {
		if body := u.body(call.ID); body != nil {
			return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: io.NopCloser(body)}, nil
		}
	}
	if u.firstBody != nil && u.callsByItem[call.ID] == 1 {
		return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: io.NopCloser(u.firstBody(ctx))}, nil
	}
	return &berylrelay.Reply{Status: status, Signed: true, EventStream: true, Body: &eventBody{ctx: ctx, id: call.ID, next: from, last: int64(u.events)}}, nil
}

func (u *fakeUpstream) callsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.callsByItem[id]
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

// readAll reads a job until it has all results and fails the test if an item appears twice or results are missing at the
// end of the given time.
func readAll(t *testing.T, m *Manager, id string, total int, within time.Duration) map[string]Result {
	t.Helper()
	end := time.Now().Add(within)
	var all []Result
	for len(all) < total && time.Now().Before(end) {
		page, refusal := m.Read(t.Context(), "", id, len(all), time.Second)
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
		if _, duplicate := results[r.ID]; duplicate {
			t.Fatalf("item %s has two results", r.ID)
		}
		results[r.ID] = r
	}
	if len(results) != total {
		t.Fatalf("%d of %d items have results after %v", len(results), total, within)
	}
	return results
}
