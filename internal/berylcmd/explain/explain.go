package explain

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylexplain"
)

// Options are the command's flags and what it works with.
type Options struct {
	// ID names a request, a job or an item.
	ID string `arg:"" help:"The id of a request, a job or an item."`
	// Files are the hosts' logs.
	Files []string `arg:"" help:"Logs of the hosts, one or more files." type:"path"`
	// JSON prints one object a step.
	JSON bool `help:"Print JSON, one object a line."`
	// Limit bounds the steps that are printed.
	Limit int `help:"Print at most so many steps; 0 prints all." default:"200"`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Gathers the lines about one id from the logs of several hosts, in order of time, each with what its
host believed then: its configuration, whether it reached the store, and the upstream's state.

Examples:
  berylroad explain 9c41d07be2a35f68 front-*.log
  berylroad explain 7c41e09b52d6a3f8 all.log --limit 20`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	return runExplain(o)
}

func runExplain(o *Options) error {
	var lines []berylexplain.Line
	total := 0
	for _, name := range o.Files {
		part, read, err := readFile(name, o.ID)
		if err != nil {
			return err
		}
		lines = append(lines, part...)
		total += read
	}
	steps := berylexplain.Explain(lines, o.ID)
	if len(steps) == 0 {
		return errors.WithHint(errors.Newf("no line of %d is about %q", total, o.ID),
			"check the id, and name the logs of all hosts: a retry may have reached another one under its own id")
	}
	left := 0
	if o.Limit > 0 && len(steps) > o.Limit {
		left = len(steps) - o.Limit
		steps = steps[:o.Limit]
	}
	for i := range steps {
		if o.JSON {
			if err := json.NewEncoder(o.IO.Out).Encode(&steps[i]); err != nil {
				return err
			}
			continue
		}
		fmt.Fprint(o.IO.Out, steps[i].Text())
	}
	if left > 0 {
		fmt.Fprintf(o.IO.ErrOut, "%d further steps; raise --limit to see them\n", left)
	}
	return nil
}

func readFile(name, id string) ([]berylexplain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.WithHint(err, "name files that hold the hosts' standard output")
	}
	defer file.Close()
	lines, read, err := berylexplain.Read(file, id)
	if err != nil {
		return nil, read, errors.WithHint(errors.Wrap(err, name), "name files that hold the hosts' standard output")
	}
	return lines, read, nil
}
