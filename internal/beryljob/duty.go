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
	// scanPause is the shortest time between two looks after changes of the members.
	scanPause = time.Second
	scanLimit = 1000
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

// runs are the jobs that this host runs now.
type runs struct {
	ctx     context.Context
	stop    context.CancelFunc
	mu      sync.Mutex
	byID    map[string]*run
	workers conc.WaitGroup
}

func (r *runs) has(id string) bool {
	return r.get(id) != nil
}

func (r *runs) get(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// add starts a run unless the job runs here already or the host is stopping.
func (r *runs) add(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := one.record.ID
	if r.ctx.Err() != nil || r.byID[id] != nil {
		return
	}
	r.byID[id] = one
	r.workers.Go(func() {
		defer r.remove(id)
		one.work(r.ctx)
	})
}

func (r *runs) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// end cancels every run and waits for them.
func (r *runs) end() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.workers.Wait()
}

// openMark lists a job that has not ended.
type openMark struct {
	Nonce string `cbor:"1,keyasint"`
}

// Manager runs this host's jobs and takes over those whose owner is gone.
type Manager struct {
	Config
	store store
	runs  runs
}

// New returns a duty that takes nothing over before Run.
func New(config Config) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{
		Config: config,
		store:  store{platform: config.Platform},
		runs:   runs{ctx: ctx, stop: stop, byID: map[string]*run{}},
	}
}

// Run looks for jobs to take over until ctx ends, then waits for the running items to be given up.
func (d *Manager) Run(ctx context.Context) {
	defer d.runs.end()
	for {
		d.scan(ctx)
		var changed <-chan struct{}
		if d.MembersChanged != nil {
			changed = d.MembersChanged()
		}
		pause(ctx, scanPause)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(scanInterval + rand.N(scanInterval)):
		}
	}
}

// scan claims the open jobs whose owner is gone and that fall to this host.
func (d *Manager) scan(ctx context.Context) {
	from := ""
	for {
		page := d.Platform.List(ctx, openPrefix, scanLimit, from)
		if page.Status != beryletcd.Done {
			return
		}
		for i := range page.Records {
			id := strings.TrimPrefix(page.Records[i].Key, openPrefix)
			if !d.runs.has(id) && d.Members.First(id) {
				d.claim(ctx, id, page.Records[i].Revision)
			}
		}
		if page.Next == "" {
			return
		}
		from = page.Next
	}
}

// claim makes this host the owner of a job whose owner is gone, and clears the mark of one that has ended.
func (d *Manager) claim(ctx context.Context, id string, mark int64) {
	record, revision, refusal := get[Record](ctx, d.store, jobPrefix+id)
	if refusal != nil || record == nil {
		return
	}
	if record.Done() {
		d.Platform.Remove(ctx, openPrefix+id, mark)
		return
	}
	if d.Members.Alive(record.Owner, record.OwnerBoot) && !d.isOrphan(record) {
		return
	}
	record.Epoch++
	record.Owner = d.Host
	record.OwnerBoot = d.Boot
	record.Nonce = newNonce()
	outcome := d.Platform.SwapSettled(ctx, jobPrefix+id, encode(record), revision, 0)
	if outcome.Status != beryletcd.Done {
		return
	}
	d.Log.WithFields(logrus.Fields{"job": id, "epoch": record.Epoch}).Info("took over a job")
	d.start(record, outcome.Revision)
}

// isOrphan reports whether the record names this very run of the host, which does not run the job.
func (d *Manager) isOrphan(record *Record) bool {
	return record.Owner == d.Host && record.OwnerBoot == d.Boot
}

// start runs a job that this host owns.
func (d *Manager) start(record *Record, revision int64) {
	d.runs.add(newRun(d, record, revision))
}

// poke makes a run of this host read its record again at once.
func (d *Manager) poke(id string) {
	if one := d.runs.get(id); one != nil {
		select {
		case one.poked <- struct{}{}:
		default:
		}
	}
}
