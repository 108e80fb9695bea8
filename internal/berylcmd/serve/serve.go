package serve

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylserve"
	"berylroad.example/berylroad/internal/berylsettings"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	berylsettings.Settings

	// Context is cancelled when the process is told to stop.
	Context context.Context `kong:"-"`
	// Logger receives state changes of the host.
	Logger *logrus.Logger `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Runs one host until SIGTERM, then shuts down gracefully: it reports itself unready, keeps accepting
requests for the balancer notice, finishes the requests in flight and exits with 0.

Examples:
  berylroad serve --settings host-1.json
  berylroad --settings host-1.json serve --log-level debug`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	log, err := f.Log(o.LogLevel)
	if err != nil {
		return err
	}
	o.Context = f.Context
	o.Logger = log
	return runServe(o)
}

func runServe(o *Options) error {
	if err := o.Settings.Check(); err != nil {
		return err
	}
	credentials, err := berylkey.Load(o.CAFile, o.CertFile, o.KeyFile)
	if err != nil {
		return errors.WithHint(err, "create keys with `berylroad key create-ca` and `berylroad key create-host`")
	}
	host, err := berylserve.New(berylserve.Config{Settings: o.Settings, Credentials: credentials, Log: o.Logger})
	if err != nil {
		return err
	}
	reloadCtx, stopReload := context.WithCancel(o.Context)
	defer stopReload()
	go credentials.Run(reloadCtx, func(err error) { logReload(o.Logger, err) })
	o.Logger.WithFields(logrus.Fields{
		"host":             o.Host,
		"caller-address":   host.CallerAddress(),
		"peer-address":     host.PeerAddress(),
		"operator-address": host.OperatorAddress(),
	}).Info("serving")
	return host.Run(o.Context)
}

// logReload logs the outcome of reloading the credential files.
func logReload(log *logrus.Logger, err error) {
	if err != nil {
		log.WithError(err).Warn("kept the old certificate: the new one cannot be used")
		return
	}
	log.Info("took a new certificate")
}
