package submit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/job/jobclient"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Client is the part of the API client that the command uses.
type Client interface {
	// Upload sends an input file.
	Upload(ctx context.Context, idempotencyKey, name string, data []byte) (*berylapi.File, error)
	// Submit sends a job over an uploaded file.
	Submit(ctx context.Context, idempotencyKey, endpoint, fileID string) (*berylapi.Batch, error)
}

// Options are the command's flags and what it works with.
type Options struct {
	jobclient.Base

	// File holds the items.
	File string `arg:"" help:"Items in the batch line format, one JSON object on each line." type:"path"`
	// Endpoint is the path that every item calls.
	Endpoint string `help:"Path that every item calls." default:"/v1/chat/completions"`
	// IdempotencyKey makes sending the job again safe.
	IdempotencyKey string `help:"Key under which the job is sent once however often the command runs; by default made from the file." placeholder:"KEY"`

	// API reaches a host.
	API Client `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Sends the file and starts a job over it. Running the command again with the same file gives the
same job, so a lost answer is mended by running it again.

Examples:
  berylroad job submit items.jsonl --address http://10.0.0.7:8080
  berylroad job submit items.jsonl --idempotency-key week-49`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	client, err := o.Prepare(f)
	if err != nil {
		return err
	}
	o.API = client
	return runSubmit(o)
}

func runSubmit(o *Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	key := o.IdempotencyKey
	if key == "" {
		sum := sha256.Sum256(data)
		key = hex.EncodeToString(sum[:])
	}
	file, err := o.API.Upload(o.Context, key, filepath.Base(o.File), data)
	if err != nil {
		return jobclient.AddHint(err)
	}
	batch, err := o.API.Submit(o.Context, key, o.Endpoint, file.ID)
	if err != nil {
		return jobclient.AddHint(err)
	}
	return json.NewEncoder(o.IO.Out).Encode(batch)
}
