package beryljob

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// scanInterval is the shortest time between two scans for jobs to take over while the members do not change. The
	// longest is twice that: the time is randomized so that hosts do not scan at once.
	scanInterval = 10 * time.Second
	// minScanPause is the shortest time between two scans when the members change.
	minScanPause = time.Second
	// scanPageSize is the number of open jobs that a scan lists with one call.
	scanPageSize = 1000
)

// Calls sends items to upstreams.
type Calls interface {
	// Do makes one call, writes its answer to sink and returns how it ended.
	Do(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result
}

// Members tells which hosts are alive.
type Members interface {
	// Alive reports whether the given run of the host is still a member.
	Alive(host string, boot uint64) bool
	// First reports whether this host comes first for the key among the live hosts.
	First(key string) bool
}

// Config configures a Manager.
type Config struct {
	// Host is this host's name.
	Host string
	// Boot identifies this run of the host's process.
	Boot uint64
	// Platform stores the uploaded files and the jobs' records, open markers and segments.
	Platform Platform
	// Calls sends items to upstreams.
	Calls Calls
	// Members tells which hosts are alive.
	Members Members
	// MembersChanged returns a channel that is closed at the next change of the members, which triggers a scan. If nil,
	// scans run by time only.
	MembersChanged func() <-chan struct{}
	// Log receives a line when a job changes its owner or its state, and when its input can't be used.
	Log logrus.FieldLogger
}

// runnerSet holds the runners of the jobs that this host runs.
type runnerSet struct {
	ctx     context.Context
	stop    context.CancelFunc
	mu      sync.Mutex
	byID    map[string]*jobRunner
	workers conc.WaitGroup
}

func (r *runnerSet) has(id string) bool {
	return r.get(id) != nil
}

func (r *runnerSet) get(id string) *jobRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// add starts a runner unless the job already runs on this host or the host is stopping.
func (r *runnerSet) add(runner *jobRunner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := runner.record.ID
	if r.ctx.Err() != nil || r.byID[id] != nil {
		return
	}
	r.byID[id] = runner
	r.workers.Go(func() {
		defer r.remove(id)
		runner.run(r.ctx)
	})
}

func (r *runnerSet) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// shutdown cancels all runners and waits for them to end.
func (r *runnerSet) shutdown() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.workers.Wait()
}

// openMarker is the value of the key that marks a job as open, so that scans find open jobs without reading all records.
type openMarker struct {
	Nonce string `cbor:"1,keyasint"`
}

// Manager accepts jobs, runs the jobs that this host owns and takes over jobs whose owner is down.
type Manager struct {
	Config
	store   store
	runners runnerSet
}

// New returns a manager that takes over no jobs until Run.
func New(config Config) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{
		Config:  config,
		store:   store{platform: config.Platform},
		runners: runnerSet{ctx: ctx, stop: stop, byID: map[string]*jobRunner{}},
	}
}

// Run scans for jobs to take over until ctx ends, then stops the runners of this host and waits for them to end. The jobs
// stay open, for other hosts to take over.
func (m *Manager) Run(ctx context.Context) {
	defer m.runners.shutdown()
	for {
		m.scan(ctx)
		var changed <-chan struct{}
		if m.MembersChanged != nil {
			changed = m.MembersChanged()
		}
		pause(ctx, minScanPause)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(scanInterval + rand.N(scanInterval)):
		}
	}
}

// scan lists the open jobs and tries to take over those for which this host comes first among the live hosts.
func (m *Manager) scan(ctx context.Context) {
	from := ""
	for {
		page := m.Platform.List(ctx, openPrefix, scanPageSize, from)
		if page.Status != beryletcd.Done {
			return
		}
		for i := range page.Records {
			id := strings.TrimPrefix(page.Records[i].Key, openPrefix)
			if !m.runners.has(id) && m.Members.First(id) {
				m.takeOver(ctx, id, page.Records[i].Revision)
			}
		}
		if page.Next == "" {
			return
		}
		from = page.Next
	}
}

// takeOver makes this host the owner of a job whose owner is down and starts it. If the job has ended, it removes the
// job's open marker, whose revision is markerRevision.
func (m *Manager) takeOver(ctx context.Context, id string, markerRevision int64) {
	record, revision, refusal := readValue[Record](ctx, m.store, jobPrefix+id)
	if refusal != nil || record == nil {
		return
	}
	if record.Done() {
		m.Platform.Remove(ctx, openPrefix+id, markerRevision)
		return
	}
	if m.Members.Alive(record.Owner, record.OwnerBoot) && !m.isOwnedButNotRunning(record) {
		return
	}
	record.Epoch++
	record.Owner = m.Host
	record.OwnerBoot = m.Boot
	record.Nonce = newNonce()
	outcome := m.Platform.SwapSettled(ctx, jobPrefix+id, encode(record), revision, 0)
	if outcome.Status != beryletcd.Done {
		return
	}
	m.Log.WithFields(logrus.Fields{"job": id, "epoch": record.Epoch}).Info("took over a job")
	m.start(record, outcome.Revision)
}

// isOwnedButNotRunning reports whether the record names this run of this host as the owner of a job that scan found not to
// be running here.
func (m *Manager) isOwnedButNotRunning(record *Record) bool {
	return record.Owner == m.Host && record.OwnerBoot == m.Boot
}

// start starts a runner for a job that this host owns.
func (m *Manager) start(record *Record, revision int64) {
	m.runners.add(newJobRunner(m, record, revision))
}

// requestReread makes the job's runner on this host, if there is one, read its record again at once.
func (m *Manager) requestReread(id string) {
	if runner := m.runners.get(id); runner != nil {
		select {
		case runner.rereadRequested <- struct{}{}:
		default:
		}
	}
}
