package version

import (
	"encoding/json"
	"fmt"

	"berylroad.example/berylroad/internal/berylbuild"
	"berylroad.example/berylroad/internal/berylcmd/factory"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// JSON selects JSON output.
	JSON bool `name:"json" help:"Print the build as JSON."`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Prints the commit that the program was built from and the version of the compiler. A plus after the commit says that
the sources differed from it.

Example:
  berylroad version --json`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	return runVersion(o)
}

func runVersion(o *Options) error {
	info := berylbuild.Current()
	if o.JSON {
		return json.NewEncoder(o.IO.Out).Encode(info)
	}
	_, err := fmt.Fprintf(o.IO.Out, "berylroad %s (%s)\n", info, info.Go)
	return err
}
