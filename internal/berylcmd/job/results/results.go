package results

import (
	"context"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/job/jobclient"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Client is the subset of the API client that the command uses.
type Client interface {
	// Batch returns the state of a job.
	Batch(ctx context.Context, id string) (*berylapi.Batch, error)
	// Content returns the content of a file.
	Content(ctx context.Context, fileID string) ([]byte, error)
}

// Options holds the command's flags and its dependencies.
type Options struct {
	jobclient.Base

	// ID is the job's ID as `berylroad job submit` prints it.
	ID string `arg:"" help:"ID of the job."`
	// Errors selects the failed items in place of the answers.
	Errors bool `help:"Print the failed items instead of the answers."`

	// API is the client of a host's API.
	API Client `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Prints the results of a job that has ended, one JSON object per line.

Examples:
  berylroad job results batch-1f0c --address http://10.0.0.7:8080 > answers.jsonl
  berylroad job results batch-1f0c --errors`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	client, err := o.Prepare(f)
	if err != nil {
		return err
	}
	o.API = client
	return runResults(o)
}

func runResults(o *Options) error {
	batch, err := o.API.Batch(o.Context, o.ID)
	if err != nil {
		return jobclient.AddHint(err)
	}
	if batch.Status != "completed" && batch.Status != "cancelled" {
		return errors.WithHint(errors.Newf("the job is %s, with %d of %d items done", batch.Status, batch.RequestCounts.Completed, batch.RequestCounts.Total), "ask again later")
	}
	file := batch.OutputFileID
	if o.Errors {
		file = batch.ErrorFileID
	}
	if file == "" {
		return nil
	}
	content, err := o.API.Content(o.Context, file)
	if err != nil {
		return jobclient.AddHint(err)
	}
	_, err = o.IO.Out.Write(content)
	return err
}
