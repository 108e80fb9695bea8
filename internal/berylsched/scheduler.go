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

// Transport carries messages to other hosts; an error means that the other host may not have seen the message.
type Transport interface {
	// RequestPermit sends an ask and waits for the reply.
	RequestPermit(ctx context.Context, host string, req berylpermit.Request) (berylpermit.Reply, error)
	// Withdraw tells an owner that an ask is no longer wanted.
	Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error
	// Release gives a permit back to its owner.
	Release(ctx context.Context, host string, release berylpermit.Release) error
	// SendYield asks a holder for a batch permit.
	SendYield(ctx context.Context, host string, yield berylpermit.Yield) error
	// SendHeldReport reports held permits to an owner.
	SendHeldReport(ctx context.Context, host string, held berylpermit.HeldReport) error
}

// Settings are what a Scheduler needs from its process.
type Settings struct {
	// Host is this host's name.
	Host string
	// Boot tells this run of the host from others; a later run has a higher number.
	Boot uint64
	// Transport reaches other hosts; it is never called for this host.
	Transport Transport
	// Owner places upstreams on hosts; nil is RendezvousOwner.
	Owner OwnerFunc
	// Metrics takes the counters; nil keeps them unpublished.
	Metrics *metrics.Set
	// Log takes a line for each change of state; nil is logrus's standard logger.
	Log logrus.FieldLogger
}

// Scheduler is one host's part in scheduling: the owner of some upstreams, and the broker for the host's own requests.
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

// New returns a Scheduler that does nothing until Run.
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
	s.outbox = newOutbox(s)
	s.table.Store(newTable(berylconf.Document{}, nil, s.Host, s.Owner, nil))
	return s
}

// Run works until ctx ends and its goroutines have ended.
func (s *Scheduler) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.loop.run(ctx) })
	wg.Go(func() { s.reportHeld(ctx) })
	wg.Go(func() { s.outbox.run(ctx) })
	wg.Wait()
}

// SetConfig installs a configuration, unless it has the revision of the one in force; it may be called before Run and at
// any time after.
func (s *Scheduler) SetConfig(doc berylconf.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Revision != 0 && doc.Revision == s.doc.Revision {
		return
	}
	s.setConfig(doc)
	s.installTable()
}

// SetMembers installs the list of live hosts, this one included; runs of hosts that are gone lose their permits.
func (s *Scheduler) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setMembers(members) {
		s.installTable()
	}
}

// SetConfigAndMembers installs a configuration and the list of live hosts together, unless both are those in force.
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

// sameInventory says whether two documents place the same upstreams on the same hosts.
func sameInventory(a, b *berylconf.Document) bool {
	return slices.Equal(a.Inventory.Hosts, b.Inventory.Hosts) && slices.Equal(a.Rules.Leaving, b.Rules.Leaving) &&
		slices.EqualFunc(a.Inventory.Upstreams, b.Inventory.Upstreams, func(u, v berylconf.Upstream) bool {
			return u.Name == v.Name && u.Region == v.Region && u.Service == v.Service && u.Slots == v.Slots && slices.Equal(u.Models, v.Models)
		})
}

// setConfig takes a configuration; the caller holds mu and installs a table.
func (s *Scheduler) setConfig(doc berylconf.Document) {
	doc.Rules = doc.Rules.WithDefaults()
	s.doc = doc
	config := ownerConfig(doc)
	s.loop.postUrgent(func(o *Owner, now time.Time) []Action { return o.Configure(now, config) })
}

// setMembers takes the live hosts and says whether they are others than before; the caller holds mu and installs a table.
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

// installTable publishes a new table; the caller holds mu.
func (s *Scheduler) installTable() {
	previous := s.table.Load()
	next := newTable(s.doc, s.members, s.Host, s.Owner, previous)
	owned := next.ownedBy(s.Host)
	s.loop.postUrgent(func(o *Owner, now time.Time) []Action { return o.SetOwned(now, owned) })
	s.table.Store(next)
	close(previous.replaced)
}

// Loads describes the upstreams that this host owns, as of a moment ago, for other hosts.
func (s *Scheduler) Loads() []berylpermit.Load {
	if loads := s.loop.loads.Load(); loads != nil {
		return *loads
	}
	return nil
}

// Owners returns the owner of each upstream, as this host believes.
func (s *Scheduler) Owners() map[string]string {
	owners := make(map[string]string)
	for name, p := range s.table.Load().placements {
		owners[name] = p.owner
	}
	return owners
}

// RecordLoads takes what other hosts say of the upstreams that they own.
func (s *Scheduler) RecordLoads(loads []berylpermit.Load) {
	s.table.Load().recordLoads(time.Now(), loads)
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

// nextID names a new ask.
func (s *Scheduler) nextID() berylpermit.ID {
	return berylpermit.ID{Host: s.Host, Boot: s.Boot, Seq: s.seq.Add(1)}
}

// errSenderMismatch reports a message in another host's name.
var errSenderMismatch = errors.New("message names another host than its sender")
