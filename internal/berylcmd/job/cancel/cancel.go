package cancel

import (
	"context"
	"encoding/json"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/job/jobclient"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Client is the subset of the API client that the command uses.
type Client interface {
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) (*berylapi.Batch, error)
}

// Options holds the command's flags and its dependencies.
type Options struct {
	jobclient.Base

	// ID is the job's ID as `berylroad job submit` prints it.
	ID string `arg:"" help:"ID of the job."`

	// API is the client of a host's API.
	API Client `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Cancels the job. Existing results can still be read. The command ends once the cancellation is durable.

Examples:
  berylroad job cancel batch-1f0c --address http://10.0.0.7:8080`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	client, err := o.Prepare(f)
	if err != nil {
		return err
	}
	o.API = client
	return runCancel(o)
}

func runCancel(o *Options) error {
	batch, err := o.API.Cancel(o.Context, o.ID)
	if err != nil {
		return jobclient.AddHint(err)
	}
	return json.NewEncoder(o.IO.Out).Encode(batch)
}
