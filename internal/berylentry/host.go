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
	// upstreamDebounce is how long a host waits after changes of upstreams for more of them. Those that start announce
	// themselves anew about once a second, and there may be hundreds. A change passes two hosts at most, so that it is
	// known after twice this time; an upstream that leaves may be called for 2 s.
	upstreamDebounce = 200 * time.Millisecond
	// expireInterval is how often upstreams that have not come back are looked for.
	expireInterval = 100 * time.Millisecond
	// readyCheckInterval is how often a starting host looks whether it knows enough: each refusal in between is one too many.
	readyCheckInterval = 10 * time.Millisecond
	// leaveTimeout bounds the farewell to the other hosts, which find out by themselves if it is lost.
	leaveTimeout = 300 * time.Millisecond
	// kindJobRead is the message by which jobs are read from the hosts that run them.
	kindJobRead = "job-read"
	// kindStoreWatch is the message by which hosts watch the store for each other.
	kindStoreWatch = "store-watch"
	// kindStoreCall is the message by which hosts make calls to the store for each other.
	kindStoreCall = "store-call"
	// kindStorePut is the message by which hosts write items for each other.
	kindStorePut = "store-put"
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

	boot                  uint64
	routes                berylroute.CurrentConfig
	upstreamRegistry      berylroute.Registry
	operatorItems         berylstore.Follower
	announcements         berylstore.Follower
	hostRegistry          *registry
	fallbackStore         *berylstore.FallbackStore
	followers             map[string]*berylstore.Follower // by prefix
	writeBatcher          *berylstore.WriteBatcher
	endpoint              *berylwire.Endpoint
	members               *berylhost.Membership
	scheduler             *berylsched.Scheduler
	assembled             atomic.Bool // the components are made
	schedulerHasUpstreams atomic.Bool // the scheduler knows of upstreams
	serving               atomic.Bool
	ready                 atomic.Bool
	stopping              atomic.Bool
	joinedAt              atomic.Pointer[time.Time]
	jobsContext           context.Context // ends when the jobs are to stop
	cancelJobs            context.CancelFunc
}

// New returns a host that does nothing until Run.
func New(config Config) *Host {
	h := &Host{Config: config}
	h.jobsContext, h.cancelJobs = context.WithCancel(context.Background())
	h.upstreamRegistry.Log = config.Log
	h.operatorItems = berylstore.Follower{
		Store: config.Store, Prefix: config.OperatorPrefix, Log: config.Log,
		Reset: func(items []berylstore.Item, _ int64) {
			for _, item := range items {
				h.handleOperatorItem(item)
			}
		},
		Apply: func(events []berylstore.Event, _ int64) {
			for _, e := range events {
				if !e.Deleted {
					h.handleOperatorItem(e.Item)
				}
			}
		},
	}
	h.announcements = berylstore.Follower{
		Store: config.Store, Prefix: config.UpstreamPrefix, Debounce: upstreamDebounce, Log: config.Log,
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
	h.endpoint, err = berylwire.Listen(berylwire.Config{
		Name: h.Settings.Host, Address: h.Settings.PeerAddress, Credentials: credentials, Metrics: h.Metrics,
	})
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "peer address"), "free the address; each process needs one of its own")
	}
	h.assemble()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var components, jobs conc.WaitGroup
	for _, run := range []func(context.Context){
		h.endpoint.Serve, h.members.Run, h.scheduler.Run, h.operatorItems.Run, h.announcements.Run, h.hostRegistry.run, h.forwardChanges, h.expire,
	} {
		components.Go(func() { run(runCtx) })
	}
	jobs.Go(func() { h.Jobs.Run(h.jobsContext) })
	components.Go(func() { h.awaitReady(runCtx) })
	<-ctx.Done()
	h.cancelJobs()
	jobs.Wait()
	leaveCtx, cancel := context.WithTimeout(runCtx, leaveTimeout)
	h.hostRegistry.remove(leaveCtx)
	h.members.Leave(leaveCtx)
	cancel()
	stop()
	components.Wait()
	h.endpoint.Close()
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
		Endpoint: h.endpoint,
		Digest:   func() berylhost.Digest { return berylhost.Digest{Loads: h.scheduler.Loads()} },
		Receive:  func(_ string, d berylhost.Digest) { h.scheduler.RecordLoads(d.Loads) },
		Metrics:  h.Metrics,
		Log:      h.Log,
	})
	links := &beryllink.Links{Wire: h.endpoint, Find: h.findPeer}
	sharing := h.newWatchSharing(links)
	h.operatorItems.Sharing, h.announcements.Sharing = sharing, sharing
	h.fallbackStore = h.newFallbackStore(links)
	h.operatorItems.Store, h.announcements.Store = h.fallbackStore, h.fallbackStore
	h.writeBatcher = h.newWriteBatcher(links)
	h.scheduler = berylsched.New(berylsched.Settings{
		Host: h.Settings.Host, Boot: h.boot, Transport: links, Metrics: h.Metrics, Log: h.Log,
	})
	beryllink.Handle(h.endpoint, h.scheduler)
	h.hostRegistry = newRegistry(h.Store, self, h.Log, sharing, func(members []berylhost.Member) {
		h.members.SetCandidates(context.Background(), members)
	})
	h.Relay = &berylrelay.Relay{Permits: h.scheduler, Upstreams: &h.upstreamRegistry, Client: h.Upstreams, Log: h.Log, Metrics: h.Metrics}
	h.Jobs = berylbatch.New(berylbatch.Config{
		Host: h.Settings.Host, Boot: h.boot, Store: h.fallbackStore, Permits: h.scheduler, Fleet: &h.upstreamRegistry, Caller: h.Upstreams,
		Routes: &h.routes, Members: (*memberView)(h), Peers: &jobPeers{links}, Share: sharing,
		WriteProgress: h.writeBatcher.Put, Lease: h.hostRegistry.currentLease, Retention: h.Settings.Retention, Log: h.Log, Metrics: h.Metrics,
	})
	berylwire.Handle(h.endpoint, kindJobRead, h.Jobs.HandleRead)
	h.followers = map[string]*berylstore.Follower{}
	for _, f := range h.allFollowers() {
		h.followers[f.Prefix] = f
		h.Metrics.NewGauge(fmt.Sprintf("berylroad_belief_age_seconds{prefix=%q}", f.Prefix), func() float64 { return time.Since(f.LastCurrent()).Seconds() })
	}
	h.registerSlotGauges()
	berylwire.Handle(h.endpoint, kindStoreWatch, h.handleStoreWatch)
	berylwire.Handle(h.endpoint, kindStoreCall, h.handleStoreCall)
	berylwire.Handle(h.endpoint, kindStorePut, h.handleStorePut)
	h.assembled.Store(true)
}

// registerSlotGauges shows the slots that this host grants and those in use.
func (h *Host) registerSlotGauges() {
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

// allFollowers returns the followers of all that this host keeps a copy of.
func (h *Host) allFollowers() []*berylstore.Follower {
	return []*berylstore.Follower{&h.operatorItems, &h.announcements, &h.hostRegistry.follower, h.Jobs.Records()}
}

// awaitReady waits until this host knows enough to serve.
func (h *Host) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for {
		if !h.serving.Load() && h.routes.Get() != nil && h.schedulerHasUpstreams.Load() {
			h.serving.Store(true)
			h.Log.WithFields(logrus.Fields{"version": h.routes.Get().Version, "upstreams": len(h.upstreamRegistry.All())}).Info("host: serving")
		}
		if h.serving.Load() && h.Jobs.Synced() && isClosed(h.members.Joined()) {
			now := time.Now()
			h.joinedAt.Store(&now)
			h.ready.Store(true)
			h.Log.WithFields(logrus.Fields{"version": h.routes.Get().Version, "upstreams": len(h.upstreamRegistry.All()), "hosts": len(h.members.Live())}).Info("host: ready")
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

// Drain announces that this host is about to stop: it says that it is not ready, owns nothing new and starts no items of
// jobs, but serves on.
func (h *Host) Drain() {
	h.stopping.Store(true)
	if !h.ready.Load() {
		return
	}
	h.Jobs.Drain()
	go h.hostRegistry.announceLeaving(context.Background())
}

// StopJobs breaks the items of jobs off and gives the jobs back.
func (h *Host) StopJobs() {
	h.cancelJobs()
}

// expire drops upstreams that have not come back and closes connections to those that are gone.
func (h *Host) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.upstreamRegistry.ExpireLapsed(now)
		}
	}
}
