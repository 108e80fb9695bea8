package berylquarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"berylroad.example/berylroad/internal/berylquarantine"
)

const service = "svc"

// TestTable runs the scripts in testdata/table, which list the evidence of one or several hosts and the parts that are found
// to crash upstreams.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		s := &tableScript{now: time.Unix(1000, 0), tables: make(map[string]*berylquarantine.Table)}
		datadriven.RunTest(t, path, s.run)
	})
}

// tableScript is a number of hosts with a table each. Commands without host= are about the host a.
type tableScript struct {
	now    time.Time
	tables map[string]*berylquarantine.Table
}

func (s *tableScript) run(t *testing.T, d *datadriven.TestData) string {
	table := s.table(scanString(t, d, "host", "a"))
	parts := splitList(scanString(t, d, "parts", ""))
	prompt := berylquarantine.Prompt{Parts: parts}
	for _, name := range splitList(scanString(t, d, "request", "")) {
		prompt.Requests = append(prompt.Requests, "request:"+name)
	}
	if item := scanString(t, d, "item", ""); item != "" {
		prompt.Item = berylquarantine.ItemKey("j", item)
	}
	switch d.Cmd {
	case "begin":
		table.RecordBegin(s.now, service, prompt)
	case "sound":
		table.RecordSound(s.now, prompt)
	case "break":
		sent := scanDuration(t, d, "sent", 50*time.Millisecond)
		table.RecordBreak(berylquarantine.Break{Crash: scanString(t, d, "crash", ""), Prompt: prompt, SentAt: s.now.Add(-sent), BrokeAt: s.now})
	case "crashing":
		var begins []time.Time
		for _, age := range table.Evidence(s.now, service, nil).SinceBegins {
			begins = append(begins, s.now.Add(-age))
		}
		if crashing := table.CrashingParts(s.now, berylquarantine.Break{Prompt: prompt}, begins); len(crashing) > 0 {
			return strings.Join(crashing, " ") + "\n"
		}
		return "none\n"
	case "merge":
		from := s.table(scanString(t, d, "from", ""))
		keys := append(parts, prompt.Requests...)
		if prompt.Item != "" {
			keys = append(keys, prompt.Item)
		}
		table.Merge(s.now, from.Evidence(s.now, service, keys))
	case "evidence":
		return showEvidence(table.Evidence(s.now, service, parts))
	case "forget":
		table.Forget(parts)
	case "wait":
		s.now = s.now.Add(scanDuration(t, d, "for", 0))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// splitList splits a list such as p+q.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == '+' })
}

func (s *tableScript) table(host string) *berylquarantine.Table {
	if s.tables[host] == nil {
		s.tables[host] = &berylquarantine.Table{}
	}
	return s.tables[host]
}

func showEvidence(e berylquarantine.Evidence) string {
	var b strings.Builder
	for _, p := range e.Parts {
		fmt.Fprintf(&b, "%s", p.Part)
		if p.Begun {
			fmt.Fprintf(&b, " begun %v ago", p.SinceBegun)
		}
		for _, a := range p.Accusations {
			fmt.Fprintf(&b, " %s sent %v broke %v ago", a.Crash, a.SinceSent, a.SinceBroke)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func scanString(t *testing.T, d *datadriven.TestData, name, missing string) string {
	t.Helper()
	value := missing
	d.MaybeScanArgs(t, name, &value)
	return value
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string, missing time.Duration) time.Duration {
	t.Helper()
	text := scanString(t, d, name, missing.String())
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return value
}

// Guards against the memory of a host growing with the parts that callers send.
func TestTableIsBounded(t *testing.T) {
	var table berylquarantine.Table
	now := time.Unix(1000, 0)
	const parts = 20_000
	for i := range parts {
		table.RecordBegin(now, service, berylquarantine.Prompt{Parts: []string{fmt.Sprintf("begun-%d", i)}})
		table.RecordBreak(berylquarantine.Break{Crash: fmt.Sprint(i), Prompt: berylquarantine.Prompt{Parts: []string{fmt.Sprintf("broken-%d", i)}}, SentAt: now, BrokeAt: now.Add(time.Millisecond)})
		now = now.Add(time.Millisecond)
	}
	known := 0
	for i := range parts {
		known += len(table.Evidence(now, service, []string{fmt.Sprintf("begun-%d", i), fmt.Sprintf("broken-%d", i)}).Parts)
	}
	if known > 2*4096+1024 {
		t.Errorf("%d parts are kept", known)
	}
}
