package explain

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylexplain"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// ID identifies a request, a job or an item.
	ID string `arg:"" help:"ID of a request, a job or an item."`
	// Files lists the paths of the hosts' logs.
	Files []string `arg:"" help:"Logs of the hosts, one or more files." type:"path"`
	// JSON selects JSON output, one object per step.
	JSON bool `help:"Print JSON, one object per line."`
	// Limit is the maximum number of steps to print; 0 means no limit.
	Limit int `help:"Maximum number of steps to print; 0 prints all." default:"200"`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Collects the lines about one ID from the logs of several hosts in order of time, each with the state
of its host at that time: its configuration, whether it could reach the store, and the state of the
upstream.

Examples:
  berylroad explain 9c41d07be2a35f68 front-*.log
  berylroad explain 7c41e09b52d6a3f8 all.log --limit 20`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	return runExplain(o)
}

func runExplain(o *Options) error {
	var lines []berylexplain.Line
	total := 0
	for _, name := range o.Files {
		fileLines, read, err := readFile(name, o.ID)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
		total += read
	}
	steps := berylexplain.Explain(lines, o.ID)
	if len(steps) == 0 {
		return errors.WithHint(errors.Newf("none of %d log lines mentions %q", total, o.ID),
			"check the id, and name the logs of all hosts: a retry may have reached another one under its own id")
	}
	omitted := 0
	if o.Limit > 0 && len(steps) > o.Limit {
		omitted = len(steps) - o.Limit
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
	if omitted > 0 {
		fmt.Fprintf(o.IO.ErrOut, "%d further steps; raise --limit to see them\n", omitted)
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
