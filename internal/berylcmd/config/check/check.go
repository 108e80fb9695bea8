package check

import (
	"fmt"
	"os"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylconf"
)

// Options are the command's flags and what it works with.
type Options struct {
	// File is the configuration to check.
	File string `arg:"" help:"Configuration in JSON with comments." type:"path"`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Reads the file as ` + "`config apply`" + ` would and names every problem with its line and column. Nothing is changed.

Examples:
  berylroad config check fleet.json`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	return runCheck(o)
}

func runCheck(o *Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	document, err := berylconf.Parse(o.File, data)
	if err != nil {
		return err
	}
	v := document.Inventory
	_, err = fmt.Fprintf(o.IO.Out, "%s: %d hosts, %d upstreams, %d services and %d callers, no problems\n",
		o.File, len(v.Hosts), len(v.Upstreams), len(v.Services), len(v.Callers))
	return err
}
