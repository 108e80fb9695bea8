package berylpath

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestMonitor runs the scripts in testdata. Each command is an event after the given pause; the output is the state, with a star
// if a check has to begin.
func TestMonitor(t *testing.T) {
	datadriven.Walk(t, "testdata/monitor", func(t *testing.T, path string) {
		var m monitor
		now := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				var pause, event, upstream string
				_, _ = fmt.Sscan(line, &pause, &event, &upstream) // not all events name an upstream
				span, err := time.ParseDuration(pause)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(span)
				begins := false
				switch event {
				case "progress":
					m.progress(now)
				case "connected":
					m.connected(now)
				case "connect-failed":
					begins = m.connectFailed(now, upstream, 18)
				case "call-failed":
					begins = m.callFailed(now, upstream, 18)
				case "only-upstream-failed":
					begins = m.callFailed(now, upstream, 1)
				case "check-reached":
					m.checked(now, true)
				case "check-failed":
					m.checked(now, false)
				case "probe-reached":
					m.probed(now, true)
				case "probe-failed":
					m.probed(now, false)
				case "tick":
				default:
					t.Fatalf("unknown event %q", event)
				}
				fmt.Fprintf(&b, "%s", m.current())
				if begins {
					b.WriteString(" check")
				}
				if m.probeDue(now) {
					b.WriteString(" probe-due")
				}
				b.WriteString("\n")
			}
			return b.String()
		})
	})
}
