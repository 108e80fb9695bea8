package cancel

import (
	"context"
	"encoding/json"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/job/jobclient"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Client is the part of the API client that the command uses.
type Client interface {
	// Cancel stops a job.
	Cancel(ctx context.Context, id string) (*berylapi.Batch, error)
}

// Options are the command's flags and what it works with.
type Options struct {
	jobclient.Base

	// ID names the job.
	ID string `arg:"" help:"The job's id."`

	// API reaches a host.
	API Client `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Stops the job. Results that stand already stay readable. The command ends once the cancellation is durable.

Examples:
  berylroad job cancel batch-1f0c --address http://10.0.0.7:8080`
}

// Run fills in what the command works with and runs it.
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
