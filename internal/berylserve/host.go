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
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylsettings"
	"berylroad.example/berylroad/internal/berylspread"
	"berylroad.example/berylroad/internal/berylwire"
)

// shutdownTimeout bounds a graceful shutdown after the balancer notice. It equals the default maximum timeout of a request, so
// that every request in flight can finish.
const shutdownTimeout = 10 * time.Minute

// answerMemory bounds the parts of answers that this host holds at once, in bytes. It is twice what one answer of the default maximum
// size takes, which a keyed request holds twice.
const answerMemory = 256 << 20

// finalWriteTimeout bounds the store writes at the end of a graceful shutdown. If the store is unavailable, idempotency records
// that are not written by then are lost, as after a kill, and a caller that repeats such a call gets outcome-unknown.
const finalWriteTimeout = 15 * time.Second

// Config holds the dependencies of a Host.
type Config struct {
	// Settings are the settings of this process.
	Settings berylsettings.Settings
	// Credentials authenticate this host to its peers.
	Credentials berylwire.Credentials
	// Log receives state changes of the host.
	Log logrus.FieldLogger
}

// Host is one berylroad host with all its components.
type Host struct {
	Config
	boot             uint64 // start of this run in nanoseconds of Unix time; distinguishes the runs of a host
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
	callers          callerIndexes
	jobManager       *beryljob.Manager
	gate             *berylgate.Gate
	callerListener   net.Listener
	operatorListener net.Listener
	upstreams        *upstreamIndex
	hostList         hostList
	leavingUpstreams leavingUpstreams
}

// New binds the host's addresses and creates its components, which Run starts. It returns an error if an address is in use.
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

// listen binds the addresses for callers, operators and peers.
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

// buildComponents creates the components in the order of their dependencies.
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
		OnLeaving: func(upstream string, _ int64, _ bool) {
			if h.leavingUpstreams.mark(time.Now(), upstream) {
				h.Log.WithField("upstream", upstream).Info("upstream: says that it leaves")
			}
		},
	})
	h.callRunner = &berylcall.Runner{Permits: h.scheduler, URL: h.upstreams.url, Version: h.upstreams.version, Rules: h.configStore.Rules, Memory: &berylresponse.Budget{Limit: answerMemory}, Metrics: h.metrics}
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
		Account:      func(name string) (beryllimit.Account, bool) { return h.callers.account(h.configStore.Current(), name) },
		RequestLease: newPeerTransport(h).RequestLimitLease,
		Metrics:      h.metrics,
	})
	h.gate = berylgate.New(berylgate.Config{
		Host:           h.Settings.Host,
		Boot:           h.boot,
		Document:       h.configStore.Current,
		Calls:          h.callRunner,
		Idempotency:    h.idempotency,
		Limits:         callerLimits{h.limiter},
		Ready:          h.ready,
		Metrics:        h.metrics,
		Log:            h.Log,
		Mount:          h.jobManager.Mount,
		BalancerNotice: h.Settings.BalancerNotice.Std(),
	})
	h.registerHandlers()
	return nil
}

// CallerAddress returns the address on which the host serves callers.
func (h *Host) CallerAddress() string {
	return h.callerListener.Addr().String()
}

// PeerAddress returns the address on which the host serves its peers.
func (h *Host) PeerAddress() string {
	return h.endpoint.Addr()
}

// OperatorAddress returns the address of the metrics and health endpoints.
func (h *Host) OperatorAddress() string {
	return h.operatorListener.Addr().String()
}

// Run serves until ctx ends and then shuts down gracefully: the host reports itself unready, keeps accepting requests for the
// balancer notice and lets requests in flight finish.
func (h *Host) Run(ctx context.Context) error {
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var components conc.WaitGroup
	gateDone := make(chan error, 1)
	for _, run := range []func(context.Context){
		h.endpoint.Serve, h.membership.Run, h.configSyncer.Run, h.scheduler.Run, h.idempotency.Run, h.limiter.Run, h.applyUpdates, h.readHostList, h.serveOperators,
	} {
		components.Go(func() { run(componentCtx) })
	}
	jobs, stopJobs := context.WithCancel(componentCtx)
	defer stopJobs()
	var jobRun conc.WaitGroup
	jobRun.Go(func() { h.jobManager.Run(jobs) })
	components.Go(func() { gateDone <- h.gate.Serve(h.callerListener) })

	var err error
	select {
	case <-ctx.Done():
		err = h.shutdown(func() { stopJobs(); jobRun.Wait() })
	case err = <-gateDone:
	}
	stopJobs()
	jobRun.Wait()
	stopComponents()
	components.Wait()
	h.callRunner.Close()
	h.platform.Close()
	return err
}

// shutdown waits for requests in flight, calls stopJobs to hand back the jobs, writes the remaining idempotency records and
// tells the peers that this host leaves.
func (h *Host) shutdown(stopJobs func()) error {
	h.Log.Info("stopping: unready, finishing what runs")
	ctx, cancel := context.WithTimeout(context.Background(), h.Settings.BalancerNotice.Std()+shutdownTimeout)
	defer cancel()
	err := h.gate.Shutdown(ctx)
	stopJobs()
	writeCtx, cancelWrites := context.WithTimeout(ctx, finalWriteTimeout)
	defer cancelWrites()
	unwritten := h.idempotency.Flush(writeCtx)
	h.membership.Leave(ctx)
	h.Log.WithField("ends-not-recorded", unwritten).Info("stopped")
	return errors.Wrap(err, "graceful shutdown")
}

// ready reports whether this host has a configuration and has finished joining its peers.
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

// seedNames returns the names from a list of NAME=ADDRESS entries.
func seedNames(peers []string) []string {
	var names []string
	for _, peer := range peers {
		name, _, _ := strings.Cut(peer, "=")
		names = append(names, name)
	}
	return names
}
