package berylentry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylbatch"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylstore"
	"berylroad.example/berylroad/internal/berylwire"
)

const (
	// upstreamsGather is how long a host waits after changes of upstreams for more of them. Those that start announce
	// themselves anew about once a second, and there may be hundreds. A change passes two hosts at most, so that it is
	// known after twice this time; an upstream that leaves may be called for 2 s.
	upstreamsGather = 200 * time.Millisecond
	// expireEvery is how often upstreams that have not come back are looked for.
	expireEvery = 100 * time.Millisecond
	// startCheck is how often a starting host looks whether it knows enough: each refusal in between is one too many.
	startCheck = 10 * time.Millisecond
	// leaveTimeout bounds the farewell to the other hosts, which find out by themselves if it is lost.
	leaveTimeout = 300 * time.Millisecond
	// kindReadJob is the message by which jobs are read from the hosts that run them.
	kindReadJob = "job-read"
	// kindWatch is the message by which hosts watch the store for each other.
	kindWatch = "store-watch"
	// kindStore is the message by which hosts make calls to the store for each other.
	kindStore = "store-call"
	// kindPut is the message by which hosts write items for each other.
	kindPut = "store-put"
)

// Decoder decodes what the platform's operators and upstreams write into the store.
type Decoder interface {
	// IsConfig says whether a key holds the operators' configuration.
	IsConfig(key string) bool
	// Config decodes it.
	Config(value []byte) (*berylroute.Config, error)
	// UpstreamID returns the ID in the key of an announcement.
	UpstreamID(key string) string
	// Upstream decodes an announcement; an error means that it names no upstream to use.
	Upstream(id string, value []byte) (berylroute.Upstream, error)
	// Retirement returns the key and value that tell that a disk host is empty, if the key asks for that.
	Retirement(key string) (string, []byte, bool)
}

// UpstreamClient makes calls to upstreams and keeps connections to them.
type UpstreamClient interface {
	berylrelay.UpstreamClient
	// CloseStale closes the connections to upstreams that are not known any more.
	CloseStale(known func(id string) bool)
	// Close closes all idle connections.
	Close()
}

// Config says what a host is made from; all fields must be set.
type Config struct {
	// Settings are the process's.
	Settings Settings
	// Store is the platform's.
	Store berylstore.Store
	// Decoder decodes what others write there.
	Decoder Decoder
	// OperatorPrefix and UpstreamPrefix begin the keys of operators and upstreams.
	OperatorPrefix, UpstreamPrefix string
	// Upstreams makes calls to upstreams.
	Upstreams UpstreamClient
	// Log takes a line for each decision.
	Log logrus.FieldLogger
	// Metrics takes the counters.
	Metrics *metrics.Set
}

// Host is one host with all its duties.
type Host struct {
	Config
	// Relay carries online requests and Jobs batch work; both are set once Ready.
	Relay *berylrelay.Relay
	Jobs  *berylbatch.Manager

	boot      uint64
	routes    berylroute.CurrentConfig
	fleet     berylroute.Registry
	operators berylstore.Follower
	announced berylstore.Follower
	registry  *registry
	detour    *berylstore.FallbackStore
	followers map[string]*berylstore.Follower // by prefix
	gatherer  *berylstore.WriteBatcher
	wire      *berylwire.Endpoint
	members   *berylhost.Membership
	scheduler *berylsched.Scheduler
	assembled atomic.Bool // the duties are made
	passedOn  atomic.Bool // the scheduler knows of upstreams
	serving   atomic.Bool
	ready     atomic.Bool
	stopping  atomic.Bool
	joined    atomic.Pointer[time.Time]
	work      context.Context // ends when the jobs are to stop
	stopJobs  context.CancelFunc
}

// New returns a host that does nothing until Run.
func New(config Config) *Host {
	h := &Host{Config: config}
	h.work, h.stopJobs = context.WithCancel(context.Background())
	h.fleet.Log = config.Log
	h.operators = berylstore.Follower{
		Store: config.Store, Prefix: config.OperatorPrefix, Log: config.Log,
		Reset: func(items []berylstore.Item, _ int64) {
			for _, item := range items {
				h.takeOrder(item)
			}
		},
		Apply: func(events []berylstore.Event, _ int64) {
			for _, e := range events {
				if !e.Deleted {
					h.takeOrder(e.Item)
				}
			}
		},
	}
	h.announced = berylstore.Follower{
		Store: config.Store, Prefix: config.UpstreamPrefix, Debounce: upstreamsGather, Log: config.Log,
		Reset: h.resetUpstreams,
		Apply: h.applyUpstreams,
	}
	return h
}

// Routes returns the configuration in force, or nil before the first.
func (h *Host) Routes() *berylroute.Config {
	return h.routes.Get()
}

// Ready says whether this host can serve: it knows the routes and the upstreams, has looked for its peers and is not
// about to stop.
func (h *Host) Ready() bool {
	return h.ready.Load() && !h.stopping.Load()
}

// Serving says whether online requests that arrive can be served: the routes and upstreams are known. A host that has not
// heard its peers yet grants by itself, as one that is cut off from them does; one that is about to stop still serves.
func (h *Host) Serving() bool {
	return h.serving.Load()
}

// ServingJobs says whether calls on jobs can be served; a host that is about to stop still serves them.
func (h *Host) ServingJobs() bool {
	return h.ready.Load()
}

// Run works until ctx ends. Once it has returned nothing of the host is left; callers' requests must have ended before.
func (h *Host) Run(ctx context.Context) error {
	credentials, err := loadCredentials(ctx, h.Store, h.Settings, h.Log)
	if err != nil {
		return err
	}
	if h.boot, err = nextBoot(ctx, h.Store, h.Settings.Host, h.Log); err != nil {
		return err
	}
	h.wire, err = berylwire.Listen(berylwire.Config{
		Name: h.Settings.Host, Address: h.Settings.PeerAddress, Credentials: credentials, Metrics: h.Metrics,
	})
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "peer address"), "free the address; each process needs one of its own")
	}
	h.assemble()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties, jobs conc.WaitGroup
	for _, duty := range []func(context.Context){
		h.wire.Serve, h.members.Run, h.scheduler.Run, h.operators.Run, h.announced.Run, h.registry.run, h.follow, h.expire,
	} {
		duties.Go(func() { duty(work) })
	}
	jobs.Go(func() { h.Jobs.Run(h.work) })
	duties.Go(func() { h.becomeReady(work) })
	<-ctx.Done()
	h.stopJobs()
	jobs.Wait()
	leaving, cancel := context.WithTimeout(work, leaveTimeout)
	h.registry.remove(leaving)
	h.members.Leave(leaving)
	cancel()
	stop()
	duties.Wait()
	h.wire.Close()
	h.Upstreams.Close()
	return nil
}

// assemble makes the duties in the order in which they need each other.
func (h *Host) assemble() {
	self := berylhost.Member{
		Name: h.Settings.Host, Region: h.Settings.Region, FailureDomain: h.Settings.FailureDomain, Boot: h.boot,
		PeerAddress: h.Settings.PeerAddress,
	}
	h.members = berylhost.New(berylhost.Config{
		Self:     self,
		Endpoint: h.wire,
		Digest:   func() berylhost.Digest { return berylhost.Digest{Loads: h.scheduler.Loads()} },
		Receive:  func(_ string, d berylhost.Digest) { h.scheduler.RecordLoads(d.Loads) },
		Metrics:  h.Metrics,
		Log:      h.Log,
	})
	links := &beryllink.Links{Wire: h.wire, Find: h.findPeer}
	share := h.newShare(links)
	h.operators.Sharing, h.announced.Sharing = share, share
	h.detour = h.newDetour(links)
	h.operators.Store, h.announced.Store = h.detour, h.detour
	h.gatherer = h.newGatherer(links)
	h.scheduler = berylsched.New(berylsched.Settings{
		Host: h.Settings.Host, Boot: h.boot, Transport: links, Metrics: h.Metrics, Log: h.Log,
	})
	beryllink.Handle(h.wire, h.scheduler)
	h.registry = newRegistry(h.Store, self, h.Log, share, func(members []berylhost.Member) {
		h.members.SetCandidates(context.Background(), members)
	})
	h.Relay = &berylrelay.Relay{Permits: h.scheduler, Upstreams: &h.fleet, Client: h.Upstreams, Log: h.Log, Metrics: h.Metrics}
	h.Jobs = berylbatch.New(berylbatch.Config{
		Host: h.Settings.Host, Boot: h.boot, Store: h.detour, Permits: h.scheduler, Fleet: &h.fleet, Caller: h.Upstreams,
		Routes: &h.routes, Members: (*memberView)(h), Peers: &jobPeers{links}, Share: share,
		WriteProgress: h.gatherer.Put, Lease: h.registry.currentLease, Retention: h.Settings.Retention, Log: h.Log, Metrics: h.Metrics,
	})
	berylwire.Handle(h.wire, kindReadJob, h.Jobs.HandleRead)
	h.followers = map[string]*berylstore.Follower{}
	for _, f := range h.followed() {
		h.followers[f.Prefix] = f
		h.Metrics.NewGauge(fmt.Sprintf("berylroad_belief_age_seconds{prefix=%q}", f.Prefix), func() float64 { return time.Since(f.LastCurrent()).Seconds() })
	}
	h.gaugeSlots()
	berylwire.Handle(h.wire, kindWatch, h.answerWatch)
	berylwire.Handle(h.wire, kindStore, h.answerStore)
	berylwire.Handle(h.wire, kindPut, h.answerPut)
	h.assembled.Store(true)
}

// gaugeSlots shows the slots that this host grants and those in use.
func (h *Host) gaugeSlots() {
	gauge := func(name string, count func(berylpermit.Load) int) {
		h.Metrics.NewGauge(name, func() float64 {
			sum := 0
			for _, l := range h.scheduler.Loads() {
				sum += count(l)
			}
			return float64(sum)
		})
	}
	gauge("berylroad_owner_slots", func(l berylpermit.Load) int { return l.Slots })
	gauge(`berylroad_owner_slots_used{class="online"}`, func(l berylpermit.Load) int { return l.Online })
	gauge(`berylroad_owner_slots_used{class="batch"}`, func(l berylpermit.Load) int { return l.Batch })
}

// followed returns the followers of all that this host keeps a copy of.
func (h *Host) followed() []*berylstore.Follower {
	return []*berylstore.Follower{&h.operators, &h.announced, &h.registry.follower, h.Jobs.Records()}
}

// becomeReady waits until this host knows enough to serve.
func (h *Host) becomeReady(ctx context.Context) {
	ticker := time.NewTicker(startCheck)
	defer ticker.Stop()
	for {
		if !h.serving.Load() && h.routes.Get() != nil && h.passedOn.Load() {
			h.serving.Store(true)
			h.Log.WithFields(logrus.Fields{"version": h.routes.Get().Version, "upstreams": len(h.fleet.All())}).Info("host: serving")
		}
		if h.serving.Load() && h.Jobs.Synced() && isClosed(h.members.Joined()) {
			now := time.Now()
			h.joined.Store(&now)
			h.ready.Store(true)
			h.Log.WithFields(logrus.Fields{"version": h.routes.Get().Version, "upstreams": len(h.fleet.All()), "hosts": len(h.members.Live())}).Info("host: ready")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Stop announces that this host is about to stop: it says that it is not ready, owns nothing new and starts no items of
// jobs, but serves on.
func (h *Host) Stop() {
	h.stopping.Store(true)
	if !h.ready.Load() {
		return
	}
	h.Jobs.Drain()
	go h.registry.leave(context.Background())
}

// StopJobs breaks the items of jobs off and gives the jobs back.
func (h *Host) StopJobs() {
	h.stopJobs()
}

// expire drops upstreams that have not come back and closes connections to those that are gone.
func (h *Host) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.fleet.ExpireLapsed(now)
		}
	}
}
