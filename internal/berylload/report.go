package berylload

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the comparison as a table, headed by the scenario and its target.
func (c *Comparison) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d; target: p99 of the first token at most %.2f of the reference\n", c.Scenario, c.Seed, c.MaxP99Ratio)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tstream\tsent\twhole\trefused\tbroken\tp50 ms\tp95 ms\tp99 ms\tratio\tbatch items/s\tbatch share\textra calls")
	for _, run := range c.Runs {
		if len(run.Streams) == 0 {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\t\t\t\t%.1f\t\t\n", run.Variant, run.BatchRate)
		}
		for _, f := range run.Streams {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.2f\t%.3f\n",
				run.Variant, f.Name, f.Sent, f.Complete, f.Refused, f.Broken, f.FirstTokenP50, f.FirstTokenP95, f.FirstTokenP99,
				run.P99Ratio, run.BatchRate, run.BatchShare, run.ExtraCalls)
		}
	}
	return table.Flush()
}
