package view

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/config/configclient"
	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylspread"
)

// Platform is the subset of the platform client that the command uses.
type Platform interface {
	Get(ctx context.Context, key string) beryletcd.Read
}

// Options holds the command's flags and its dependencies.
type Options struct {
	configclient.Base

	// Platform is the client of the store that holds the configuration.
	Platform Platform `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Prints the configuration in force, from the platform's key-value service, as JSON.

Examples:
  berylroad config view --platform http://10.0.0.5:2379 > fleet.json`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	client, err := o.Prepare(f)
	if err != nil {
		return err
	}
	defer client.Close()
	o.Platform = client
	return runView(o)
}

func runView(o *Options) error {
	read := o.Platform.Get(o.Context, berylspread.ConfigurationKey)
	if read.Status != beryletcd.Done {
		return errors.WithHint(errors.Wrap(read.Err, "the platform's service does not answer"), "try again later")
	}
	if read.Record.Revision == 0 {
		return errors.WithHint(errors.New("there is no configuration yet"), "create the first with `berylroad config apply FILE`")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, read.Record.Value, "", "  "); err != nil {
		return errors.Wrap(err, "the configuration in force is not valid JSON")
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(o.IO.Out)
	return err
}
