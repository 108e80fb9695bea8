package berylhost

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylwire"
)

const queueLength = 1024

// Config configures the membership of one host.
type Config struct {
	// Self is this host. New sets a zero Boot from the clock and an empty PeerAddress from the endpoint.
	Self Member
	// Endpoint reaches the peers; New registers its handlers there.
	Endpoint *berylwire.Endpoint
	// Digest returns the data to piggyback on probes. If it is nil, nothing is piggybacked.
	Digest func() Digest
	// Receive is called with the digest of a peer. It must not block.
	Receive func(peer string, d Digest)
	// Metrics registers the counters. If it is nil, a private set is used.
	Metrics *metrics.Set
	// Log receives the state changes. If it is nil, they are discarded.
	Log logrus.FieldLogger
}

// Membership runs the membership protocol of one host on real sockets and the real clock.
type Membership struct {
	config    Config
	table     Table
	events    chan queuedEvent
	live      atomic.Pointer[[]Member]
	lastTick  atomic.Int64 // time of the last tick, in nanoseconds since startedAt
	startedAt time.Time
	pauses    atomic.Uint64
	replaced  atomic.Bool
	joined    chan struct{}
	mu        sync.Mutex
	changed   chan struct{}
	sends     conc.WaitGroup
}

// queuedEvent is an event that waits for the table. reply receives the actions that the sender must carry out itself;
// it is nil if nobody waits for them.
type queuedEvent struct {
	event Event
	reply chan []Action
}

// New creates the membership and registers its handlers at the endpoint. Call it before the endpoint serves.
func New(config Config) *Membership {
	if config.Self.Boot == 0 {
		config.Self.Boot = uint64(time.Now().UnixNano())
	}
	if config.Self.PeerAddress == "" {
		config.Self.PeerAddress = config.Endpoint.Addr()
	}
	if config.Digest == nil {
		config.Digest = func() Digest { return Digest{} }
	}
	if config.Receive == nil {
		config.Receive = func(string, Digest) {}
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Log == nil {
		config.Log = discardLogger()
	}
	m := &Membership{
		config:    config,
		table:     Table{Self: config.Self, Seed: config.Self.Boot},
		events:    make(chan queuedEvent, queueLength),
		startedAt: time.Now(),
		joined:    make(chan struct{}),
		changed:   make(chan struct{}),
	}
	self := config.Self
	self.State = Alive
	m.live.Store(&[]Member{self})
	m.registerHandlers()
	m.registerGauges()
	return m
}

func (m *Membership) registerGauges() {
	m.config.Metrics.NewGauge("berylroad_host_live", func() float64 { return float64(len(m.Live())) })
	m.config.Metrics.NewGauge("berylroad_host_pauses_total", func() float64 { return float64(m.Pauses()) })
}

// Self returns this host's own entry, as peers know it.
func (m *Membership) Self() Member {
	return m.config.Self
}

// Live returns the members that are alive or suspect, including this host, sorted by name. The slice must not be
// modified.
func (m *Membership) Live() []Member {
	return *m.live.Load()
}

// Changed returns a channel that is closed at the next change of the live hosts, of their runs or of their addresses.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Joined returns a channel that is closed once this host has heard from a peer, or the candidates include no other
// host, or no candidate has answered for 3 seconds. Before the first call of SetCandidates only the first can happen.
func (m *Membership) Joined() <-chan struct{} {
	return m.joined
}

// Pauses returns how often this process was found to have been paused. After a pause other hosts may have taken over
// whatever this host owned.
func (m *Membership) Pauses() uint64 {
	return m.pauses.Load()
}

// Lapsed reports whether the membership has not run for so long that others may have declared this host dead. An owner
// must check it before it relies on its ownership.
func (m *Membership) Lapsed() bool {
	return time.Since(m.startedAt)-time.Duration(m.lastTick.Load()) > PauseTimeout
}

// Replaced reports whether a later run of this host is up elsewhere.
func (m *Membership) Replaced() bool {
	return m.replaced.Load()
}

// SetCandidates replaces the list of hosts named by the inventory and by the platform's host list. An empty list means
// that the hosts are not known yet.
func (m *Membership) SetCandidates(ctx context.Context, members []Member) {
	m.enqueue(ctx, Candidates{Members: members})
}

// Leave announces that this host stops. It returns when the first peers have been notified or ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	done := make(chan struct{})
	actions, ok := m.enqueueAndWait(ctx, Leave{})
	if !ok {
		return
	}
	var sends conc.WaitGroup
	for _, a := range actions {
		if probe, ok := a.(SendProbe); ok {
			sends.Go(func() { m.sendProbe(ctx, probe) })
		}
	}
	go func() {
		defer close(done)
		sends.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run runs the membership until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	defer m.sends.Wait()
	m.lastTick.Store(int64(time.Since(m.startedAt)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.execute(ctx, m.table.Step(time.Now(), Tick{}))
			m.lastTick.Store(int64(time.Since(m.startedAt)))
		case queued := <-m.events:
			actions := m.table.Step(time.Now(), queued.event)
			if queued.reply != nil {
				actions = splitActions(queued.reply, actions)
			}
			m.execute(ctx, actions)
		}
	}
}

// splitActions sends to reply the actions that the sender of the event must carry out itself, and returns the others.
func splitActions(reply chan []Action, actions []Action) []Action {
	var forSender, rest []Action
	for _, a := range actions {
		switch a.(type) {
		case Reply, ReplySync, SendProbe:
			forSender = append(forSender, a)
		default:
			rest = append(rest, a)
		}
	}
	reply <- forSender
	return rest
}

// execute carries out the actions of the table.
func (m *Membership) execute(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendProbe:
			m.sends.Go(func() { m.sendProbe(ctx, a) })
		case SendRelay:
			m.sends.Go(func() { m.sendRelay(ctx, a) })
		case SendSync:
			m.sends.Go(func() { m.sendSync(ctx, a) })
		case ViewChanged:
			m.publish(a.Members)
		case StateChanged:
			m.recordStateChange(a)
		case PauseDetected:
			m.pauses.Add(1)
			m.config.Log.WithField("pause", a.Pause).Warn("this host was paused")
			m.notify()
		case Replaced:
			m.replaced.Store(true)
			m.config.Log.Error("a later run of this host is up")
		case Joined:
			close(m.joined)
		}
	}
}

func (m *Membership) publish(membersChanged bool) {
	live := m.table.Live()
	m.live.Store(&live)
	if membersChanged {
		m.notify()
	}
}

func (m *Membership) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Membership) recordStateChange(t StateChanged) {
	name := fmt.Sprintf(`berylroad_host_turns_total{state=%q}`, t.Member.State.String())
	m.config.Metrics.GetOrCreateCounter(name).Inc()
	m.config.Log.WithFields(logrus.Fields{
		"member": t.Member.Name,
		"from":   t.From.String(),
		"to":     t.Member.State.String(),
	}).Info("host changed state")
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
