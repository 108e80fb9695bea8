package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylentry"
)

const (
	// requestTimeout bounds the question; a host answers from memory.
	requestTimeout = 3 * time.Second
	// maxStatusBytes bounds the answer: 600 upstreams and 4,000 jobs take about 1 MB.
	maxStatusBytes = 16 << 20
)

// Options are the command's flags and what it works with.
type Options struct {
	// Address is where the host answers operators.
	Address string `arg:"" optional:"" help:"Host and port where the host answers operators." default:"127.0.0.1:9464"`
	// JSON prints the whole answer.
	JSON bool `name:"json" help:"Print all in JSON."`
	// Limit bounds the lines of each table.
	Limit int `help:"Most lines of each table." default:"30" placeholder:"N"`

	// IO are the streams, Context ends the question, and HTTP asks it.
	IO      factory.IOStreams `kong:"-"`
	Context context.Context   `kong:"-"`
	HTTP    *http.Client      `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Shows what an entry host believes: its state, the configuration in force, how old its copies of the
store are, the other hosts, the upstreams with their owners, and the open jobs.

Examples:
  berylroad entry status 10.1.0.10:9464
  berylroad entry status 10.1.0.10:9464 --json`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	o.IO, o.Context, o.HTTP = f.IO, f.Context, &http.Client{Timeout: requestTimeout}
	return runStatus(o)
}

func runStatus(o *Options) error {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return &factory.FlagError{Err: errors.WithHint(err, "give an address such as 10.1.0.10:9464")}
	}
	body, err := fetchStatus(o)
	if err != nil {
		return errors.WithHint(err, "check that the host runs and that this is the address of its operators' port, 9464 as a rule")
	}
	if o.JSON {
		_, err := o.IO.Out.Write(body)
		return err
	}
	var s berylentry.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.WithHint(errors.Wrapf(err, "%s does not answer as an entry host", o.Address), "use a berylroad of the host's version")
	}
	return printStatus(o.IO.Out, &s, o.Limit)
}

func fetchStatus(o *Options) ([]byte, error) {
	request, err := http.NewRequestWithContext(o.Context, http.MethodGet, "http://"+o.Address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := o.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answers with status %d", o.Address, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
}

// printStatus prints the status as tables of at most limit lines.
func printStatus(out io.Writer, s *berylentry.Status, limit int) error {
	fmt.Fprintf(out, "%s in %s: %s, configuration %d with %d routes\n", s.Host, s.FailureDomain, describeState(s), s.ConfigVersion, s.Routes)
	watcher := s.Watcher
	if watcher == "" {
		watcher = "this host"
	}
	fmt.Fprintf(out, "the store is watched by %s\n", watcher)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printTable(t, "COPY OF\tAGE\tSTORE", limit, s.FollowedPrefixes, func(f berylentry.FollowedPrefixStatus) string {
		return fmt.Sprintf("%s\t%s\t%s", f.Prefix, formatAge(f.AgeMS), choose(f.Unreachable, "away", "answers"))
	})
	printTable(t, "HOST\tFAILURE DOMAIN\tSTATE", limit, s.Members, func(m berylentry.MemberStatus) string {
		return fmt.Sprintf("%s\t%s\t%s", m.Host, m.FailureDomain, choose(m.Leaving, "leaving", "live"))
	})
	printTable(t, "UPSTREAM\tFAILURE DOMAIN\tOWNER\tSTATE\tSLOTS\tONLINE\tBATCH", limit, s.Upstreams, func(u berylentry.UpstreamStatus) string {
		online, batch := "-", "-" // known to its owner alone
		if u.Owner == s.Host {
			online, batch = fmt.Sprint(u.Online), fmt.Sprint(u.Batch)
		}
		status := choose(u.Leaving, "leaving", choose(u.Straggler, "set aside", "in use"))
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s", u.ID, u.FailureDomain, u.Owner, status, u.Slots, online, batch)
	})
	var lines []string
	for _, j := range s.Jobs {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d of %d\t%d", j.ID, j.Route, choose(j.Owner == "", "nobody", j.Owner), j.Listed, j.Items, j.Running))
	}
	printTable(t, "JOB\tROUTE\tOWNER\tLISTED\tRUNNING HERE", limit, lines, func(line string) string { return line })
	return t.Flush()
}

// printTable prints a head and the first entries, and how many were left out.
func printTable[T any](t *tabwriter.Writer, head string, limit int, entries []T, line func(T) string) {
	fmt.Fprintf(t, "\n%s\n", head)
	for _, e := range entries[:min(len(entries), max(limit, 0))] {
		fmt.Fprintln(t, line(e))
	}
	if left := len(entries) - max(limit, 0); left > 0 {
		fmt.Fprintf(t, "and %d more, shown with --limit or --json\n", left)
	}
}

func describeState(s *berylentry.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	case s.Serving:
		return "serving, not ready"
	default:
		return "starting"
	}
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
