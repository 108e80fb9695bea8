package berylentry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylbatch"
	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylstore"
	"berylroad.example/berylroad/internal/berylversion"
	"berylroad.example/berylroad/internal/berylwire"
)

const (
	// upstreamDebounce is how long a host waits after changes of upstreams before its next watch, so that changes in
	// quick succession cost one call. An upstream that starts updates its announcement about once a second, and there
	// may be hundreds of them. A change passes through at most two hosts, so that it is known everywhere after twice
	// this time; an upstream that is draining may still be called for 2 s.
	upstreamDebounce = 200 * time.Millisecond
	// expireInterval is the time between two checks for upstreams whose announcement has lapsed in an outage of the store
	// and has not been written again in time.
	expireInterval = 100 * time.Millisecond
	// readyCheckInterval is the time between two checks whether a starting host can serve. It is short because requests
	// that arrive before the host serves are refused.
	readyCheckInterval = 10 * time.Millisecond
	// leaveTimeout bounds the announcement to the other hosts that this host has stopped. If it is lost, they detect
	// the stop by themselves.
	leaveTimeout = 300 * time.Millisecond
	// answerMemoryShare is the share of the process's memory limit for the parts of answers that are held at once, and
	// itemTextMemoryShare that for the texts of unfinished items. What callers make a process hold has a share of its own.
	answerMemoryShare   = 0.1
	itemTextMemoryShare = 0.1
	// kindJobRead is the kind of message that reads a job from the host that runs it.
	kindJobRead = "job-read"
	// kindStoreWatch is the kind of message that watches the store for another host.
	kindStoreWatch = "store-watch"
	// kindStoreCall is the kind of message that makes a call to the store for another host.
	kindStoreCall = "store-call"
	// kindQuarantine is the kind of message about prompt parts that crash upstreams.
	kindQuarantine = "quarantine"
	// kindVersion is the kind of message about the versions at which streams began.
	kindVersion = "stream-version"
	// kindTunnel is the kind of stream that carries a connection to an upstream for another host.
	kindTunnel = "upstream-tunnel"
	// kindStorePut is the kind of message that writes an item for another host.
	kindStorePut = "store-put"
)

// Decoder decodes what the platform's operators and upstreams write into the store.
type Decoder interface {
	// IsConfig reports whether a key holds the operators' configuration.
	IsConfig(key string) bool
	// Config decodes the operators' configuration.
	Config(value []byte) (*berylroute.Config, error)
	// UpstreamID returns the ID in the key of an announcement.
	UpstreamID(key string) string
	// Upstream decodes the announcement of an upstream. It returns an error if the announcement names no usable
	// upstream.
	Upstream(id string, value []byte) (berylroute.Upstream, error)
	// Retirement returns the key and value that report a disk host as empty, and false if the key is no order to empty
	// one.
	Retirement(key string) (string, []byte, bool)
}

// UpstreamClient makes calls to upstreams and keeps idle connections to them.
type UpstreamClient interface {
	berylrelay.UpstreamClient
	// HasEnded reports whether the run of an upstream has ended: nothing listens at its address. It returns false if that
	// can't be told.
	HasEnded(ctx context.Context, upstream berylroute.Upstream) bool
	// Dial opens a connection of this host's own to an upstream's address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// UsePaths makes the client open its connections by way of paths. It is called before the first call.
	UsePaths(paths *berylpath.Paths)
	// CloseStale closes the idle connections to upstreams that are no longer known.
	CloseStale(known func(id string) bool)
	// Close closes all idle connections.
	Close()
}

// Config configures a host. All fields must be set.
type Config struct {
	// Settings are the settings that the platform passes to this process.
	Settings Settings
	// Store is the platform's metadata store.
	Store berylstore.Store
	// Decoder decodes what operators and upstreams write into the store.
	Decoder Decoder
	// OperatorPrefix and UpstreamPrefix are the prefixes of the keys that operators and upstreams write.
	OperatorPrefix, UpstreamPrefix string
	// Upstreams makes the calls of online requests and of batch jobs to upstreams.
	Upstreams UpstreamClient
	// Log is the logger of all components of the host.
	Log logrus.FieldLogger
	// Metrics is the set in which the components of the host register their metrics.
	Metrics *metrics.Set
}

// Host is one host with all its components.
type Host struct {
	Config
	// Relay handles online requests and Jobs handles batch jobs. Both are set before Serving returns true.
	Relay *berylrelay.Relay
	Jobs  *berylbatch.Manager

	boot                  uint64
	routes                berylroute.CurrentConfig
	unreadableConfig      atomic.Int64 // revision of the newest configuration if it can't be decoded; otherwise zero
	upstreamRegistry      berylroute.Registry
	operatorItems         berylstore.Follower
	announcements         berylstore.Follower
	hostRegistry          *registry
	fallbackStore         *berylstore.FallbackStore
	followers             map[string]*berylstore.Follower // by the prefix of the keys that each of them follows
	writeBatcher          *berylstore.WriteBatcher
	endpoint              *berylwire.Endpoint
	members               *berylhost.Membership
	paths                 *berylpath.Paths
	scheduler             *berylsched.Scheduler
	quarantine            *berylquarantine.Quarantine
	versions              *berylversion.Versions
	limiter               *beryllimit.Limiter
	limitHosts            limitHosts
	assembled             atomic.Bool // true once assemble has returned
	schedulerHasUpstreams atomic.Bool // true once the scheduler knows at least one upstream
	serving               atomic.Bool
	ready                 atomic.Bool
	stopping              atomic.Bool
	stop                  beryldrain.Stop
	joinedAt              atomic.Pointer[time.Time]
	startup               startup
	presumed              atomic.Pointer[[]berylhost.Member] // hosts that are only presumed to be up
	jobsContext           context.Context                    // canceled when the jobs must stop
	cancelJobs            context.CancelFunc
}

// New returns a host. The host does nothing until Run is called.
func New(config Config) *Host {
	h := &Host{Config: config}
	h.jobsContext, h.cancelJobs = context.WithCancel(context.Background())
	h.upstreamRegistry.Log = config.Log
	h.routes.State = h.configState
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

// ConfigCopy returns the active configuration and how far it can be relied on.
func (h *Host) ConfigCopy() berylroute.Copy {
	return h.routes.Copy()
}

// Ready reports whether this host is ready for requests: it knows the routes and the upstreams, has heard from a peer
// or given up waiting for one, and is not about to stop.
func (h *Host) Ready() bool {
	return h.ready.Load() && !h.stopping.Load()
}

// Serving reports whether online requests can be served, which needs the routes and the upstreams. A host that has not
// heard from a peer yet grants slots by itself, like a host that is cut off from its peers. A host that is about to stop
// still serves.
func (h *Host) Serving() bool {
	return h.serving.Load()
}

// ServingJobs reports whether calls on jobs can be served. A host that is about to stop still serves them.
func (h *Host) ServingJobs() bool {
	return h.ready.Load()
}

// Run runs the host until ctx ends. When it returns, all components of the host have stopped. Callers' requests must have
// ended before ctx does.
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
		h.endpoint.Serve, h.members.Run, h.scheduler.Run, h.paths.Run, h.operatorItems.Run, h.announcements.Run, h.hostRegistry.run, h.quarantine.Run, h.versions.Run, h.limiter.Run, h.forwardChanges, h.expire,
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

// assemble creates the components in the order of their dependencies.
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
	links := &beryllink.Transport{Endpoint: h.endpoint, ResolvePeer: h.findPeer}
	sharing := h.newWatchSharing(links)
	h.operatorItems.Sharing, h.announcements.Sharing = sharing, sharing
	h.fallbackStore = h.newFallbackStore(links)
	h.operatorItems.Store, h.announcements.Store = h.fallbackStore, h.fallbackStore
	h.writeBatcher = h.newWriteBatcher(links)
	h.paths = berylpath.New(berylpath.Config{
		Upstreams: &h.upstreamRegistry, Dial: h.Upstreams.Dial, Carriers: &carriers{host: h}, Log: h.Log, Metrics: h.Metrics,
	})
	h.Upstreams.UsePaths(h.paths)
	berylwire.HandleDuplex(h.endpoint, kindTunnel, h.handleTunnel)
	h.scheduler = berylsched.New(berylsched.Settings{
		Host: h.Settings.Host, Boot: h.boot, Transport: links, Metrics: h.Metrics, Log: h.Log, Paths: h.paths,
		AdaptivePace: h.Settings.AdaptivePace,
		OnLeaving: func(upstream string, run int64, answered bool) {
			h.upstreamRegistry.MarkLeaving(time.Now(), upstream, run, answered)
		},
	})
	beryllink.Handle(h.endpoint, h.scheduler)
	h.hostRegistry = newRegistry(h.Store, self, h.Log, sharing, func(members []berylhost.Member) {
		h.members.SetCandidates(context.Background(), members)
	})
	h.quarantine = berylquarantine.New(berylquarantine.Config{
		Host: h.Settings.Host, Store: h.fallbackStore, Peers: &quarantinePeers{host: h, links: links}, HasCrashed: h.Upstreams.HasEnded,
		Rank: (*memberView)(h).Rank, Sharing: sharing, Log: h.Log, Metrics: h.Metrics,
	})
	berylwire.Handle(h.endpoint, kindQuarantine, h.quarantine.HandleMessage)
	h.versions = berylversion.New(berylversion.Config{
		Store: h.fallbackStore, Upstreams: &h.upstreamRegistry, CopiedAt: h.announcements.LastCurrent, StoreAway: h.announcements.Unavailable,
		Routes: &h.routes, Peers: &versionPeers{host: h, links: links}, Rank: (*memberView)(h).Rank, Sharing: sharing, Log: h.Log, Metrics: h.Metrics,
	})
	berylwire.Handle(h.endpoint, kindVersion, h.versions.HandleMessage)
	h.limiter = h.newLimiter(links)
	berylwire.Handle(h.endpoint, kindLimit, h.limiter.HandleLeaseRequest)
	answers := h.newAnswerMemory()
	h.Relay = &berylrelay.Relay{
		Permits: h.scheduler, Upstreams: &h.upstreamRegistry, Client: h.Upstreams, Versions: h.versions, Quarantine: h.quarantine, Limits: accountLimits{h.limiter}, Memory: answers, Stop: &h.stop, Log: h.Log, Metrics: h.Metrics,
	}
	h.Jobs = berylbatch.New(berylbatch.Config{
		Host: h.Settings.Host, Boot: h.boot, Store: h.fallbackStore, Permits: h.scheduler, Upstreams: &h.upstreamRegistry, Client: h.Upstreams,
		Quarantine: h.quarantine, Routes: &h.routes, Members: (*memberView)(h), Peers: &jobPeers{links}, Sharing: sharing,
		WriteProgress: h.writeBatcher.Put, Lease: h.hostRegistry.currentLease, Retention: h.Settings.Retention,
		Memory: answers, MaxTextBytes: int(itemTextMemoryShare * float64(h.Settings.MemoryLimit)), Log: h.Log, Metrics: h.Metrics,
	})
	berylwire.Handle(h.endpoint, kindJobRead, h.Jobs.HandleRead)
	h.followers = map[string]*berylstore.Follower{}
	for _, f := range h.allFollowers() {
		h.followers[f.Prefix] = f
		h.Metrics.NewGauge(fmt.Sprintf("berylroad_belief_age_seconds{prefix=%q}", f.Prefix), func() float64 { return time.Since(f.LastCurrent()).Seconds() })
		h.Metrics.NewGauge(fmt.Sprintf("berylroad_store_watch_cuts_total{prefix=%q}", f.Prefix), func() float64 { return float64(f.Cuts()) })
		h.Metrics.NewGauge(fmt.Sprintf("berylroad_store_outages_total{prefix=%q}", f.Prefix), func() float64 { return float64(f.Outages()) })
	}
	h.registerSlotGauges()
	h.Metrics.NewGauge("berylroad_config_outdated", func() float64 {
		if h.routes.Copy().Outdated() {
			return 1
		}
		return 0
	})
	berylwire.Handle(h.endpoint, kindStoreWatch, h.handleStoreWatch)
	berylwire.Handle(h.endpoint, kindStoreCall, h.handleStoreCall)
	berylwire.Handle(h.endpoint, kindStorePut, h.handleStorePut)
	h.assembled.Store(true)
}

// newAnswerMemory returns the budget for the parts of answers that are held at once.
func (h *Host) newAnswerMemory() *berylresponse.Budget {
	budget := &berylresponse.Budget{Limit: int64(answerMemoryShare * float64(h.Settings.MemoryLimit))}
	h.Metrics.NewGauge("berylroad_answers_held_bytes", func() float64 { return float64(budget.Held()) })
	return budget
}

// registerSlotGauges registers gauges of the slots that this host grants and of those in use.
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
	gauge("berylroad_owner_limited_upstreams", func(l berylpermit.Load) int {
		if l.Limit.Limited {
			return 1
		}
		return 0
	})
	gauge("berylroad_owner_paced_upstreams", func(l berylpermit.Load) int { return min(l.Pace, 1) })
}

// allFollowers returns the followers of all parts of the store that this host keeps a copy of.
func (h *Host) allFollowers() []*berylstore.Follower {
	return []*berylstore.Follower{&h.operatorItems, &h.announcements, &h.hostRegistry.follower, h.Jobs.Records(), h.quarantine.Follower(), h.versions.Follower()}
}

// awaitReady waits until this host can serve online requests, and then until it is ready.
func (h *Host) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for {
		if !h.serving.Load() && h.routes.Get() != nil && h.schedulerHasUpstreams.Load() && !h.quarantine.Follower().LastCurrent().IsZero() && !h.versions.Follower().LastCurrent().IsZero() {
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

// Drain announces that this host is about to stop. It is no longer ready, takes ownership of nothing new and starts no
// items of jobs, but goes on serving requests that end before the given time. The balancer passes on new connections until
// noticeEnds at most.
func (h *Host) Drain(noticeEnds, end time.Time) {
	h.stopping.Store(true)
	h.stop.Begin(noticeEnds, end)
	if !h.ready.Load() {
		return
	}
	h.Jobs.Drain()
	go h.hostRegistry.announceLeaving(context.Background())
}

// StopJobs cancels the running items of jobs and releases the jobs to other hosts.
func (h *Host) StopJobs() {
	h.cancelJobs()
}

// expire removes upstreams whose announcement has lapsed in an outage of the store and has not been written again in
// time. It returns when ctx ends.
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
