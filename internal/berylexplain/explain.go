package berylexplain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// idFields are the fields that name what a line is about.
var idFields = []string{"request", "job", "item"}

// started is the first line of a run.
const started = "host: started"

// Step is one line about the ID, with what its host believed when it wrote it.
type Step struct {
	// Line is the log's.
	Line Line `json:"line"`
	// Believed says what the host knew, newest first, each with its age.
	Believed []string `json:"believed"`
}

// Explain returns the steps of one request, job or item in order of time.
func Explain(lines []Line, id string) []Step {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var steps []Step
	hosts := make(map[string]*beliefs)
	for _, line := range lines {
		h := hosts[line.Host]
		if h == nil {
			h = &beliefs{upstreams: make(map[string]Line)}
			hosts[line.Host] = h
		}
		if line.isAbout(id) {
			steps = append(steps, Step{Line: line, Believed: h.at(&line)})
			continue
		}
		h.note(line)
	}
	return steps
}

func (l *Line) isAbout(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.Fields[name] == id })
}

// beliefs is what one host has last said of what it knows.
type beliefs struct {
	run, config, operators, announcements, records Line
	upstreams                                      map[string]Line
}

// note takes a line that tells of a change of beliefs.
func (b *beliefs) note(line Line) {
	kind, _, _ := strings.Cut(line.Message, ":")
	switch kind {
	case "host", "stopping":
		if line.Message == started {
			*b = beliefs{upstreams: make(map[string]Line)} // a new run knows nothing of the last one
		}
		b.run = line
	case "config":
		b.config = line
	case "store":
		prefix, _ := line.Fields["prefix"].(string)
		switch {
		case strings.HasPrefix(prefix, "op"):
			b.operators = line
		case strings.HasPrefix(prefix, "servers"):
			b.announcements = line
		default:
			b.records = line
		}
	case "upstream":
		if id, ok := line.Fields["upstream"].(string); ok {
			b.upstreams[id] = line
		}
	}
}

// at says what the host believed when it wrote a line.
func (b *beliefs) at(line *Line) []string {
	known := []Line{b.run, b.config, b.operators, b.announcements, b.records}
	if id, ok := line.Fields["upstream"].(string); ok {
		known = append(known, b.upstreams[id])
	}
	slices.SortStableFunc(known, func(a, c Line) int { return c.Time.Compare(a.Time) })
	var said []string
	for _, k := range known {
		if k.Message != "" {
			said = append(said, fmt.Sprintf("%s, %v before%s", k.Message, line.Time.Sub(k.Time).Round(time.Millisecond), k.text()))
		}
	}
	return said
}

// text writes a line's fields in order of their names.
func (l *Line) text() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Text writes a step as it is shown: the line, and below it what was believed.
func (s *Step) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s%s\n", s.Line.Time.Format("15:04:05.000"), s.Line.Host, s.Line.Message, s.Line.text())
	for _, known := range s.Believed {
		fmt.Fprintf(&b, "    believed: %s\n", known)
	}
	return b.String()
}
