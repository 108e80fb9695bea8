package berylpath

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// connectTimeout bounds the time to open a connection to an upstream, which takes a few milliseconds if it is up.
	connectTimeout = 600 * time.Millisecond
	// checkedUpstreams is how many upstreams a check tries to reach at once.
	checkedUpstreams = 3
	// isolatedSilenceTime is how long a call of an isolated host may go without any answer. Its request has hardly arrived, and it
	// holds a slot.
	isolatedSilenceTime = 1200 * time.Millisecond
	// tickInterval is the time between two looks whether a probe is due.
	tickInterval = 100 * time.Millisecond
)

// ErrNoPath means that neither this host nor any that it has asked reaches upstreams.
var ErrNoPath = errors.New("no host that could be asked reaches upstreams")

// Upstreams lists the known upstreams by ID.
type Upstreams interface {
	All() map[string]berylroute.Upstream
}

// Config configures Paths. All fields must be set.
type Config struct {
	// Upstreams lists the known upstreams.
	Upstreams Upstreams
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Carriers opens connections through other hosts.
	Carriers Carriers
	// Log receives a line when the state changes.
	Log logrus.FieldLogger
	// Metrics receives the counters.
	Metrics *metrics.Set
}

// Paths opens connections to upstreams, through other hosts while this host can't reach upstreams itself.
type Paths struct {
	Config

	monitor  monitor
	probing  atomic.Bool
	carriers carrierChoice
	tunnels  tunnelServer

	mu sync.Mutex
	// progressAt holds when bytes last arrived from each upstream.
	progressAt map[string]time.Time
	// calls holds the calls under way over connections of this host's own.
	calls map[*Call]struct{}
	// onRecovered is called when connections that were opened before can't be trusted any more.
	onRecovered func()
}

// New returns Paths. Isolation ends only while Run runs.
func New(config Config) *Paths {
	p := &Paths{Config: config, progressAt: make(map[string]time.Time), calls: make(map[*Call]struct{})}
	p.tunnels.paths = p
	config.Metrics.NewGauge("berylroad_path_isolated", func() float64 {
		if p.State() == Isolated {
			return 1
		}
		return 0
	})
	config.Metrics.NewGauge("berylroad_path_carried", func() float64 { return float64(p.tunnels.active.Load()) })
	return p
}

// State returns whether this host reaches upstreams itself.
func (p *Paths) State() State {
	return p.monitor.current()
}

// IsReachable returns false while this host reaches no upstream, or may not.
func (p *Paths) IsReachable() bool {
	return p.State() == Reachable
}

// OnRecovered sets what is called when a check has shown that new connections work while open ones have failed. It must be
// called before the first connection is opened.
func (p *Paths) OnRecovered(f func()) {
	p.onRecovered = f
}

// Connect opens a connection to an upstream. It also returns the host that carries the connection, or an empty name. Nothing
// has been sent if it fails.
func (p *Paths) Connect(ctx context.Context, upstream berylroute.Upstream) (net.Conn, string, error) {
	if p.State() == Isolated {
		conn, host, err := p.carry(ctx, upstream)
		p.countConnect(true, err)
		return conn, host, err
	}
	conn, err := p.connect(ctx, upstream)
	return conn, "", err
}

// connect opens a connection of this host's own and records whether that worked.
func (p *Paths) connect(ctx context.Context, upstream berylroute.Upstream) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.Dial(dialCtx, upstream.Address)
	now := time.Now()
	if err == nil {
		p.monitor.connected(now)
		return conn, nil
	}
	if ctx.Err() == nil && p.monitor.connectFailed(now, upstream.ID, len(p.Upstreams.All())) {
		p.beginCheck()
	}
	return nil, err
}

// progress records that bytes have arrived from an upstream over a connection of this host's own.
func (p *Paths) progress(now time.Time, upstream string) {
	p.monitor.progress(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progressAt[upstream] = now
}

// Call is a call under way over a connection of this host's own.
type Call struct {
	paths    *Paths
	upstream string
	abort    func()
	sentAt   time.Time
	answered bool // whether bytes have arrived; guarded by the mutex of paths
}

// BeginCall records a call. abort, which must not block, may be called while the call lasts.
func (p *Paths) BeginCall(upstream string, abort func()) *Call {
	c := &Call{paths: p, upstream: upstream, abort: abort, sentAt: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = struct{}{}
	return c
}

// Progress records that bytes have arrived.
func (c *Call) Progress() {
	now := time.Now()
	c.paths.monitor.progress(now)
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	c.paths.progressAt[c.upstream] = now
	c.answered = true
}

// End records the end of the call.
func (c *Call) End() {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	delete(c.paths.calls, c)
}

// upstreamsCalledBefore counts the upstreams with a call under way that was sent before the given time.
func (p *Paths) upstreamsCalledBefore(at time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	called := make(map[string]bool)
	for c := range p.calls {
		if c.sentAt.Before(at) {
			called[c.upstream] = true
		}
	}
	return len(called)
}

// abortUnanswered aborts the calls that were sent before the given time and have got no answer.
func (p *Paths) abortUnanswered(before time.Time) {
	p.mu.Lock()
	var unanswered []*Call
	for c := range p.calls {
		if !c.answered && c.sentAt.Before(before) {
			unanswered = append(unanswered, c)
		}
	}
	p.mu.Unlock()
	for _, c := range unanswered {
		c.abort()
	}
}

// BlamesUpstream records that a call of this host has failed and reports whether that is a fault of the upstream, as far as
// this host can tell. While the host may be isolated it is not.
func (p *Paths) BlamesUpstream(upstream string) bool {
	if p.State() != Reachable {
		return false
	}
	if p.monitor.callFailed(time.Now(), upstream, len(p.Upstreams.All())) {
		p.beginCheck()
		return false
	}
	return true
}

// ReachesOthers reports whether this host reaches any upstream but the given one.
func (p *Paths) ReachesOthers(ctx context.Context, upstream string) bool {
	return p.State() == Reachable && p.reachesAny(ctx, p.candidates(upstream))
}

// beginCheck tries in the background whether this host reaches any upstream.
func (p *Paths) beginCheck() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		candidates := p.candidates("")
		reached := p.reachesAny(ctx, candidates)
		p.monitor.checked(time.Now(), reached)
		if reached {
			p.Log.WithField("tried", candidateIDs(candidates)).Info("path: several upstreams failed or all were silent, but some are reached")
			if p.onRecovered != nil {
				p.onRecovered()
			}
			return
		}
		p.Metrics.GetOrCreateCounter("berylroad_path_isolations_total").Inc()
		p.Log.WithField("tried", candidateIDs(candidates)).Warn("path: isolated, no upstream is reached; connections go through other hosts")
	}()
}

// candidates returns up to checkedUpstreams upstreams, without the given one if there are others: those that have shown signs
// of life last.
func (p *Paths) candidates(except string) []berylroute.Upstream {
	all := p.Upstreams.All()
	list := make([]berylroute.Upstream, 0, len(all))
	for id, u := range all {
		if id != except || len(all) == 1 {
			list = append(list, u)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.progressAt {
		if _, known := all[id]; !known {
			delete(p.progressAt, id)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b berylroute.Upstream) int { return p.progressAt[b.ID].Compare(p.progressAt[a.ID]) })
	return list[:min(len(list), checkedUpstreams)]
}

func candidateIDs(list []berylroute.Upstream) string {
	var ids []string
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return fmt.Sprint(ids)
}

// reachesAny reports whether a connection to any of the upstreams can be opened.
func (p *Paths) reachesAny(ctx context.Context, list []berylroute.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	reached := make(chan bool, len(list))
	for _, u := range list {
		go func() { reached <- p.reaches(ctx, u.Address) }()
	}
	for range list {
		if <-reached {
			return true
		}
	}
	return false
}

// reaches reports whether a connection to the address can be opened. It closes the connection.
func (p *Paths) reaches(ctx context.Context, address string) bool {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // only its opening matters
	return true
}

// Run looks whether all upstreams are silent and, while this host is isolated, ends unanswered calls and tries to reach upstreams
// again. It returns when ctx ends.
func (p *Paths) Run(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if p.monitor.silent(now, p.upstreamsCalledBefore(now.Add(-silenceTime))) {
			p.beginCheck()
		}
		if p.State() == Isolated {
			p.abortUnanswered(now.Add(-isolatedSilenceTime))
		}
		if p.monitor.probeDue(now) && p.probing.CompareAndSwap(false, true) {
			probes.Go(func() {
				defer p.probing.Store(false)
				p.probe(ctx)
			})
		}
	}
}

// probe tries to reach one upstream.
func (p *Paths) probe(ctx context.Context) {
	list := slices.Collect(maps.Values(p.Upstreams.All()))
	if len(list) == 0 {
		return
	}
	reached := p.reachesAny(ctx, []berylroute.Upstream{list[rand.IntN(len(list))]})
	p.monitor.probed(time.Now(), reached)
	if p.State() == Reachable {
		p.Log.Info("path: upstreams are reached again")
	}
}

func (p *Paths) countConnect(carried bool, err error) {
	result := "opened"
	if err != nil {
		result = "failed"
	}
	p.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_path_connects_total{carried=\"%t\",result=%q}", carried, result)).Inc()
}
