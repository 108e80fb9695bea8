package compare

import (
	"context"
	"encoding/json"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylload"
)

// Options are the command's flags and what it works with.
type Options struct {
	// Scenario names the experiment.
	Scenario string `help:"Scenario: batch-harm, head-of-line or stragglers." required:"" placeholder:"NAME"`
	// Seed makes the arrivals.
	Seed uint64 `help:"Seed of the arrivals." default:"1"`
	// JSON asks for JSON in place of a table.
	JSON bool `name:"json" help:"Print JSON."`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Context ends when the process is told to stop.
	Context context.Context `kong:"-"`
	// Compare runs a scenario.
	Compare func(context.Context, berylload.Scenario, uint64) (*berylload.Comparison, error) `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Runs whole hosts and engine stand-ins over loopback in this process: first without what harms, then with
it under the policy and under the baselines. Give the machine nothing else to do meanwhile.

Examples:
  berylroad load compare --scenario batch-harm --seed 1
  berylroad load compare --scenario stragglers --json`
}

// Run fills in what the command works with and runs it.
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
