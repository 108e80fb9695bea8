package createcaller

import (
	"encoding/json"
	"fmt"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylkey"
)

// Options are the command's flags and what it works with.
type Options struct {
	// Name is the caller's name.
	Name string `arg:"" help:"The caller's name, as it goes into the inventory."`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Makes an API key. The key goes to the caller and is shown only now; the printed entry, which holds
its hash alone, goes into the inventory's callers.

Examples:
  berylroad key create-caller front-desk`
}

// Run fills in what the command works with and runs it.
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
