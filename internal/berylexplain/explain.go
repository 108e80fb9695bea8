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

// messageHostStarted is the first line of a run.
const messageHostStarted = "host: started"

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
	hosts := make(map[string]*hostState)
	for _, line := range lines {
		h := hosts[line.Host]
		if h == nil {
			h = &hostState{upstreams: make(map[string]Line)}
			hosts[line.Host] = h
		}
		if line.mentions(id) {
			steps = append(steps, Step{Line: line, Believed: h.describe(&line)})
			continue
		}
		h.update(line)
	}
	return steps
}

func (l *Line) mentions(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.Fields[name] == id })
}

// hostState is what one host has last said of what it knows.
type hostState struct {
	lifecycle, config, operatorStore, upstreamStore, otherStore Line
	upstreams                                                   map[string]Line
}

// update takes a line that tells of a change of beliefs.
func (b *hostState) update(line Line) {
	kind, _, _ := strings.Cut(line.Message, ":")
	switch kind {
	case "host", "stopping":
		if line.Message == messageHostStarted {
			*b = hostState{upstreams: make(map[string]Line)} // a new run knows nothing of the last one
		}
		b.lifecycle = line
	case "config":
		b.config = line
	case "store":
		prefix, _ := line.Fields["prefix"].(string)
		switch {
		case strings.HasPrefix(prefix, "op"):
			b.operatorStore = line
		case strings.HasPrefix(prefix, "servers"):
			b.upstreamStore = line
		default:
			b.otherStore = line
		}
	case "upstream":
		if id, ok := line.Fields["upstream"].(string); ok {
			b.upstreams[id] = line
		}
	}
}

// describe says what the host believed when it wrote a line.
func (b *hostState) describe(line *Line) []string {
	known := []Line{b.lifecycle, b.config, b.operatorStore, b.upstreamStore, b.otherStore}
	if id, ok := line.Fields["upstream"].(string); ok {
		known = append(known, b.upstreams[id])
	}
	slices.SortStableFunc(known, func(a, c Line) int { return c.Time.Compare(a.Time) })
	var said []string
	for _, k := range known {
		if k.Message != "" {
			said = append(said, fmt.Sprintf("%s, %v before%s", k.Message, line.Time.Sub(k.Time).Round(time.Millisecond), k.formatFields()))
		}
	}
	return said
}

// formatFields writes a line's fields in order of their names.
func (l *Line) formatFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Text writes a step as it is shown: the line, and below it what was believed.
func (s *Step) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s%s\n", s.Line.Time.Format("15:04:05.000"), s.Line.Host, s.Line.Message, s.Line.formatFields())
	for _, known := range s.Believed {
		fmt.Fprintf(&b, "    believed: %s\n", known)
	}
	return b.String()
}
