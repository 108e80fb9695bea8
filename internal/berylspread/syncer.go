package berylspread

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryletcd"
)

// ConfigurationKey is the key of the configuration in the platform's key-value service.
const ConfigurationKey = "/berylroad/configuration"

const (
	// roleCheckInterval is how often a host checks whether it is one of the few that watch the platform.
	roleCheckInterval = time.Second
	// pollInterval is how often a host that does not watch reads the platform, in case no peer reports a newer
	// revision.
	pollInterval       = time.Minute
	startRetryInterval = 500 * time.Millisecond
	pullTimeout        = 2 * time.Second
	// maxHints bounds the queue of peers to pull from. A hint that does not fit is dropped; the peer reports its revision
	// again with its next probe.
	maxHints = 8
)

// ErrNotNewer is returned when a peer has no configuration of a higher revision.
var ErrNotNewer = errors.New("the peer has no newer configuration")

// Platform reads and watches keys in the platform's key-value service.
type Platform interface {
	Get(ctx context.Context, key string) beryletcd.Read
	Watch(ctx context.Context, target beryletcd.Target, from int64, handle func(beryletcd.Change))
}

// Peers pulls a configuration from another host.
type Peers interface {
	// Pull returns the peer's configuration in JSON if its revision is above the given one, and ErrNotNewer otherwise.
	Pull(ctx context.Context, peer string, above int64) ([]byte, error)
}

// Config configures a Syncer.
type Config struct {
	// Store holds this host's current configuration; the Syncer installs newer ones there.
	Store *berylconf.Store
	// Platform is the platform's key-value service, which holds the newest configuration.
	Platform Platform
	// Peers is used to pull configurations from other hosts.
	Peers Peers
	// Seeds names the peers to pull from while there is no configuration yet.
	Seeds []string
	// IsWatcher reports whether this host is one of the few that watch the platform.
	IsWatcher func() bool
	// Metrics registers the counters of pulls and of rejected configurations.
	Metrics *metrics.Set
	// Log receives a line for each configuration that is installed or rejected.
	Log logrus.FieldLogger
}

// Syncer keeps the configuration of one host up to date.
type Syncer struct {
	Config
	hints chan hint
}

// hint names a peer that reported a higher revision than this host's.
type hint struct {
	peer     string
	revision int64
}

// New returns a Syncer, which does nothing until Run is called.
func New(config Config) *Syncer {
	return &Syncer{Config: config, hints: make(chan hint, maxHints)}
}

// NotePeerRevision records the revision that a peer reported in a probe. It never blocks.
func (s *Syncer) NotePeerRevision(peer string, revision int64) {
	if revision <= s.Store.Revision() {
		return
	}
	select {
	case s.hints <- hint{peer: peer, revision: revision}:
	default:
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { s.watchLoop(ctx) })
	loops.Go(func() { s.pullLoop(ctx) })
	loops.Wait()
}

// watchLoop watches the platform whenever this host is one of the watchers, until ctx ends.
func (s *Syncer) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s.IsWatcher() {
			s.watch(ctx, ticker.C)
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// watch watches the platform until this host is no longer one of the watchers.
func (s *Syncer) watch(ctx context.Context, roles <-chan time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching conc.WaitGroup
	defer watching.Wait()
	watching.Go(func() {
		s.Platform.Watch(ctx, beryletcd.Target{Key: ConfigurationKey}, 0, func(change beryletcd.Change) {
			for i := range change.Records {
				s.install("platform", change.Records[i].Value)
			}
		})
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-roles:
			if !s.IsWatcher() {
				cancel()
			}
		}
	}
}

// pullLoop pulls from peers that reported a higher revision, and polls at intervals, until ctx ends.
func (s *Syncer) pullLoop(ctx context.Context) {
	timer := time.NewTimer(startRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			if h.revision > s.Store.Revision() {
				s.pull(ctx, h.peer)
			}
		case <-timer.C:
			s.poll(ctx)
			timer.Reset(s.pollDelay())
		}
	}
}

// pollDelay returns the jittered time until the next poll.
func (s *Syncer) pollDelay() time.Duration {
	interval := pollInterval
	if s.Store.Current() == nil {
		interval = startRetryInterval
	}
	return interval*3/4 + rand.N(interval/2)
}

// poll pulls from the seeds while there is no configuration. Later it reads the platform, unless this host watches it.
func (s *Syncer) poll(ctx context.Context) {
	if s.Store.Current() == nil {
		for _, seed := range s.Seeds {
			s.pull(ctx, seed)
		}
		return
	}
	if s.IsWatcher() {
		return
	}
	read := s.Platform.Get(ctx, ConfigurationKey)
	if read.Status == beryletcd.Done && read.Record.Revision != 0 {
		s.install("platform", read.Record.Value)
	}
}

func (s *Syncer) pull(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	data, err := s.Peers.Pull(ctx, peer, s.Store.Revision())
	if err != nil {
		s.Metrics.GetOrCreateCounter(`berylroad_configuration_pulls_total{outcome="failed"}`).Inc()
		return
	}
	s.Metrics.GetOrCreateCounter(`berylroad_configuration_pulls_total{outcome="done"}`).Inc()
	s.install(peer, data)
}

// install checks and installs a configuration. One whose revision is not above the installed one is ignored.
func (s *Syncer) install(source string, data []byte) {
	document, err := berylconf.Parse(source, data)
	if err != nil {
		s.Metrics.GetOrCreateCounter(`berylroad_configuration_rejected_total`).Inc()
		s.Log.WithField("source", source).WithError(err).Warn("left a configuration aside that does not pass its checks")
		return
	}
	if s.Store.Install(document) {
		s.Log.WithFields(logrus.Fields{"source": source, "revision": document.Revision}).Info("installed a configuration")
	}
}
