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

// Config describes the membership duty of one host.
type Config struct {
	// Self is this host; a zero Boot is set from the clock and an empty PeerAddress from the endpoint.
	Self Member
	// Endpoint reaches the peers; New registers its handlers there.
	Endpoint *berylwire.Endpoint
	// Digest gives what to tell peers on probes; nil tells nothing.
	Digest func() Digest
	// Receive takes what a peer tells; it must not block.
	Receive func(peer string, d Digest)
	// Metrics takes the counters; nil keeps them to the host.
	Metrics *metrics.Set
	// Log takes the changes of state; nil discards them.
	Log logrus.FieldLogger
}

// Membership runs the membership duty.
type Membership struct {
	config    Config
	table     Table
	queue     chan queuedEvent
	live      atomic.Pointer[[]Member]
	lastTick  atomic.Int64 // time since the epoch of the last tick
	startedAt time.Time
	pauses    atomic.Uint64
	replaced  atomic.Bool
	joined    chan struct{}
	mu        sync.Mutex
	changed   chan struct{}
	sends     conc.WaitGroup
}

// queuedEvent is an event for the table; answer takes what the sender is to do, and is nil where nobody waits.
type queuedEvent struct {
	event Event
	reply chan []Action
}

// New registers the membership's handlers at the endpoint; call it before the endpoint serves.
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
		queue:     make(chan queuedEvent, queueLength),
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

// Self returns this host as peers know it.
func (m *Membership) Self() Member {
	return m.config.Self
}

// Live returns the members that are up, suspects and this host included, sorted by name; the slice must not be changed.
func (m *Membership) Live() []Member {
	return *m.live.Load()
}

// Changed returns a channel that is closed at the next change of the live hosts, their runs or addresses.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Joined returns a channel that is closed once a peer has been heard, or no candidate has answered for 3 seconds, or the
// candidates hold no other host; before SetCandidates only the first can happen.
func (m *Membership) Joined() <-chan struct{} {
	return m.joined
}

// Pauses counts how often this host has found that it was paused; what it owned before may have passed to others.
func (m *Membership) Pauses() uint64 {
	return m.pauses.Load()
}

// Lapsed says that the membership has not run for so long that others may have declared this host dead; owners ask it
// before they rely on their term.
func (m *Membership) Lapsed() bool {
	return time.Since(m.startedAt)-time.Duration(m.lastTick.Load()) > PauseTimeout
}

// Replaced says that a later run of this host is up elsewhere.
func (m *Membership) Replaced() bool {
	return m.replaced.Load()
}

// SetCandidates replaces the hosts that the inventory and the platform's host list name; empty means not known yet.
func (m *Membership) SetCandidates(ctx context.Context, members []Member) {
	m.enqueue(ctx, Candidates{Members: members})
}

// Leave announces the stop of this host and returns when the first peers have been told or the context ends.
func (m *Membership) Leave(ctx context.Context) {
	told := make(chan struct{})
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
		defer close(told)
		sends.Wait()
	}()
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// Run keeps the membership until the context ends.
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
		case queued := <-m.queue:
			actions := m.table.Step(time.Now(), queued.event)
			if queued.reply != nil {
				actions = splitActions(queued.reply, actions)
			}
			m.execute(ctx, actions)
		}
	}
}

// splitActions gives the asker the actions that are its own to do and returns the others.
func splitActions(answer chan []Action, actions []Action) []Action {
	var mine, rest []Action
	for _, a := range actions {
		switch a.(type) {
		case Reply, ReplySync, SendProbe:
			mine = append(mine, a)
		default:
			rest = append(rest, a)
		}
	}
	answer <- mine
	return rest
}

// execute does what the table wants done.
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

func (m *Membership) publish(set bool) {
	live := m.table.Live()
	m.live.Store(&live)
	if set {
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
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return quiet
}
