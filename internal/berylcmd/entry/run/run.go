package run

import (
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylentry"
	"berylroad.example/berylroad/internal/beryllog"
	berylplatform "berylroad.example/berylroad/platform"
)

// Options are the command's flags.
type Options struct {
	// LogLevel is the least level that is written.
	LogLevel string `help:"Least level that is logged: debug, info, warning or error." default:"info"`
	// NodeFile names the platform's settings file.
	NodeFile string `help:"Settings file that the platform writes." env:"BERYLROAD_NODE_FILE" type:"path" placeholder:"FILE"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Runs one entry host on the users' platform until SIGTERM, then stops as planned: it says that it
is not ready, serves on until the balancer has noticed, lets what runs end and gives its jobs back.
Log lines go to standard output.

Example:
  BERYLROAD_NODE_FILE=/etc/berylroad/node.conf berylroad entry run`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	settings, err := berylplatform.LoadSettings(o.NodeFile)
	if err != nil {
		return err
	}
	lines := beryllog.NewWriter(os.Stdout)
	defer lines.Close()
	log, err := beryllog.New(lines, o.LogLevel)
	if err != nil {
		return &factory.FlagError{Err: err}
	}
	entry := log.WithField("host", settings.Host)
	berylplatform.WatchReload(f.Context, o.NodeFile, entry)
	set := metrics.NewSet()
	set.NewGauge("berylroad_log_lines_dropped_total", func() float64 { return float64(lines.Dropped()) })
	store := berylplatform.NewStore(settings.StoreAddress)
	store.Metrics = set
	host := berylentry.New(berylentry.Config{
		Settings:       settings,
		Store:          store,
		Dialect:        berylplatform.Dialect{},
		OperatorPrefix: berylplatform.OperatorPrefix,
		UpstreamPrefix: berylplatform.UpstreamPrefix,
		Caller:         &berylplatform.Upstreams{},
		Log:            entry,
		Metrics:        set,
	})
	entry.WithFields(logrus.Fields{"callers": settings.CallerAddress, "peers": settings.PeerAddress, "store": settings.StoreAddress}).Info("host: started")
	front := berylplatform.Front{Host: host, Log: entry, Metrics: set}
	err = front.Run(f.Context, settings)
	entry.WithError(err).Info("host: stopped")
	return err
}
