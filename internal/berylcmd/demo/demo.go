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
	demoTimeout  = time.Minute
	pollInterval = 100 * time.Millisecond

	model       = "demo-llm"
	hostCount   = 3
	engineCount = 2
	engineSlots = 8
)

// Options are the command's flags and what it works with.
type Options struct {
	// Stay keeps the fleet serving after the demonstration.
	Stay bool `help:"Keep serving until interrupted."`
	// LogLevel is the level of the hosts' logs.
	LogLevel string `help:"Log level of the hosts: debug, info, warn or error." default:"error" enum:"debug,info,warn,error"`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Context ends when the process is told to stop.
	Context context.Context `kong:"-"`
	// Logger takes the hosts' changes of state.
	Logger *logrus.Logger `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Starts three hosts, two engine stand-ins and a platform stand-in on free loopback ports, sends one
online request and one job of three items, prints what came back and stops.

Examples:
  berylroad demo
  berylroad demo --stay`
}

// Run fills in what the command works with and runs it.
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

// waitIfRequested waits for the end of the command's context when that was asked for.
func (o *Options) waitIfRequested(fleet *berylfleet.Fleet) error {
	if !o.Stay {
		return nil
	}
	fmt.Fprintf(o.IO.Out, "serving on %s with the API key %s; stop with Ctrl-C\n", strings.Join(fleet.Addresses(), ", "), fleet.APIKey)
	<-o.Context.Done()
	return nil
}

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
		return errors.New("the answer holds no choice")
	}
	_, err = fmt.Fprintf(o.IO.Out, "online answer: %s\n", completion.Choices[0].Message.Content)
	return err
}

// runJobExample submits through one host and reads through another.
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
