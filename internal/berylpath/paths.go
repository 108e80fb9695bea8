package berylpath

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylroute"
)

// ConnectTimeout bounds the time to open a connection to an upstream, which takes a few milliseconds if it is up.
const ConnectTimeout = 600 * time.Millisecond

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
	// carried counts the connections that other hosts carry for this one.
	carried atomic.Int64

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
	dialCtx, cancel := context.WithTimeout(ctx, ConnectTimeout)
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

func (p *Paths) countConnect(carried bool, err error) {
	result := "opened"
	if err != nil {
		result = "failed"
	}
	p.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_path_connects_total{carried=\"%t\",result=%q}", carried, result)).Inc()
}
