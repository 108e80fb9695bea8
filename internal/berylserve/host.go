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

// shutdownTimeout bounds a planned stop after the balancer's notice; it is the longest deadline a request may have by default.
const shutdownTimeout = 10 * time.Minute

// finalWriteTimeout bounds the part of a planned stop that needs the store: while it is away, what it has not taken by then is
// lost, as in a kill, and a repeat of such a call is told that its outcome is unknown.
const finalWriteTimeout = 15 * time.Second

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
	boot             uint64
	metrics          *metrics.Set
	configStore      *berylconf.Store
	platform         *beryletcd.Client
	endpoint         *berylwire.Endpoint
	membership       *berylhost.Membership
	configSyncer     *berylspread.Syncer
	scheduler        *berylsched.Scheduler
	callRunner       *berylcall.Runner
	idempotency      *berylonce.Manager
	limiter          *beryllimit.Limiter
	jobManager       *beryljob.Manager
	gate             *berylgate.Gate
	callerListener   net.Listener
	operatorListener net.Listener
	upstreams        *upstreamIndex
	hostList         hostList
}

// New binds the host's addresses and puts its duties together; Run makes them work. It fails when an address is taken.
func New(config Config) (*Host, error) {
	h := &Host{
		Config:      config,
		boot:        uint64(time.Now().UnixNano()),
		metrics:     metrics.NewSet(),
		configStore: &berylconf.Store{},
		upstreams:   &upstreamIndex{},
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.buildComponents(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) listen() error {
	var err error
	s := &h.Settings
	if h.callerListener, err = net.Listen("tcp", s.CallerAddress); err != nil {
		return errors.WithHint(errors.Wrap(err, "caller-address"), "give each process an address of its own")
	}
	if h.operatorListener, err = net.Listen("tcp", s.OperatorAddress); err != nil {
		return errors.WithHint(errors.Wrap(err, "operator-address"), "give each process an address of its own")
	}
	h.endpoint, err = berylwire.Listen(berylwire.Config{Name: s.Host, Address: s.PeerAddress, Credentials: h.Credentials, Metrics: h.metrics})
	return errors.Wrap(err, "peer-address")
}

func (h *Host) closeListeners() {
	if h.callerListener != nil {
		_ = h.callerListener.Close()
	}
	if h.operatorListener != nil {
		_ = h.operatorListener.Close()
	}
	if h.endpoint != nil {
		h.endpoint.Close()
	}
}

// buildComponents makes the duties in the order in which they need each other.
func (h *Host) buildComponents() error {
	var err error
	h.platform, err = beryletcd.New(beryletcd.Config{Endpoints: h.Settings.Platform, Metrics: h.metrics, Log: h.Log})
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	h.membership = berylhost.New(berylhost.Config{
		Self: berylhost.Member{
			Name:          h.Settings.Host,
			Region:        h.Settings.Region,
			FailureDomain: h.Settings.FailureDomain,
			Boot:          h.boot,
		},
		Endpoint: h.endpoint,
		Digest:   h.localDigest,
		Receive:  h.receiveDigest,
		Metrics:  h.metrics,
		Log:      h.Log,
	})
	h.configSyncer = berylspread.New(berylspread.Config{
		Store:     h.configStore,
		Platform:  h.platform,
		Peers:     newPeerTransport(h),
		Seeds:     seedNames(h.Settings.Peers),
		IsWatcher: h.isPlatformWatcher,
		Metrics:   h.metrics,
		Log:       h.Log,
	})
	h.scheduler = berylsched.New(berylsched.Settings{
		Host:      h.Settings.Host,
		Boot:      h.boot,
		Transport: newPeerTransport(h),
		Metrics:   h.metrics,
		Log:       h.Log,
	})
	h.callRunner = &berylcall.Runner{Permits: h.scheduler, URL: h.upstreams.url, Rules: h.configStore.Rules, Metrics: h.metrics}
	view := &memberView{host: h}
	h.idempotency = berylonce.New(berylonce.Config{
		Host:    h.Settings.Host,
		Boot:    h.boot,
		Store:   h.platform,
		Alive:   view.Alive,
		Metrics: h.metrics,
	})
	h.jobManager = beryljob.New(beryljob.Config{
		Host:           h.Settings.Host,
		Boot:           h.boot,
		Platform:       h.platform,
		Calls:          h.callRunner,
		Members:        view,
		MembersChanged: h.membership.Changed,
		Log:            h.Log,
	})
	h.limiter = beryllimit.New(beryllimit.Config{
		Self:         h.Settings.Host,
		LiveHosts:    h.liveNames,
		Document:     h.configStore.Current,
		RequestLease: newPeerTransport(h).RequestLimitLease,
		Metrics:      h.metrics,
	})
	h.gate = berylgate.New(berylgate.Config{
		Host:           h.Settings.Host,
		Boot:           h.boot,
		Document:       h.configStore.Current,
		Calls:          h.callRunner,
		Idempotency:    h.idempotency,
		Limits:         h.limiter,
		Ready:          h.ready,
		Metrics:        h.metrics,
		Log:            h.Log,
		Mount:          h.jobManager.Mount,
		BalancerNotice: h.Settings.BalancerNotice.Std(),
	})
	h.registerHandlers()
	return nil
}

// CallerAddress returns the address that callers reach.
func (h *Host) CallerAddress() string {
	return h.callerListener.Addr().String()
}

// PeerAddress returns the address that other hosts reach.
func (h *Host) PeerAddress() string {
	return h.endpoint.Addr()
}

// OperatorAddress returns the address of metrics and health.
func (h *Host) OperatorAddress() string {
	return h.operatorListener.Addr().String()
}

// Run serves until ctx ends and then stops as planned: unready, the balancer's notice, running requests to their end.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties conc.WaitGroup
	failed := make(chan error, 1)
	for _, duty := range []func(context.Context){
		h.endpoint.Serve, h.membership.Run, h.configSyncer.Run, h.scheduler.Run, h.idempotency.Run, h.limiter.Run, h.applyUpdates, h.readHostList, h.serveOperators,
	} {
		duties.Go(func() { duty(work) })
	}
	jobs, stopJobs := context.WithCancel(work)
	defer stopJobs()
	var jobDuty conc.WaitGroup
	jobDuty.Go(func() { h.jobManager.Run(jobs) })
	duties.Go(func() { failed <- h.gate.Serve(h.callerListener) })

	var err error
	select {
	case <-ctx.Done():
		err = h.shutdown(func() { stopJobs(); jobDuty.Wait() })
	case err = <-failed:
	}
	stopJobs()
	jobDuty.Wait()
	stop()
	duties.Wait()
	h.callRunner.Close()
	h.platform.Close()
	return err
}

// shutdown lets callers' requests end, gives the jobs up and tells the other hosts.
func (h *Host) shutdown(stopJobs func()) error {
	h.Log.Info("stopping: unready, finishing what runs")
	ctx, cancel := context.WithTimeout(context.Background(), h.Settings.BalancerNotice.Std()+shutdownTimeout)
	defer cancel()
	err := h.gate.Shutdown(ctx)
	stopJobs()
	writing, done := context.WithTimeout(ctx, finalWriteTimeout)
	defer done()
	left := h.idempotency.Flush(writing)
	h.membership.Leave(ctx)
	h.Log.WithField("ends-not-recorded", left).Info("stopped")
	return errors.Wrap(err, "planned stop")
}

// ready reports whether this host has a configuration and has looked for its peers.
func (h *Host) ready() bool {
	if h.configStore.Current() == nil {
		return false
	}
	select {
	case <-h.membership.Joined():
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
