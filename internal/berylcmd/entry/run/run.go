package run

import (
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/nodelog"
	"berylroad.example/berylroad/internal/berylentry"
	berylplatform "berylroad.example/berylroad/platform"
)

const (
	// gcPercent is by how many percent the heap grows between two garbage collections: a host's heap is small beside its
	// memory, and its processor time is what limits it.
	gcPercent = 200
	// memoryLimitFraction is the part of the process's memory from which garbage is collected more often.
	memoryLimitFraction = 0.7
)

// Options are the command's flags.
type Options struct {
	nodelog.Flags
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Runs one entry host on the users' platform until SIGTERM, then stops as planned: it says that it
is not ready, serves on until the balancer has noticed, lets what runs end and gives its jobs back.
Log lines go to standard output.

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
	s := node.Settings
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimit)))
	}
	set := metrics.NewSet()
	set.NewGauge("berylroad_log_lines_dropped_total", func() float64 { return float64(node.LogWriter.Dropped()) })
	store := berylplatform.NewStore(s.StoreAddress)
	store.Metrics = set
	host := berylentry.New(berylentry.Config{
		Settings:       s,
		Store:          store,
		Decoder:        berylplatform.Decoder{},
		OperatorPrefix: berylplatform.OperatorPrefix,
		UpstreamPrefix: berylplatform.UpstreamPrefix,
		Upstreams:      &berylplatform.UpstreamClient{},
		Log:            node.Log,
		Metrics:        set,
	})
	node.Log.WithFields(logrus.Fields{"callers": s.CallerAddress, "peers": s.PeerAddress, "store": s.StoreAddress}).Info("host: started")
	front := berylplatform.Server{Host: host, Log: node.Log, Metrics: set}
	err = front.Run(f.Context, s)
	node.Log.WithError(err).Info("host: stopped")
	return err
}
