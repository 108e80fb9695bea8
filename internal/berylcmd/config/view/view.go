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

// Platform is the part of the platform's client that the command uses.
type Platform interface {
	Get(ctx context.Context, key string) beryletcd.Read
}

// Options are the command's flags and what it works with.
type Options struct {
	configclient.Base

	// Platform holds the configuration.
	Platform Platform `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Prints the configuration that the platform's service holds, in JSON.

Examples:
  berylroad config view --platform http://10.0.0.5:2379 > fleet.json`
}

// Run fills in what the command works with and runs it.
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
		return errors.WithHint(errors.Wrap(read.Err, "the platform's service does not answer"), "try again when it does")
	}
	if read.Record.Revision == 0 {
		return errors.WithHint(errors.New("there is no configuration yet"), "make the first with `berylroad config apply FILE`")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, read.Record.Value, "", "  "); err != nil {
		return errors.Wrap(err, "the configuration in force is damaged")
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(o.IO.Out)
	return err
}
