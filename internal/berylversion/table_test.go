package berylversion

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// testStreamAge is the age up to which streams are taken up in the script.
const testStreamAge = 8 * time.Second

var scriptStart = time.Unix(1000, 0)

// TestTable runs the script testdata/table on the versions of one service. Times of listing count from the start.
func TestTable(t *testing.T) {
	table, now := &Table{}, scriptStart
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "start":
			table = &Table{StartedAt: now}
		case "wait":
			pause, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(pause)
		case "see":
			var announced []string
			for _, a := range d.CmdArgs {
				announced = append(announced, unquote(a.Key))
			}
			table.See(now, "s", announced)
		case "install":
			var listed []Listed
			for _, a := range d.CmdArgs {
				version, at, _ := strings.Cut(a.Key, "@")
				added, err := time.ParseDuration(at)
				if err != nil {
					t.Fatal(err)
				}
				listed = append(listed, Listed{Version: unquote(version), AddedAtMillis: scriptStart.Add(added).UnixMilli()})
			}
			table.Install("s", listed)
		case "begins":
			if table.MayBegin(now, "s", unquote(d.CmdArgs[0].Key), d.HasArg("store-away")) {
				return "yes\n"
			}
			return "no\n"
		case "candidates":
			return showNames(table.Candidates(now, "s", testStreamAge))
		case "propose":
			listed, changed := table.Proposal(now, "s")
			if !changed {
				return "unchanged\n"
			}
			var names []string
			for _, l := range listed {
				names = append(names, fmt.Sprintf("%s@%v", quote(l.Version), time.UnixMilli(l.AddedAtMillis).Sub(scriptStart)))
			}
			return strings.Join(names, " ") + "\n"
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return ""
	})
}

func showNames(names []string) string {
	for i := range names {
		names[i] = quote(names[i])
	}
	return strings.Join(names, " ") + "\n"
}

// quote makes the empty version visible, and unquote reverses it.
func quote(version string) string {
	if version == "" {
		return `""`
	}
	return version
}

func unquote(text string) string {
	return strings.Trim(text, `"`)
}
