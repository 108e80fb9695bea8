package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylfleet"
	"berylroad.example/berylroad/pkg/berylapi"
)

const (
	// demoTimeout bounds the example request and job. The wait for an interrupt under --stay has no limit.
	demoTimeout = time.Minute
	// pollInterval is the time between two reads of the job's state.
	pollInterval = 100 * time.Millisecond

	model       = "demo-llm"
	hostCount   = 3
	engineCount = 2
	engineSlots = 8
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Stay keeps the fleet running after the demonstration until the process is told to stop.
	Stay bool `help:"Keep serving until interrupted."`
	// LogLevel is the minimum level of the hosts' logs.
	LogLevel string `help:"Log level of the hosts: debug, info, warn or error." default:"error" enum:"debug,info,warn,error"`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Context is cancelled when the process is told to stop.
	Context context.Context `kong:"-"`
	// Logger receives state changes of the hosts.
	Logger *logrus.Logger `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Starts three hosts, two engine stand-ins and a platform stand-in on free loopback ports, sends one
online request and one job of three items, prints the answers and stops.

Examples:
  berylroad demo
  berylroad demo --stay`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	log, err := f.Log(o.LogLevel)
	if err != nil {
		return err
	}
	o.IO = f.IO
	o.Context = f.Context
	o.Logger = log
	return runDemo(o)
}

func runDemo(o *Options) error {
	fleet, err := berylfleet.Start(berylfleet.Config{
		Hosts:   hostCount,
		Engines: engineCount,
		Slots:   engineSlots,
		Model:   model,
		Engine:  berylfake.EngineOptions{TokenTime: time.Millisecond},
		Log:     o.Logger,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.Context, demoTimeout)
	defer cancel()
	err = errors.CombineErrors(runExamples(ctx, o, fleet), o.waitIfRequested(fleet))
	return errors.CombineErrors(err, fleet.Stop())
}

// waitIfRequested prints the addresses and waits until the process is told to stop, if Stay is set.
func (o *Options) waitIfRequested(fleet *berylfleet.Fleet) error {
	if !o.Stay {
		return nil
	}
	fmt.Fprintf(o.IO.Out, "serving on %s with the API key %s; stop with Ctrl-C\n", strings.Join(fleet.Addresses(), ", "), fleet.APIKey)
	<-o.Context.Done()
	return nil
}

// runExamples sends the request to the first host; it submits the job to the first and reads it from the last.
func runExamples(ctx context.Context, o *Options, fleet *berylfleet.Fleet) error {
	if err := fleet.WaitReady(ctx); err != nil {
		return err
	}
	first := &berylapi.Client{BaseURL: fleet.Addresses()[0], Key: fleet.APIKey}
	if err := runOnlineExample(ctx, o, first); err != nil {
		return errors.Wrap(err, "online request")
	}
	last := &berylapi.Client{BaseURL: fleet.Addresses()[len(fleet.Hosts)-1], Key: fleet.APIKey}
	return errors.Wrap(runJobExample(ctx, o, first, last), "job")
}

// runOnlineExample sends a chat completion request and prints the answer.
func runOnlineExample(ctx context.Context, o *Options, client *berylapi.Client) error {
	body := fmt.Appendf(nil, `{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"Draft a short note."}]}`, model)
	answer, err := client.Post(ctx, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &completion); err != nil {
		return err
	}
	if len(completion.Choices) == 0 {
		return errors.New("the answer has no choices")
	}
	_, err = fmt.Fprintf(o.IO.Out, "online answer: %s\n", completion.Choices[0].Message.Content)
	return err
}

// runJobExample submits a job to one host, waits for its end and prints the results that another host returns.
func runJobExample(ctx context.Context, o *Options, submit, read *berylapi.Client) error {
	var input strings.Builder
	for i := range 3 {
		fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"Part %d"}]}}`+"\n", i+1, model, i+1)
	}
	file, err := submit.Upload(ctx, "demo", "items.jsonl", []byte(input.String()))
	if err != nil {
		return err
	}
	batch, err := submit.Submit(ctx, "demo", "/v1/chat/completions", file.ID)
	if err != nil {
		return err
	}
	for batch.Status != "completed" {
		select {
		case <-ctx.Done():
			return errors.Newf("the job is still %s", batch.Status)
		case <-time.After(pollInterval):
		}
		if batch, err = read.Batch(ctx, batch.ID); err != nil {
			return err
		}
	}
	results, err := read.Content(ctx, batch.OutputFileID)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.IO.Out, "finished job %s: %d of %d items\n%s", batch.ID, batch.RequestCounts.Completed, batch.RequestCounts.Total, results)
	return err
}
