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
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// recordDebounce is how long the follower waits before the next watch of the records, so that all changes within
// that time cost one call. It is short compared with the seconds within which a cancelled job must stop.
const recordDebounce = 700 * time.Millisecond

// sharedWatchWait is how long a watch of the records waits for changes when it serves other hosts too. With this value the
// cancellation of a job is known on every host within 3 s, as operators require (TestSharedWatchOfSlowPrefix).
const sharedWatchWait = time.Second

// Members tells which hosts are up.
type Members interface {
	// Alive reports whether the given run of a host may be up. While too little is known about the hosts, it returns true
	// for all of them.
	Alive(host string, boot uint64) bool
	// Rank returns the number of live hosts that come before this one for a key; hosts that are about to stop come last.
	Rank(key string) int
	// Count returns the number of live hosts.
	Count() int
}

// Peers reads jobs from the hosts that run them.
type Peers interface {
	// ReadJob sends a read to the host that runs a job.
	ReadJob(ctx context.Context, host string, read ReadRequest) (ReadReply, error)
}

// Config configures a Manager. All fields must be set, except where a comment says otherwise.
type Config struct {
	// Host is this host's name and Boot identifies this run of its process.
	Host string
	Boot uint64
	// Store holds the jobs' records, specifications and results, and the progress of unfinished items.
	Store berylstore.Store
	// Permits decides which upstream may run an item, and when.
	Permits berylpermit.Broker
	// Upstreams holds the upstreams that this host knows.
	Upstreams *berylroute.Registry
	// Client sends items to upstreams.
	Client berylrelay.UpstreamClient
	// Quarantine holds back items with prompt parts that crash upstreams; nil holds back none.
	Quarantine *berylquarantine.Quarantine
	// Routes holds the configuration in force.
	Routes *berylroute.CurrentConfig
	// Members tells which hosts are up.
	Members Members
	// Peers reads jobs that other hosts run.
	Peers Peers
	// Lease returns the store lease that ends with this host, or zero while there is none.
	Lease func() int64
	// Sharing lets hosts serve watches of the records to each other; it may be nil.
	Sharing *berylstore.WatchSharing
	// WriteProgress writes a key to the store, possibly in one call with writes of other hosts, and reports whether the
	// write is durable. If nil, each write is a call of its own.
	WriteProgress func(ctx context.Context, put berylstore.Put) bool
	// Retention is how long after its submission a job can be read.
	Retention time.Duration
	// Memory bounds the long events of items' answers that are held at once; nil means no bound.
	Memory *berylresponse.Budget
	// MaxTextBytes bounds the memory of the texts of unfinished items. An item whose text does not fit starts over. Zero means no bound.
	MaxTextBytes int
	// Log receives a line for each decision on a job or an item.
	Log logrus.FieldLogger
	// Metrics receives the metrics; nil disables them.
	Metrics *metrics.Set
}

// Manager accepts jobs on one host, runs the jobs that this host owns and reads the results of all.
type Manager struct {
	Config
	follower berylstore.Follower

	mu              sync.Mutex
	jobs            map[string]*job      // all jobs whose records this host has seen, by ID
	pendingPermits  map[permitTarget]int // permit requests in flight
	estimator       durationEstimator
	lastProgress    progressCache
	wakeDispatch    chan struct{} // signals dispatchLoop
	wakeCommit      chan struct{} // signals commitLoop
	stopping        bool
	items           sync.WaitGroup  // permit waits and item calls; not a conc.WaitGroup, which would hold a panic back until Wait
	itemContext     context.Context // parent of the contexts of all item calls
	guards          map[string]*guardState
	waitingReports  map[string]waitingReport // by job ID
	lastConfig      *berylroute.Config       // the configuration that observeConfig has seen last
	formerRoutes    []formerRoute
	lastStoredCheck time.Time                // when isStored last read the store
	turns           map[string]*accountTurns // by service
}

// New returns a manager that does nothing until Run.
func New(config Config) *Manager {
	m := &Manager{
		Config:         config,
		jobs:           make(map[string]*job),
		pendingPermits: make(map[permitTarget]int),
		guards:         make(map[string]*guardState),
		waitingReports: make(map[string]waitingReport),
		turns:          make(map[string]*accountTurns),
		wakeDispatch:   make(chan struct{}, 1),
		wakeCommit:     make(chan struct{}, 1),
	}
	if m.WriteProgress == nil {
		m.WriteProgress = m.writeProgressAlone
	}
	m.follower = berylstore.Follower{
		Store:      config.Store,
		Prefix:     RecordPrefix,
		Debounce:   recordDebounce,
		SharedWait: sharedWatchWait,
		Reset:      m.reset,
		Apply:      m.apply,
		Log:        config.Log,
		Sharing:    config.Sharing,
	}
	if m.Metrics != nil {
		m.Metrics.NewGauge("berylroad_batch_jobs_owned", func() float64 { return float64(m.countOwned()) })
	}
	return m
}

// countOwned returns the number of open jobs that this host runs.
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

// countCall adds a finished item call to the metrics.
func (m *Manager) countCall(outcome beryloutcome.Kind) {
	if m.Metrics != nil {
		m.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_batch_calls_total{outcome=%q}", outcome)).Inc()
	}
}

// Run accepts, adopts and runs jobs until ctx ends. It then cancels the items in flight, commits the finished results and
// releases this host's jobs.
func (m *Manager) Run(ctx context.Context) {
	itemContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	m.mu.Lock()
	m.itemContext = itemContext
	m.mu.Unlock()
	following, stopFollowing := context.WithCancel(itemContext)
	var loops conc.WaitGroup
	loops.Go(func() { m.follower.Run(following) })
	loops.Go(func() { m.dispatchLoop(ctx) })
	loops.Go(func() { m.commitLoop(ctx) })
	loops.Go(func() { m.adoptLoop(ctx) })
	loops.Go(func() { m.progressLoop(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	stop()
	m.items.Wait()
	stopFollowing()
	loops.Wait()
	m.releaseJobs(true)
}

// Drain makes this host start no more items. It releases the jobs that have no items in flight and no uncommitted
// results; jobs that are submitted from now on are accepted without an owner, for other hosts to adopt.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.items.Go(func() { m.releaseJobs(false) })
}

// Synced reports whether this host has read all records at least once.
func (m *Manager) Synced() bool {
	return !m.follower.LastCurrent().IsZero()
}

// Records returns the follower of the jobs' records.
func (m *Manager) Records() *berylstore.Follower {
	return &m.follower
}

// reset replaces the known records by a full listing as of a store revision.
func (m *Manager) reset(items []berylstore.Item, asOf int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[jobID(item.Key)] = true
		m.followRecord(item, asOf)
	}
	for id, j := range m.jobs {
		if !present[id] && j.revision <= asOf {
			m.dropJob(id)
		}
	}
}

// apply applies changes of records that the follower has received.
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
		m.followRecord(e.Item, e.Revision)
	}
}

// followRecord installs a record that the follower has received; asOf is the revision up to which this host has seen all records. The
// caller holds mu.
func (m *Manager) followRecord(item berylstore.Item, asOf int64) {
	isNew := m.jobs[jobID(item.Key)] == nil
	if j := m.installRecord(item); j != nil && isNew && item.Revision <= asOf {
		m.noteAcceptance(j)
	}
}

// installRecord applies a stored record unless this host has a newer one, and stops or cancels the job's items if the
// record says that another host owns the job or that it was cancelled. The caller holds mu.
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
	if j.record.Owner != record.Owner || j.record.Boot != record.Boot {
		j.ownerSince = time.Now()
	}
	j.record, j.revision = record, item.Revision
	m.Routes.RecordUse(j.acceptance())
	if !m.owns(j) && j.isRunningHere() {
		j.stop()
		m.Log.WithFields(logrus.Fields{"job": id, "owner": record.Owner, "revision": item.Revision}).Info("job: lost to another host")
	}
	if record.Cancelled && wasOpen {
		j.cancelItems()
		m.Log.WithFields(logrus.Fields{"job": id, "revision": item.Revision}).Info("job: cancelled by its caller")
	}
	j.notifyReaders()
	m.signal(m.wakeDispatch)
	return j
}

// dropJob stops and forgets a job whose record was deleted; the caller holds mu.
func (m *Manager) dropJob(id string) {
	if j := m.jobs[id]; j != nil {
		j.stop()
		j.notifyReaders()
		delete(m.jobs, id)
		delete(m.waitingReports, id)
	}
}

// owns reports whether the record names this run of this host as the job's owner.
func (m *Manager) owns(j *job) bool {
	return j.record.Owner == m.Host && j.record.Boot == m.Boot
}

// signal wakes the loop that receives from c, unless a signal is pending already.
func (m *Manager) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
