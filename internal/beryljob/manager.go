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
	// scanInterval is the shortest time between two looks for jobs to take over when no member changes; the longest is
	// twice that.
	scanInterval = 10 * time.Second
	// minScanPause is the shortest time between two looks after changes of the members.
	minScanPause = time.Second
	scanLimit    = 1000
)

// Calls carries the items to upstreams.
type Calls interface {
	Do(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result
}

// Members tells which hosts are alive.
type Members interface {
	// Alive reports whether that run of the host is still a member.
	Alive(host string, boot uint64) bool
	// First reports whether this host comes first for the key among the live hosts.
	First(key string) bool
}

// Config says what the duty works with.
type Config struct {
	// Host is this host's name.
	Host string
	// Boot tells this run of the host from the next.
	Boot uint64
	// Platform holds the records.
	Platform Platform
	// Calls carries the items.
	Calls Calls
	// Members tells which hosts are alive.
	Members Members
	// MembersChanged returns a channel that is closed at the next change of the members; nil means scans by time alone.
	MembersChanged func() <-chan struct{}
	// Log takes changes of state.
	Log logrus.FieldLogger
}

// runnerSet are the jobs that this host runnerSet now.
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

// add starts a run unless the job runs here already or the host is stopping.
func (r *runnerSet) add(one *jobRunner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := one.record.ID
	if r.ctx.Err() != nil || r.byID[id] != nil {
		return
	}
	r.byID[id] = one
	r.workers.Go(func() {
		defer r.remove(id)
		one.run(r.ctx)
	})
}

func (r *runnerSet) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// shutdown cancels every run and waits for them.
func (r *runnerSet) shutdown() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.workers.Wait()
}

// openMarker lists a job that has not ended.
type openMarker struct {
	Nonce string `cbor:"1,keyasint"`
}

// Manager runs this host's jobs and takes over those whose owner is gone.
type Manager struct {
	Config
	store   store
	runners runnerSet
}

// New returns a duty that takes nothing over before Run.
func New(config Config) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{
		Config:  config,
		store:   store{platform: config.Platform},
		runners: runnerSet{ctx: ctx, stop: stop, byID: map[string]*jobRunner{}},
	}
}

// Run looks for jobs to take over until ctx ends, then waits for the running items to be given up.
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

// scan claims the open jobs whose owner is gone and that fall to this host.
func (m *Manager) scan(ctx context.Context) {
	from := ""
	for {
		page := m.Platform.List(ctx, openPrefix, scanLimit, from)
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

// takeOver makes this host the owner of a job whose owner is gone, and clears the mark of one that has ended.
func (m *Manager) takeOver(ctx context.Context, id string, mark int64) {
	record, revision, refusal := readValue[Record](ctx, m.store, jobPrefix+id)
	if refusal != nil || record == nil {
		return
	}
	if record.Done() {
		m.Platform.Remove(ctx, openPrefix+id, mark)
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

// isOwnedButNotRunning reports whether the record names this very run of the host, which does not run the job.
func (m *Manager) isOwnedButNotRunning(record *Record) bool {
	return record.Owner == m.Host && record.OwnerBoot == m.Boot
}

// start runs a job that this host owns.
func (m *Manager) start(record *Record, revision int64) {
	m.runners.add(newJobRunner(m, record, revision))
}

// requestReread makes a run of this host read its record again at once.
func (m *Manager) requestReread(id string) {
	if one := m.runners.get(id); one != nil {
		select {
		case one.rereadRequested <- struct{}{}:
		default:
		}
	}
}
