package berylbatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// recordGatherTime is how long changes of records gather before the next watch, so that they cost one call together. It is
// short beside the seconds within which an ended job must stop.
const recordGatherTime = 700 * time.Millisecond

// sharedWatchWait is how long a watch of the records waits that is made for other hosts too: with it the end of a job is
// known everywhere within 3 s, as operators demand (TestSharedWatchOfSlowPrefix).
const sharedWatchWait = time.Second

// Members says which hosts are up.
type Members interface {
	// Alive says whether that run of a host may be up; it is true of all while too little is known.
	Alive(host string, boot uint64) bool
	// Rank returns how many live hosts come before this one for a key; those that are about to stop come last.
	Rank(key string) int
	// Count returns the number of live hosts.
	Count() int
}

// Peers reads jobs from the hosts that run them.
type Peers interface {
	// ReadJob asks the host that runs a job.
	ReadJob(ctx context.Context, host string, read ReadRequest) (ReadReply, error)
}

// Config says what a Duty works with; all fields must be set.
type Config struct {
	// Host and Boot name this run of this host.
	Host string
	Boot uint64
	// Store keeps the jobs.
	Store berylstore.Store
	// Permits decides which upstream may run an item when.
	Permits berylpermit.Broker
	// Fleet knows the upstreams.
	Fleet *berylroute.Registry
	// Caller makes the calls.
	Caller berylrelay.UpstreamClient
	// Routes holds the configuration in force.
	Routes *berylroute.CurrentConfig
	// Members says which hosts are up.
	Members Members
	// Peers reads jobs that other hosts run.
	Peers Peers
	// Lease returns a lease that ends with this host, or zero while it has none.
	Lease func() int64
	// Share lets hosts follow the records for each other; it may be nil.
	Share *berylstore.WatchSharing
	// WriteProgress writes an item, maybe together with those of other hosts, and says whether it lasts; nil writes it alone.
	WriteProgress func(ctx context.Context, put berylstore.Put) bool
	// Retention is how long after its submission a job can be read.
	Retention time.Duration
	// Log takes a line for each decision on a job or an item.
	Log logrus.FieldLogger
	// Metrics takes counts; nil keeps none.
	Metrics *metrics.Set
}

// Manager is one host's part in all jobs.
type Manager struct {
	Config
	follower berylstore.Follower

	mu             sync.Mutex
	jobs           map[string]*job
	pendingPermits map[string]int // permits asked for, by service
	estimator      durationEstimator
	lastProgress   progressCache
	wakeDispatch   chan struct{}
	wakeCommit     chan struct{}
	stopping       bool
	items          sync.WaitGroup // of sync, so that a panic ends the process at once
	itemContext    context.Context
}

// New returns a duty that does nothing until Run.
func New(config Config) *Manager {
	m := &Manager{
		Config:         config,
		jobs:           make(map[string]*job),
		pendingPermits: make(map[string]int),
		wakeDispatch:   make(chan struct{}, 1),
		wakeCommit:     make(chan struct{}, 1),
	}
	if m.WriteProgress == nil {
		m.WriteProgress = m.writeProgressAlone
	}
	m.follower = berylstore.Follower{
		Store:      config.Store,
		Prefix:     RecordPrefix,
		Debounce:   recordGatherTime,
		SharedWait: sharedWatchWait,
		Reset:      m.reset,
		Apply:      m.apply,
		Log:        config.Log,
		Sharing:    config.Share,
	}
	if m.Metrics != nil {
		m.Metrics.NewGauge("berylroad_batch_jobs_owned", func() float64 { return float64(m.countOwned()) })
	}
	return m
}

// countOwned counts the open jobs that this host runs.
func (m *Manager) countOwned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, j := range m.jobs {
		if j.isRunningHere() && j.record.Open() {
			n++
		}
	}
	return n
}

// countCall counts a call for an item by how it ended.
func (m *Manager) countCall(outcome beryloutcome.Kind) {
	if m.Metrics != nil {
		m.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_batch_calls_total{outcome=%q}", outcome)).Inc()
	}
}

// Run works until ctx ends; the items in flight are then broken off and what is finished is listed.
func (m *Manager) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	m.mu.Lock()
	m.itemContext = work
	m.mu.Unlock()
	following, stopFollowing := context.WithCancel(work)
	var duties conc.WaitGroup
	duties.Go(func() { m.follower.Run(following) })
	duties.Go(func() { m.dispatchLoop(ctx) })
	duties.Go(func() { m.commitLoop(ctx) })
	duties.Go(func() { m.adoptLoop(ctx) })
	duties.Go(func() { m.progressLoop(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	stop()
	m.items.Wait()
	stopFollowing()
	duties.Wait()
	m.releaseJobs(true)
}

// Drain makes this host start no more items: it gives back the jobs of which none is running, and takes new ones only for
// others to adopt.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.items.Go(func() { m.releaseJobs(false) })
}

// Synced says that this host has seen the records once.
func (m *Manager) Synced() bool {
	return !m.follower.LastCurrent().IsZero()
}

// Records is the follower of the jobs' records.
func (m *Manager) Records() *berylstore.Follower {
	return &m.follower
}

// reset takes all records.
func (m *Manager) reset(items []berylstore.Item, asOf int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[jobID(item.Key)] = true
		m.installRecord(item)
	}
	for id, j := range m.jobs {
		if !listed[id] && j.revision <= asOf {
			m.dropJob(id)
		}
	}
}

// apply takes changes of records.
func (m *Manager) apply(events []berylstore.Event, _ int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			if j := m.jobs[jobID(e.Key)]; j != nil && j.revision < e.Revision {
				m.dropJob(jobID(e.Key))
			}
			continue
		}
		m.installRecord(e.Item)
	}
}

// installRecord installs a record unless a newer one is known; the caller holds mu.
func (m *Manager) installRecord(item berylstore.Item) *job {
	id := jobID(item.Key)
	j := m.jobs[id]
	if j != nil && j.revision >= item.Revision {
		return j
	}
	record, err := decode[Record](item.Value)
	if err != nil {
		m.Log.WithError(err).WithField("job", id).Error("job: record can't be read")
		return j
	}
	if j == nil {
		j = &job{id: id, changed: make(chan struct{})}
		m.jobs[id] = j
	}
	wasOpen := j.record.Open()
	j.record, j.revision = record, item.Revision
	if !m.owns(j) && j.isRunningHere() {
		j.stop()
		m.Log.WithFields(logrus.Fields{"job": id, "owner": record.Owner, "revision": item.Revision}).Info("job: lost to another host")
	}
	if record.Cancelled && wasOpen {
		j.cancelItems()
		m.Log.WithFields(logrus.Fields{"job": id, "revision": item.Revision}).Info("job: ended by its caller")
	}
	j.notifyReaders()
	m.signal(m.wakeDispatch)
	return j
}

func (m *Manager) dropJob(id string) {
	if j := m.jobs[id]; j != nil {
		j.stop()
		j.notifyReaders()
		delete(m.jobs, id)
	}
}

// owns says whether this run of this host runs the job.
func (m *Manager) owns(j *job) bool {
	return j.record.Owner == m.Host && j.record.Boot == m.Boot
}

func (m *Manager) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
