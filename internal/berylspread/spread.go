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

// ConfigurationKey is where the platform's service holds the configuration.
const ConfigurationKey = "/berylroad/configuration"

const (
	// roleInterval is how often a host looks whether it is still one of the few that watch.
	roleInterval = time.Second
	// idleInterval is how often a host that does not watch reads the platform, should its peers tell it nothing.
	idleInterval = time.Minute
	startRetry   = 500 * time.Millisecond
	pullTimeout  = 2 * time.Second
	// maxHints bounds the peers waiting to be asked; a further hint comes with the next probe.
	maxHints = 8
)

// ErrNotNewer says that a peer has no configuration of a higher revision.
var ErrNotNewer = errors.New("the peer has no newer configuration")

// Platform reads and watches the platform's service.
type Platform interface {
	Get(ctx context.Context, key string) beryletcd.Read
	Watch(ctx context.Context, target beryletcd.Target, from int64, handle func(beryletcd.Change))
}

// Peers pulls a configuration from another host.
type Peers interface {
	// Pull returns the peer's configuration in JSON if its revision is above the given one, else ErrNone.
	Pull(ctx context.Context, peer string, above int64) ([]byte, error)
}

// Config says what the duty works with.
type Config struct {
	// Store takes the configurations.
	Store *berylconf.Store
	// Platform reads the newest.
	Platform Platform
	// Peers pulls from other hosts.
	Peers Peers
	// Seeds names the peers to ask while there is no configuration yet.
	Seeds []string
	// IsWatcher reports whether this host is one of the few that watch the platform.
	IsWatcher func() bool
	// Metrics takes the counters.
	Metrics *metrics.Set
	// Log takes changes of state.
	Log logrus.FieldLogger
}

// Syncer keeps the store up to date.
type Syncer struct {
	Config
	hints chan hint
}

// hint says that a peer has a higher revision.
type hint struct {
	peer     string
	revision int64
}

// New returns a duty that does nothing before Run.
func New(config Config) *Syncer {
	return &Syncer{Config: config, hints: make(chan hint, maxHints)}
}

// NotePeerRevision takes a peer's revision from a probe; it never blocks.
func (d *Syncer) NotePeerRevision(peer string, revision int64) {
	if revision <= d.Store.Revision() {
		return
	}
	select {
	case d.hints <- hint{peer: peer, revision: revision}:
	default:
	}
}

// Run keeps the store up to date until ctx ends.
func (d *Syncer) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { d.watchLoop(ctx) })
	loops.Go(func() { d.pullLoop(ctx) })
	loops.Wait()
}

// watchLoop watches the platform while this host is one of the few that do.
func (d *Syncer) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if d.IsWatcher() {
			d.watch(ctx, ticker.C)
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// watch watches until the role passes to other hosts.
func (d *Syncer) watch(ctx context.Context, roles <-chan time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching conc.WaitGroup
	defer watching.Wait()
	watching.Go(func() {
		d.Platform.Watch(ctx, beryletcd.Target{Key: ConfigurationKey}, 0, func(change beryletcd.Change) {
			for i := range change.Records {
				d.install("platform", change.Records[i].Value)
			}
		})
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-roles:
			if !d.IsWatcher() {
				cancel()
			}
		}
	}
}

// pullLoop pulls from peers that told of a higher revision, and reads the platform now and then.
func (d *Syncer) pullLoop(ctx context.Context) {
	timer := time.NewTimer(startRetry)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-d.hints:
			if h.revision > d.Store.Revision() {
				d.pull(ctx, h.peer)
			}
		case <-timer.C:
			d.look(ctx)
			timer.Reset(d.interval())
		}
	}
}

// interval returns the jittered time until the next look.
func (d *Syncer) interval() time.Duration {
	interval := idleInterval
	if d.Store.Current() == nil {
		interval = startRetry
	}
	return interval*3/4 + rand.N(interval/2)
}

// look asks the peers of the settings before the first configuration, and later the platform.
func (d *Syncer) look(ctx context.Context) {
	if d.Store.Current() == nil {
		for _, seed := range d.Seeds {
			d.pull(ctx, seed)
		}
		return
	}
	if d.IsWatcher() {
		return
	}
	read := d.Platform.Get(ctx, ConfigurationKey)
	if read.Status == beryletcd.Done && read.Record.Revision != 0 {
		d.install("platform", read.Record.Value)
	}
}

func (d *Syncer) pull(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	data, err := d.Peers.Pull(ctx, peer, d.Store.Revision())
	if err != nil {
		d.Metrics.GetOrCreateCounter(`berylroad_configuration_pulls_total{outcome="failed"}`).Inc()
		return
	}
	d.Metrics.GetOrCreateCounter(`berylroad_configuration_pulls_total{outcome="done"}`).Inc()
	d.install(peer, data)
}

// install checks and installs what a source gave; a source cannot make the installed revision go back.
func (d *Syncer) install(source string, data []byte) {
	document, err := berylconf.Parse(source, data)
	if err != nil {
		d.Metrics.GetOrCreateCounter(`berylroad_configuration_rejected_total`).Inc()
		d.Log.WithField("source", source).WithError(err).Warn("left a configuration aside that does not pass its checks")
		return
	}
	if d.Store.Install(document) {
		d.Log.WithFields(logrus.Fields{"source": source, "revision": document.Revision}).Info("installed a configuration")
	}
}
