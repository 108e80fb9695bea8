package createcaller

import (
	"encoding/json"
	"fmt"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylkey"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Name is the name that the printed inventory entry gives the caller.
	Name string `arg:"" help:"Name of the caller, as in the inventory."`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Creates an API key. The key, which is for the caller, is printed to standard error and cannot be
shown again. The printed entry, which contains only its hash, is for the callers of the inventory.

Examples:
  berylroad key create-caller front-desk`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	return runCreateCaller(o)
}

func runCreateCaller(o *Options) error {
	key, hash := berylkey.NewCallerKey()
	entry, err := json.Marshal(berylconf.Caller{Name: o.Name, KeyHash: hash})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.IO.ErrOut, "API key, shown only now: %s\n", key); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.IO.Out, "%s\n", entry)
	return err
}
