package run

import (
	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/nodelog"
)

// Options holds the command's flags.
type Options struct {
	nodelog.Flags
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Runs one host with a disk until SIGTERM. All durable data is in the platform's store: nothing is
written to the disk, which may be lost or erased at any time.

Example:
  BERYLROAD_NODE_FILE=/etc/berylroad/node.conf berylroad disk run`
}

// Run waits until the process is told to stop.
func (o *Options) Run(f *factory.Factory) error {
	node, err := o.Start()
	if err != nil {
		return err
	}
	defer node.LogWriter.Close()
	node.Log.Info("disk host: started")
	<-f.Context.Done()
	node.Log.Info("disk host: stopped")
	return nil
}
