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

// gatherRecords is how long changes of records gather before the next watch, so that they cost one call together. It is
// short beside the seconds within which an ended job must stop.
const gatherRecords = 700 * time.Millisecond

// sharedRecords is how long a watch of the records waits that is made for other hosts too: with it the end of a job is
// known everywhere within 3 s, as operators demand (TestSharedWatchOfSlowPrefix).
const sharedRecords = time.Second

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

	mu       sync.Mutex
	jobs     map[string]*job
	asking   map[string]int // permits asked for, by service
	pace     pace
	cache    progressCache
	wake     chan struct{}
	commit   chan struct{}
	stopping bool
	items    sync.WaitGroup // of sync, so that a panic ends the process at once
	work     context.Context
}

// New returns a duty that does nothing until Run.
func New(config Config) *Manager {
	d := &Manager{
		Config: config,
		jobs:   make(map[string]*job),
		asking: make(map[string]int),
		wake:   make(chan struct{}, 1),
		commit: make(chan struct{}, 1),
	}
	if d.WriteProgress == nil {
		d.WriteProgress = d.recordAlone
	}
	d.follower = berylstore.Follower{
		Store:      config.Store,
		Prefix:     RecordPrefix,
		Debounce:   gatherRecords,
		SharedWait: sharedRecords,
		Reset:      d.reset,
		Apply:      d.apply,
		Log:        config.Log,
		Sharing:    config.Share,
	}
	if d.Metrics != nil {
		d.Metrics.NewGauge("berylroad_batch_jobs_owned", func() float64 { return float64(d.owned()) })
	}
	return d
}

// owned counts the open jobs that this host runs.
func (d *Manager) owned() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, j := range d.jobs {
		if j.running() && j.record.Open() {
			n++
		}
	}
	return n
}

// count counts a call for an item by how it ended.
func (d *Manager) count(outcome beryloutcome.Kind) {
	if d.Metrics != nil {
		d.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_batch_calls_total{outcome=%q}", outcome)).Inc()
	}
}

// Run works until ctx ends; the items in flight are then broken off and what is finished is listed.
func (d *Manager) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.mu.Lock()
	d.work = work
	d.mu.Unlock()
	following, stopFollowing := context.WithCancel(work)
	var duties conc.WaitGroup
	duties.Go(func() { d.follower.Run(following) })
	duties.Go(func() { d.dispatch(ctx) })
	duties.Go(func() { d.commitLoop(ctx) })
	duties.Go(func() { d.adoptLoop(ctx) })
	duties.Go(func() { d.progressLoop(ctx) })
	<-ctx.Done()
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	stop()
	d.items.Wait()
	stopFollowing()
	duties.Wait()
	d.handOver(true)
}

// Drain makes this host start no more items: it gives back the jobs of which none is running, and takes new ones only for
// others to adopt.
func (d *Manager) Drain() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	d.items.Go(func() { d.handOver(false) })
}

// Synced says that this host has seen the records once.
func (d *Manager) Synced() bool {
	return !d.follower.LastCurrent().IsZero()
}

// Records is the follower of the jobs' records.
func (d *Manager) Records() *berylstore.Follower {
	return &d.follower
}

// reset takes all records.
func (d *Manager) reset(items []berylstore.Item, asOf int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[jobOf(item.Key)] = true
		d.take(item)
	}
	for id, j := range d.jobs {
		if !listed[id] && j.revision <= asOf {
			d.forget(id)
		}
	}
}

// apply takes changes of records.
func (d *Manager) apply(events []berylstore.Event, _ int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			if j := d.jobs[jobOf(e.Key)]; j != nil && j.revision < e.Revision {
				d.forget(jobOf(e.Key))
			}
			continue
		}
		d.take(e.Item)
	}
}

// take installs a record unless a newer one is known; the caller holds mu.
func (d *Manager) take(item berylstore.Item) *job {
	id := jobOf(item.Key)
	j := d.jobs[id]
	if j != nil && j.revision >= item.Revision {
		return j
	}
	record, err := decode[Record](item.Value)
	if err != nil {
		d.Log.WithError(err).WithField("job", id).Error("job: record can't be read")
		return j
	}
	if j == nil {
		j = &job{id: id, changed: make(chan struct{})}
		d.jobs[id] = j
	}
	wasOpen := j.record.Open()
	j.record, j.revision = record, item.Revision
	if !d.owns(j) && j.running() {
		j.stop()
		d.Log.WithFields(logrus.Fields{"job": id, "owner": record.Owner, "revision": item.Revision}).Info("job: lost to another host")
	}
	if record.Ended && wasOpen {
		j.cancelItems()
		d.Log.WithFields(logrus.Fields{"job": id, "revision": item.Revision}).Info("job: ended by its caller")
	}
	j.wakeReaders()
	d.nudge(d.wake)
	return j
}

func (d *Manager) forget(id string) {
	if j := d.jobs[id]; j != nil {
		j.stop()
		j.wakeReaders()
		delete(d.jobs, id)
	}
}

// owns says whether this run of this host runs the job.
func (d *Manager) owns(j *job) bool {
	return j.record.Owner == d.Host && j.record.Boot == d.Boot
}

func (d *Manager) nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
