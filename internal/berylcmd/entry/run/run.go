package run

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylbuild"
	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/nodelog"
	"berylroad.example/berylroad/internal/berylentry"
	berylplatform "berylroad.example/berylroad/platform"
)

const (
	// gcPercent is the growth of the heap, in percent, that triggers a garbage collection. It is above Go's default of 100, because
	// a host is limited by CPU time and its heap is small compared with its memory.
	gcPercent = 200
	// memoryLimitFraction is the fraction of the process's memory limit above which garbage is collected more often.
	memoryLimitFraction = 0.7
)

// Options holds the command's flags.
type Options struct {
	nodelog.Flags
	AdaptivePace bool `help:"Give new and recovered upstreams slots as they show that they can handle them." env:"BERYLROAD_ADAPTIVE_PACE"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Runs one entry host on the users' platform until SIGTERM, then shuts down gracefully: it reports
itself unready, keeps accepting requests until the balancer has noticed, finishes the requests in
flight and hands back its jobs. Log lines go to standard output.

With --adaptive-pace (BERYLROAD_ADAPTIVE_PACE=true) an upstream that has just started or recovered gets
slots as it shows that it can handle them; without it, it gets all or half of them at once.

Example:
  BERYLROAD_NODE_FILE=/etc/berylroad/node.conf berylroad entry run`
}

// Run runs the host.
func (o *Options) Run(f *factory.Factory) error {
	node, err := o.Start()
	if err != nil {
		return err
	}
	defer node.LogWriter.Close()
	settings := node.Settings
	settings.AdaptivePace = o.AdaptivePace
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	}
	metricSet := metrics.NewSet()
	metricSet.NewGauge("berylroad_log_lines_dropped_total", func() float64 { return float64(node.LogWriter.Dropped()) })
	metricSet.NewGauge(fmt.Sprintf("berylroad_build_info{commit=%q}", berylbuild.Current()), func() float64 { return 1 })
	store := berylplatform.NewStore(settings.StoreAddress)
	store.Metrics = metricSet
	host := berylentry.New(berylentry.Config{
		Settings:       settings,
		Store:          store,
		Decoder:        berylplatform.Decoder{},
		OperatorPrefix: berylplatform.OperatorPrefix,
		UpstreamPrefix: berylplatform.UpstreamPrefix,
		Upstreams:      &berylplatform.UpstreamClient{},
		Log:            node.Log,
		Metrics:        metricSet,
	})
	node.Log.WithFields(logrus.Fields{"build": berylbuild.Current().String(), "callers": settings.CallerAddress, "peers": settings.PeerAddress, "store": settings.StoreAddress}).Info("host: started")
	server := berylplatform.Server{Host: host, Log: node.Log, Metrics: metricSet}
	err = server.Run(f.Context, settings)
	node.Log.WithError(err).Info("host: stopped")
	return err
}
