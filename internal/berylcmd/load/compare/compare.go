package compare

import (
	"context"
	"encoding/json"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylload"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Scenario is the name of one of berylload.Scenarios.
	Scenario string `help:"Scenario: batch-harm, head-of-line or stragglers." required:"" placeholder:"NAME"`
	// Seed is the random seed of the arrivals.
	Seed uint64 `help:"Random seed of the arrivals." default:"1"`
	// JSON selects JSON output in place of a table.
	JSON bool `name:"json" help:"Print JSON instead of a table."`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Context is cancelled when the process is told to stop.
	Context context.Context `kong:"-"`
	// Compare runs the scenario with the seed; Run sets it to berylload.Compare.
	Compare func(context.Context, berylload.Scenario, uint64) (*berylload.Comparison, error) `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Runs complete hosts and engine stand-ins on loopback in this process: first without the interfering load,
then with it under the routing policy and under each baseline. Leave the machine otherwise idle.

Examples:
  berylroad load compare --scenario batch-harm --seed 1
  berylroad load compare --scenario stragglers --json`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	o.Context = f.Context
	o.Compare = berylload.Compare
	return runCompare(o)
}

func runCompare(o *Options) error {
	scenario, err := berylload.Find(o.Scenario)
	if err != nil {
		return &factory.FlagError{Err: err}
	}
	comparison, err := o.Compare(o.Context, scenario, o.Seed)
	if err != nil {
		return err
	}
	if o.JSON {
		return json.NewEncoder(o.IO.Out).Encode(comparison)
	}
	return comparison.WriteText(o.IO.Out)
}
