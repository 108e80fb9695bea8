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
	config   Config
	table    Table
	queue    chan message
	live     atomic.Pointer[[]Member]
	lastTick atomic.Int64 // time since the epoch of the last tick
	epoch    time.Time
	pauses   atomic.Uint64
	replaced atomic.Bool
	joined   chan struct{}
	mu       sync.Mutex
	changed  chan struct{}
	sends    conc.WaitGroup
}

// message is an event for the table; answer takes what the sender is to do, and is nil where nobody waits.
type message struct {
	event  Event
	answer chan []Action
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
		config.Log = quietLog()
	}
	h := &Membership{
		config:  config,
		table:   Table{Self: config.Self, Seed: config.Self.Boot},
		queue:   make(chan message, queueLength),
		epoch:   time.Now(),
		joined:  make(chan struct{}),
		changed: make(chan struct{}),
	}
	self := config.Self
	self.State = Alive
	h.live.Store(&[]Member{self})
	h.handle()
	h.gauges()
	return h
}

func (h *Membership) gauges() {
	h.config.Metrics.NewGauge("berylroad_host_live", func() float64 { return float64(len(h.Live())) })
	h.config.Metrics.NewGauge("berylroad_host_pauses_total", func() float64 { return float64(h.Pauses()) })
}

// Self returns this host as peers know it.
func (h *Membership) Self() Member {
	return h.config.Self
}

// Live returns the members that are up, suspects and this host included, sorted by name; the slice must not be changed.
func (h *Membership) Live() []Member {
	return *h.live.Load()
}

// Changed returns a channel that is closed at the next change of the live hosts, their runs or addresses.
func (h *Membership) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Joined returns a channel that is closed once a peer has been heard, or no candidate has answered for 3 seconds, or the
// candidates hold no other host; before SetCandidates only the first can happen.
func (h *Membership) Joined() <-chan struct{} {
	return h.joined
}

// Pauses counts how often this host has found that it was paused; what it owned before may have passed to others.
func (h *Membership) Pauses() uint64 {
	return h.pauses.Load()
}

// Lapsed says that the membership has not run for so long that others may have declared this host dead; owners ask it
// before they rely on their term.
func (h *Membership) Lapsed() bool {
	return time.Since(h.epoch)-time.Duration(h.lastTick.Load()) > PauseTimeout
}

// Replaced says that a later run of this host is up elsewhere.
func (h *Membership) Replaced() bool {
	return h.replaced.Load()
}

// SetCandidates replaces the hosts that the inventory and the platform's host list name; empty means not known yet.
func (h *Membership) SetCandidates(ctx context.Context, members []Member) {
	h.post(ctx, Candidates{Members: members})
}

// Leave announces the stop of this host and returns when the first peers have been told or the context ends.
func (h *Membership) Leave(ctx context.Context) {
	told := make(chan struct{})
	actions, ok := h.ask(ctx, Leave{})
	if !ok {
		return
	}
	var sends conc.WaitGroup
	for _, a := range actions {
		if probe, ok := a.(SendProbe); ok {
			sends.Go(func() { h.sendProbe(ctx, probe) })
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
func (h *Membership) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	defer h.sends.Wait()
	h.lastTick.Store(int64(time.Since(h.epoch)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.carryOut(ctx, h.table.Step(time.Now(), Tick{}))
			h.lastTick.Store(int64(time.Since(h.epoch)))
		case m := <-h.queue:
			actions := h.table.Step(time.Now(), m.event)
			if m.answer != nil {
				actions = handOver(m.answer, actions)
			}
			h.carryOut(ctx, actions)
		}
	}
}

// handOver gives the asker the actions that are its own to do and returns the others.
func handOver(answer chan []Action, actions []Action) []Action {
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

// carryOut does what the table wants done.
func (h *Membership) carryOut(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendProbe:
			h.sends.Go(func() { h.sendProbe(ctx, a) })
		case SendRelay:
			h.sends.Go(func() { h.sendRelay(ctx, a) })
		case SendSync:
			h.sends.Go(func() { h.sendSync(ctx, a) })
		case Changed:
			h.publish(a.Set)
		case Turned:
			h.turned(a)
		case Woke:
			h.pauses.Add(1)
			h.config.Log.WithField("pause", a.Pause).Warn("this host was paused")
			h.notify()
		case Replaced:
			h.replaced.Store(true)
			h.config.Log.Error("a later run of this host is up")
		case Joined:
			close(h.joined)
		}
	}
}

func (h *Membership) publish(set bool) {
	live := h.table.Live()
	h.live.Store(&live)
	if set {
		h.notify()
	}
}

func (h *Membership) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Membership) turned(t Turned) {
	name := fmt.Sprintf(`berylroad_host_turns_total{state=%q}`, t.Member.State.String())
	h.config.Metrics.GetOrCreateCounter(name).Inc()
	h.config.Log.WithFields(logrus.Fields{
		"member": t.Member.Name,
		"from":   t.From.String(),
		"to":     t.Member.State.String(),
	}).Info("host changed state")
}

func quietLog() logrus.FieldLogger {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return quiet
}
