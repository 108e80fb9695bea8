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

// Client is the subset of the API client that the command uses.
type Client interface {
	// Upload uploads an input file.
	Upload(ctx context.Context, idempotencyKey, name string, data []byte) (*berylapi.File, error)
	// Submit starts a job on an uploaded file.
	Submit(ctx context.Context, idempotencyKey, endpoint, fileID string) (*berylapi.Batch, error)
}

// Options holds the command's flags and its dependencies.
type Options struct {
	jobclient.Base

	// File is the path of the file of items.
	File string `arg:"" help:"Items in the batch line format, one JSON object per line." type:"path"`
	// Endpoint is the request path of every item.
	Endpoint string `help:"Request path of every item." default:"/v1/chat/completions"`
	// IdempotencyKey makes it safe to submit the job again: the same key gives the same job. If it is empty, the hexadecimal SHA-256
	// of the file is used.
	IdempotencyKey string `help:"Key that makes repeated runs submit the job only once; by default the hash of the file." placeholder:"KEY"`

	// API is the client of a host's API.
	API Client `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Uploads the file and starts a job on it. Running the command again with the same file returns the
same job, so it is safe to run it again if the response was lost.

Examples:
  berylroad job submit items.jsonl --address http://10.0.0.7:8080
  berylroad job submit items.jsonl --idempotency-key week-49`
}

// Run sets the command's dependencies from the factory and runs the command.
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
