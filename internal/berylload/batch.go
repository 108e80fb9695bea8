package berylload

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/pkg/berylapi"
)

const (
	// itemsPerJob must exceed what a job completes in one run; see submittedJobs.completed.
	itemsPerJob = 900
	callTimeout = 10 * time.Second
	endpoint    = "/v1/chat/completions"
)

// BatchLoad is the batch work that runs at the same time as the streams.
type BatchLoad struct {
	// Jobs is the number of concurrent jobs; zero means no batch work.
	Jobs int `json:"jobs"`
	// Tokens is the length of each item's answer in tokens.
	Tokens int `json:"tokens"`
}

// submittedJobs holds the ids of the jobs of one run and the clients through which they were submitted.
type submittedJobs struct {
	clients []*berylapi.Client
	ids     []string
}

// submit submits the jobs, distributed over the hosts. If one fails, it cancels those submitted before.
func (b BatchLoad) submit(ctx context.Context, target *Target) (*submittedJobs, error) {
	j := &submittedJobs{}
	for _, address := range target.Addresses {
		j.clients = append(j.clients, &berylapi.Client{BaseURL: address, Key: target.Key})
	}
	for n := range b.Jobs {
		if err := j.add(ctx, n, b.input(target.Model, n)); err != nil {
			return nil, errors.CombineErrors(err, j.cancel())
		}
	}
	return j, nil
}

// input returns the JSONL input file of a job.
func (b BatchLoad) input(model string, job int) []byte {
	var lines bytes.Buffer
	for i := range itemsPerJob {
		text := fmt.Sprintf("item %d of job %d", i, job)
		fmt.Fprintf(&lines, `{"custom_id":"%d","method":"POST","url":%q,"body":%s}`+"\n", i, endpoint, chatBody(model, text, b.Tokens, false))
	}
	return lines.Bytes()
}

func (j *submittedJobs) add(ctx context.Context, n int, input []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := j.clients[n%len(j.clients)]
	file, err := client.Upload(ctx, "", "load.jsonl", input)
	if err != nil {
		return err
	}
	batch, err := client.Submit(ctx, "", endpoint, file.ID)
	if err != nil {
		return err
	}
	j.ids = append(j.ids, batch.ID)
	return nil
}

// completed returns the number of completed items of all jobs. It fails if a whole job is completed, because the batch load
// then no longer fills the fleet and the measurement would be wrong.
func (j *submittedJobs) completed(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total := 0
	for n, id := range j.ids {
		batch, err := j.clients[n%len(j.clients)].Batch(ctx, id)
		if err != nil {
			return 0, err
		}
		if batch.Status == "completed" {
			return 0, errors.Newf("job %s ran out of items; give more jobs or a shorter run", id)
		}
		total += batch.RequestCounts.Completed
	}
	return total, nil
}

func (j *submittedJobs) cancel() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var all error
	for n, id := range j.ids {
		_, err := j.clients[n%len(j.clients)].Cancel(ctx, id)
		all = errors.CombineErrors(all, err)
	}
	return all
}
