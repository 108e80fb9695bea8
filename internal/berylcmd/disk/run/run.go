package run

import (
	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/nodelog"
)

// Options are the command's flags.
type Options struct {
	nodelog.Flags
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
