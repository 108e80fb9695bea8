package check

import (
	"fmt"
	"os"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylconf"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// File is the path of the configuration to check.
	File string `arg:"" help:"Configuration in JSON with comments." type:"path"`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Reads the file as ` + "`config apply`" + ` does and reports every problem with its line and column.
Nothing is changed.

Examples:
  berylroad config check fleet.json`
}

// Run sets the command's dependencies from the factory and runs the command.
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
