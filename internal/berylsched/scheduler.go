package berylsched

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Transport sends messages to other hosts. On an error the other host may or may not have received the message.
type Transport interface {
	// RequestPermit sends a permit request to an owner and waits for the reply.
	RequestPermit(ctx context.Context, host string, req berylpermit.Request) (berylpermit.Reply, error)
	// Withdraw tells an owner that a permit request is no longer wanted.
	Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error
	// Release gives a permit back to its owner.
	Release(ctx context.Context, host string, release berylpermit.Release) error
	// SendYield tells the holder of a batch permit to give it back.
	SendYield(ctx context.Context, host string, yield berylpermit.Yield) error
	// SendHeldReport reports held permits to an owner.
	SendHeldReport(ctx context.Context, host string, held berylpermit.HeldReport) error
	// SendStatement reports what an upstream's answer says to the upstream's owner.
	SendStatement(ctx context.Context, host string, report berylpermit.StatementReport) error
}

// Paths tells whether this host reaches upstreams, so that faults of its own network are not held against them. Its methods must
// return quickly.
type Paths interface {
	// BlamesUpstream is told of each fault of a call of this host and reports whether it counts as a fault of the upstream.
	BlamesUpstream(upstream string) bool
	// IsReachable returns false while this host reaches no upstream, or may not.
	IsReachable() bool
}

// Settings are the parameters and dependencies of a Scheduler.
type Settings struct {
	// Host is this host's name.
	Host string
	// Boot distinguishes the runs of the host; a later run has a higher number.
	Boot uint64
	// Transport sends messages to other hosts; it is never called for this host.
	Transport Transport
	// Owner assigns upstreams to hosts; nil means RendezvousOwner.
	Owner OwnerFunc
	// OnLeaving is told, possibly again, that a run of an upstream (see berylpermit.Statement) has said that it leaves: in an
	// answer that this host has just received, or as other hosts report. nil ignores that. It must return quickly. The next
	// configuration has to list the upstream as leaving.
	OnLeaving func(upstream string, run int64, answered bool)
	// Paths tells whether this host reaches upstreams; nil means that it always does.
	Paths Paths
	// AdaptivePace makes new and recovered upstreams get slots as they show that they can handle them (package berylpace).
	// Without it, new ones get all slots at once, and recovered ones half and then a tenth at each evaluation.
	AdaptivePace bool
	// Metrics is where the metrics are registered; nil leaves them unpublished.
	Metrics *metrics.Set
	// Log is the logger for changes of state; nil means logrus's standard logger.
	Log logrus.FieldLogger
}

// Scheduler runs one host's Owner and is the broker for the host's own requests.
type Scheduler struct {
	Settings
	loop     *ownerLoop
	outbox   outbox
	held     heldPermits
	counters counters
	peers    peerTracker
	table    atomic.Pointer[table]
	seq      atomic.Uint64

	// mu guards the inputs of the table.
	mu      sync.Mutex
	doc     berylconf.Document
	members []Member
}

// New returns a Scheduler. It sends nothing and handles no events until Run is called.
func New(settings Settings) *Scheduler {
	s := &Scheduler{Settings: settings}
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewSet()
	}
	s.counters = newCounters(s.Metrics)
	s.loop = newOwnerLoop(s)
	s.loop.owner.AdaptivePace = s.AdaptivePace
	s.outbox = newOutbox(s)
	s.table.Store(newTable(berylconf.Document{}, nil, s.Host, s.Owner, nil))
	return s
}

// Run runs the scheduler until ctx ends, and returns when its goroutines have ended.
func (s *Scheduler) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.loop.run(ctx) })
	wg.Go(func() { s.reportHeld(ctx) })
	wg.Go(func() { s.outbox.run(ctx) })
	wg.Wait()
}

// SetConfig installs a configuration, unless it has the revision and the leaving names of the current one. It may be called at
// any time, also before Run.
func (s *Scheduler) SetConfig(doc berylconf.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Revision != 0 && doc.Revision == s.doc.Revision && slices.Equal(doc.Rules.Leaving, s.doc.Rules.Leaving) {
		return
	}
	s.setConfig(doc)
	s.installTable()
}

// SetMembers sets the list of live hosts, this one included. Permits of runs that are no longer listed are freed.
func (s *Scheduler) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setMembers(members) {
		s.installTable()
	}
}

// SetConfigAndMembers sets the configuration and the list of live hosts together, with a single new table. It does nothing
// if neither has changed. A configuration counts as changed only if sameInventory finds a difference, so that a change of
// other rules alone is ignored.
func (s *Scheduler) SetConfigAndMembers(doc berylconf.Document, members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	configured := !sameInventory(&doc, &s.doc)
	if configured {
		s.setConfig(doc)
	}
	if s.setMembers(members) || configured {
		s.installTable()
	}
}

// sameInventory reports whether two documents have the same hosts, upstreams and names of leaving hosts and upstreams.
func sameInventory(a, b *berylconf.Document) bool {
	return slices.Equal(a.Inventory.Hosts, b.Inventory.Hosts) && slices.Equal(a.Rules.Leaving, b.Rules.Leaving) &&
		slices.EqualFunc(a.Inventory.Upstreams, b.Inventory.Upstreams, func(u, v berylconf.Upstream) bool {
			return u.Name == v.Name && u.Region == v.Region && u.Service == v.Service && u.Version == v.Version && u.Slots == v.Slots && slices.Equal(u.Models, v.Models)
		})
}

// setConfig stores a configuration and passes it to the Owner. The caller holds mu and calls installTable afterwards.
func (s *Scheduler) setConfig(doc berylconf.Document) {
	doc.Rules = doc.Rules.WithDefaults()
	s.doc = doc
	config := ownerConfig(doc)
	s.loop.postUrgent(func(o *Owner, now time.Time) []Action { return o.Configure(now, config) })
}

// setMembers stores the list of live hosts and reports whether it has changed. The caller holds mu and, after a change,
// calls installTable.
func (s *Scheduler) setMembers(members []Member) bool {
	if slices.Equal(members, s.members) {
		return false
	}
	for _, old := range s.members {
		if !containsRun(members, old) {
			s.loop.postUrgent(func(o *Owner, now time.Time) []Action { return o.RemoveHost(now, old.Name, old.Boot) })
		}
	}
	s.members = slices.Clone(members)
	return true
}

func containsRun(members []Member, run Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == run.Name && m.Boot == run.Boot })
}

// installTable builds and publishes a new table and wakes those who wait on the previous one. The caller holds mu.
func (s *Scheduler) installTable() {
	previous := s.table.Load()
	next := newTable(s.doc, s.members, s.Host, s.Owner, previous)
	owned := next.ownedBy(s.Host)
	s.loop.postUrgent(func(o *Owner, now time.Time) []Action { return o.SetOwned(now, owned) })
	s.table.Store(next)
	close(previous.replaced)
}

// Loads returns the loads of the upstreams that this host owns, as of the last loadShareInterval, for other hosts.
func (s *Scheduler) Loads() []berylpermit.Load {
	if loads := s.loop.loads.Load(); loads != nil {
		return *loads
	}
	return nil
}

// Owners returns the owner of each upstream by this host's current table.
func (s *Scheduler) Owners() map[string]string {
	owners := make(map[string]string)
	for name, p := range s.table.Load().placements {
		owners[name] = p.owner
	}
	return owners
}

// RecordLoads stores the loads that other hosts report for the upstreams that they own.
func (s *Scheduler) RecordLoads(loads []berylpermit.Load) {
	s.table.Load().recordLoads(time.Now(), loads)
	s.recordLeaving(loads)
}

func ownerConfig(doc berylconf.Document) Config {
	leaving := make(map[string]bool, len(doc.Rules.Leaving))
	for _, name := range doc.Rules.Leaving {
		leaving[name] = true
	}
	config := Config{LongShare: doc.Rules.LongShare}
	for _, u := range doc.Inventory.Upstreams {
		config.Upstreams = append(config.Upstreams, Upstream{
			Name:    u.Name,
			Slots:   u.Slots,
			Targets: u.Targets(),
			Leaving: leaving[u.Name],
		})
	}
	return config
}

// logHealth logs and counts that an owned upstream was ejected or is back in use.
func (s *Scheduler) logHealth(c HealthChange) {
	log := s.Log.WithFields(logrus.Fields{"upstream": c.Upstream, "reported-by": c.ReportedBy})
	if !c.Ejected {
		log.Info("upstream: back in use")
		return
	}
	s.counters.ejections(c.Cause).Inc()
	log.WithField("cause", c.Cause).Info("upstream: ejected")
}

// logPace logs and counts a change of the number of slots that an owned upstream may use.
func (s *Scheduler) logPace(c PaceChange) {
	s.counters.paceChanges(c.Cause.String()).Inc()
	s.Log.WithFields(logrus.Fields{"upstream": c.Upstream, "pace": c.Limit, "slots": c.Slots, "cause": c.Cause.String()}).Info("upstream: pace")
}

// nextID returns the ID for a new permit request.
func (s *Scheduler) nextID() berylpermit.ID {
	return berylpermit.ID{Host: s.Host, Boot: s.Boot, Seq: s.seq.Add(1)}
}

// errSenderMismatch is returned for a message that a host sends in the name of another one.
var errSenderMismatch = errors.New("message names a host other than its sender")
