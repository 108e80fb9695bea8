package berylserve

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryljob"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylsettings"
	"berylroad.example/berylroad/internal/berylspread"
	"berylroad.example/berylroad/internal/berylwire"
)

// stopTimeout bounds a planned stop after the balancer's notice; it is the longest deadline a request may have by default.
const stopTimeout = 10 * time.Minute

// lastWrites bounds the part of a planned stop that needs the store: while it is away, what it has not taken by then is
// lost, as in a kill, and a repeat of such a call is told that its outcome is unknown.
const lastWrites = 15 * time.Second

// Config says what a host is made from.
type Config struct {
	// Settings are the process's settings.
	Settings berylsettings.Settings
	// Credentials prove this host's name to other hosts.
	Credentials berylwire.Credentials
	// Log takes changes of state.
	Log logrus.FieldLogger
}

// Host is one berylroad host with all its duties.
type Host struct {
	Config
	boot      uint64
	metrics   *metrics.Set
	store     *berylconf.Store
	platform  *beryletcd.Client
	wire      *berylwire.Endpoint
	members   *berylhost.Membership
	spread    *berylspread.Syncer
	scheduler *berylsched.Scheduler
	calls     *berylcall.Runner
	once      *berylonce.Manager
	limits    *beryllimit.Limiter
	jobs      *beryljob.Manager
	gate      *berylgate.Gate
	callers   net.Listener
	operators net.Listener
	upstreams *upstreamIndex
	listed    hostList
}

// New binds the host's addresses and puts its duties together; Run makes them work. It fails when an address is taken.
func New(config Config) (*Host, error) {
	h := &Host{
		Config:    config,
		boot:      uint64(time.Now().UnixNano()),
		metrics:   metrics.NewSet(),
		store:     &berylconf.Store{},
		upstreams: &upstreamIndex{},
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.assemble(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) listen() error {
	var err error
	s := &h.Settings
	if h.callers, err = net.Listen("tcp", s.CallerAddress); err != nil {
		return errors.WithHint(errors.Wrap(err, "caller-address"), "give each process an address of its own")
	}
	if h.operators, err = net.Listen("tcp", s.OperatorAddress); err != nil {
		return errors.WithHint(errors.Wrap(err, "operator-address"), "give each process an address of its own")
	}
	h.wire, err = berylwire.Listen(berylwire.Config{Name: s.Host, Address: s.PeerAddress, Credentials: h.Credentials, Metrics: h.metrics})
	return errors.Wrap(err, "peer-address")
}

func (h *Host) closeListeners() {
	if h.callers != nil {
		_ = h.callers.Close()
	}
	if h.operators != nil {
		_ = h.operators.Close()
	}
	if h.wire != nil {
		h.wire.Close()
	}
}

// assemble makes the duties in the order in which they need each other.
func (h *Host) assemble() error {
	var err error
	h.platform, err = beryletcd.New(beryletcd.Config{Endpoints: h.Settings.Platform, Metrics: h.metrics, Log: h.Log})
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	h.members = berylhost.New(berylhost.Config{
		Self: berylhost.Member{
			Name:          h.Settings.Host,
			Region:        h.Settings.Region,
			FailureDomain: h.Settings.FailureDomain,
			Boot:          h.boot,
		},
		Endpoint: h.wire,
		Digest:   h.digest,
		Receive:  h.receive,
		Metrics:  h.metrics,
		Log:      h.Log,
	})
	h.spread = berylspread.New(berylspread.Config{
		Store:     h.store,
		Platform:  h.platform,
		Peers:     newLinks(h),
		Seeds:     seedNames(h.Settings.Peers),
		IsWatcher: h.watchesPlatform,
		Metrics:   h.metrics,
		Log:       h.Log,
	})
	h.scheduler = berylsched.New(berylsched.Settings{
		Host:      h.Settings.Host,
		Boot:      h.boot,
		Transport: newLinks(h),
		Metrics:   h.metrics,
		Log:       h.Log,
	})
	h.calls = &berylcall.Runner{Permits: h.scheduler, URL: h.upstreams.url, Rules: h.store.Rules, Metrics: h.metrics}
	view := &memberView{host: h}
	h.once = berylonce.New(berylonce.Config{
		Host:    h.Settings.Host,
		Boot:    h.boot,
		Store:   h.platform,
		Alive:   view.Alive,
		Metrics: h.metrics,
	})
	h.jobs = beryljob.New(beryljob.Config{
		Host:           h.Settings.Host,
		Boot:           h.boot,
		Platform:       h.platform,
		Calls:          h.calls,
		Members:        view,
		MembersChanged: h.members.Changed,
		Log:            h.Log,
	})
	h.limits = beryllimit.New(beryllimit.Config{
		Self:         h.Settings.Host,
		LiveHosts:    h.liveNames,
		Document:     h.store.Current,
		RequestLease: newLinks(h).AskLimit,
		Metrics:      h.metrics,
	})
	h.gate = berylgate.New(berylgate.Config{
		Host:           h.Settings.Host,
		Boot:           h.boot,
		Document:       h.store.Current,
		Calls:          h.calls,
		Idempotency:    h.once,
		Limits:         h.limits,
		Ready:          h.ready,
		Metrics:        h.metrics,
		Log:            h.Log,
		Mount:          h.jobs.Mount,
		BalancerNotice: h.Settings.BalancerNotice.Std(),
	})
	h.registerHandlers()
	return nil
}

// CallerAddress returns the address that callers reach.
func (h *Host) CallerAddress() string {
	return h.callers.Addr().String()
}

// PeerAddress returns the address that other hosts reach.
func (h *Host) PeerAddress() string {
	return h.wire.Addr()
}

// OperatorAddress returns the address of metrics and health.
func (h *Host) OperatorAddress() string {
	return h.operators.Addr().String()
}

// Run serves until ctx ends and then stops as planned: unready, the balancer's notice, running requests to their end.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties conc.WaitGroup
	failed := make(chan error, 1)
	for _, duty := range []func(context.Context){
		h.wire.Serve, h.members.Run, h.spread.Run, h.scheduler.Run, h.once.Run, h.limits.Run, h.follow, h.readHostList, h.serveOperators,
	} {
		duties.Go(func() { duty(work) })
	}
	jobs, stopJobs := context.WithCancel(work)
	defer stopJobs()
	var jobDuty conc.WaitGroup
	jobDuty.Go(func() { h.jobs.Run(jobs) })
	duties.Go(func() { failed <- h.gate.Serve(h.callers) })

	var err error
	select {
	case <-ctx.Done():
		err = h.stop(func() { stopJobs(); jobDuty.Wait() })
	case err = <-failed:
	}
	stopJobs()
	jobDuty.Wait()
	stop()
	duties.Wait()
	h.calls.Close()
	h.platform.Close()
	return err
}

// stop lets callers' requests end, gives the jobs up and tells the other hosts.
func (h *Host) stop(stopJobs func()) error {
	h.Log.Info("stopping: unready, finishing what runs")
	ctx, cancel := context.WithTimeout(context.Background(), h.Settings.BalancerNotice.Std()+stopTimeout)
	defer cancel()
	err := h.gate.Shutdown(ctx)
	stopJobs()
	writing, done := context.WithTimeout(ctx, lastWrites)
	defer done()
	left := h.once.Flush(writing)
	h.members.Leave(ctx)
	h.Log.WithField("ends-not-recorded", left).Info("stopped")
	return errors.Wrap(err, "planned stop")
}

// ready reports whether this host has a configuration and has looked for its peers.
func (h *Host) ready() bool {
	if h.store.Current() == nil {
		return false
	}
	select {
	case <-h.members.Joined():
		return true
	default:
		return false
	}
}

// seedNames returns the names in a list of NAME=ADDRESS.
func seedNames(peers []string) []string {
	var names []string
	for _, peer := range peers {
		name, _, _ := strings.Cut(peer, "=")
		names = append(names, name)
	}
	return names
}
