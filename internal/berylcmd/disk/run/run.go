package run

import (
	"os"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/beryllog"
	berylplatform "berylroad.example/berylroad/platform"
)

// Options are the command's flags.
type Options struct {
	// NodeFile names the platform's settings file.
	NodeFile string `help:"Settings file that the platform writes." env:"BERYLROAD_NODE_FILE" type:"path" placeholder:"FILE"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Runs one host with a disk until SIGTERM. What must last is in the platform's store, so that the
disk holds nothing and may be lost or emptied at any time.

Example:
  BERYLROAD_NODE_FILE=/etc/berylroad/node.conf berylroad disk run`
}

// Run waits for the end.
func (o *Options) Run(f *factory.Factory) error {
	settings, err := berylplatform.LoadSettings(o.NodeFile)
	if err != nil {
		return err
	}
	lines := beryllog.NewWriter(os.Stdout)
	defer lines.Close()
	log, err := beryllog.New(lines, "info")
	if err != nil {
		return err
	}
	entry := log.WithField("host", settings.Host)
	berylplatform.WatchReload(f.Context, o.NodeFile, entry)
	entry.Info("disk host: started")
	<-f.Context.Done()
	entry.Info("disk host: stopped")
	return nil
}
