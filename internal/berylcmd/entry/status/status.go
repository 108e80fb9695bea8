package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylentry"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylquarantine"
)

const (
	// requestTimeout bounds the status request. A host answers from memory, so it needs little time.
	requestTimeout = 3 * time.Second
	// maxStatusBytes is the maximum size of a response; 600 upstreams and 4,000 jobs take about 1 MB.
	maxStatusBytes = 16 << 20
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Address is the address on which the host serves operators.
	Address string `arg:"" optional:"" help:"Address and port on which the host serves operators." default:"127.0.0.1:9464"`
	// JSON selects the complete status as JSON.
	JSON bool `name:"json" help:"Print the complete status as JSON."`
	// Limit is the maximum number of lines of each table.
	Limit int `help:"Maximum number of lines of each table." default:"30" placeholder:"N"`

	// IO holds the standard streams, Context bounds the request, and HTTP is the client that sends it.
	IO      factory.IOStreams `kong:"-"`
	Context context.Context   `kong:"-"`
	HTTP    *http.Client      `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Shows the status of an entry host: its state, the configuration in force, the age of its copies of the
store's data, the other hosts, the upstreams with their owners, the open jobs, and the prompt parts that are kept away
from upstreams.

Examples:
  berylroad entry status 10.1.0.10:9464
  berylroad entry status 10.1.0.10:9464 --json`
}

// Run sets the command's dependencies from the factory and runs the command.
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
		return errors.WithHint(err, "check that the host runs and that this is the address of its operators' port, normally 9464")
	}
	if o.JSON {
		_, err := o.IO.Out.Write(body)
		return err
	}
	var s berylentry.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.WithHint(errors.Wrapf(err, "%s does not answer as an entry host", o.Address), "use the same version of berylroad as the host")
	}
	return printStatus(o.IO.Out, &s, o.Limit)
}

// fetchStatus returns the body of the host's status endpoint.
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

// printStatus prints the status as tables of at most limit lines each.
func printStatus(out io.Writer, s *berylentry.Status, limit int) error {
	fmt.Fprintf(out, "%s in %s: %s, configuration %d with %d routes\n", s.Host, s.FailureDomain, describeState(s), s.ConfigVersion, s.Routes)
	watcher := s.Watcher
	if watcher == "" {
		watcher = "this host"
	}
	fmt.Fprintf(out, "the store is watched by %s\n", watcher)
	if s.Path != "" && s.Path != berylpath.Reachable.String() {
		fmt.Fprintf(out, "upstreams are not reached by this host itself: %s\n", s.Path)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printTable(t, "COPY OF\tAGE\tSTORE", limit, s.FollowedPrefixes, func(f berylentry.FollowedPrefixStatus) string {
		return fmt.Sprintf("%s\t%s\t%s", f.Prefix, formatAge(f.AgeMS), choose(f.Unreachable, "away", "answers"))
	})
	printTable(t, "HOST\tFAILURE DOMAIN\tSTATE", limit, s.Members, func(m berylentry.MemberStatus) string {
		return fmt.Sprintf("%s\t%s\t%s", m.Host, m.FailureDomain, choose(m.Leaving, "leaving", "live"))
	})
	printTable(t, "UPSTREAM\tFAILURE DOMAIN\tOWNER\tSTATE\tSLOTS\tONLINE\tBATCH", limit, s.Upstreams, func(u berylentry.UpstreamStatus) string {
		online, batch := "-", "-" // only the host that owns the upstream knows how many calls hold its slots
		if u.Owner == s.Host {
			online, batch = fmt.Sprint(u.Online), fmt.Sprint(u.Batch)
		}
		status := choose(u.Leaving, "leaving", choose(u.Straggler, "set aside", "in use"))
		if u.Limit != nil {
			status += fmt.Sprintf(", limit %g/s", *u.Limit)
		}
		if u.Pace > 0 {
			status += fmt.Sprintf(", pace %d (%s)", u.Pace, u.PaceCause)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s", u.ID, u.FailureDomain, u.Owner, status, u.Slots, online, batch)
	})
	if len(s.Accounts) > 0 {
		printTable(t, "ACCOUNT\tLIMIT\tRECENT HERE\tADMITTED\tREFUSED\tLAST REFUSED\tOWNER\tSTATE", limit, s.Accounts, formatAccount)
	}
	var lines []string
	for _, j := range s.Jobs {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d of %d\t%d", j.ID, j.Route, choose(j.Owner == "", "nobody", j.Owner), j.Listed, j.Items, j.Running))
	}
	printTable(t, "JOB\tROUTE\tOWNER\tLISTED\tRUNNING HERE", limit, lines, func(line string) string { return line })
	if len(s.Quarantine) > 0 {
		printTable(t, "QUARANTINE\tPROMPT PARTS\tPASSED BY\tCRASHES\tTRIALS\tNEXT TRIAL IN", limit, s.Quarantine, func(q berylquarantine.Status) string {
			return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s", q.Key, strings.Join(q.Parts, ","), q.Host, len(q.Crashes), q.Trials, formatAge(q.NextTrialMS))
		})
	}
	return t.Flush()
}

func formatAccount(a beryllimit.AccountStatus) string {
	return fmt.Sprintf("%s\t%g/s, burst %g\t%.1f/s\t%d\t%d\t%s\t%s\t%s", a.Account, a.RatePerS, a.Burst, a.Recent, a.Admitted, a.Refused,
		formatAge(a.RefusedAgeMS), a.Owner, choose(a.Fallback, "by its share", "by leases"))
}

// printTable prints a header, the first entries and the number of entries left out.
func printTable[T any](t *tabwriter.Writer, header string, limit int, entries []T, format func(T) string) {
	fmt.Fprintf(t, "\n%s\n", header)
	for _, e := range entries[:min(len(entries), max(limit, 0))] {
		fmt.Fprintln(t, format(e))
	}
	if omitted := len(entries) - max(limit, 0); omitted > 0 {
		fmt.Fprintf(t, "and %d more, shown with --limit or --json\n", omitted)
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
