package berylexplain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// idFields are the log fields whose values can be the ID that is looked for.
var idFields = []string{"request", "job", "item", "quarantine"}

// messageHostStarted is the message of the first line of a run of a host.
const messageHostStarted = "host: started"

// Step is one line that mentions the ID, with the state of its host at that time.
type Step struct {
	// Line is the line that mentions the ID.
	Line Line `json:"line"`
	// HostState describes the host's last logged state changes before the line, newest first, each with its age.
	HostState []string `json:"believed"`
}

// Explain returns the lines that mention the request, job or item as steps in order of time.
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
			steps = append(steps, Step{Line: line, HostState: h.describe(&line)})
			continue
		}
		h.update(line)
	}
	return steps
}

// mentions reports whether one of the line's ID fields equals id.
func (l *Line) mentions(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.Fields[name] == id })
}

// hostState holds the last line of one host about each part of its state; a zero Line means that there was none. lifecycle is about
// start, readiness and shutdown; config about the installed configuration; operatorStore, upstreamStore and otherStore about the
// connection to the store for the keys that operators write, that upstreams write and all others; upstreams about each upstream,
// by its ID.
type hostState struct {
	lifecycle, config, operatorStore, upstreamStore, otherStore Line
	upstreams                                                   map[string]Line
}

// update records a line that reports a state change and ignores other lines.
func (s *hostState) update(line Line) {
	kind, _, _ := strings.Cut(line.Message, ":")
	switch kind {
	case "host", "stopping":
		if line.Message == messageHostStarted {
			*s = hostState{upstreams: make(map[string]Line)} // the process has restarted, so what it logged before no longer holds
		}
		s.lifecycle = line
	case "config":
		s.config = line
	case "store":
		prefix, _ := line.Fields["prefix"].(string)
		switch {
		case strings.HasPrefix(prefix, "op"):
			s.operatorStore = line
		case strings.HasPrefix(prefix, "servers"):
			s.upstreamStore = line
		default:
			s.otherStore = line
		}
	case "upstream":
		if id, ok := line.Fields["upstream"].(string); ok {
			s.upstreams[id] = line
		}
	}
}

// describe returns the state changes that preceded a line, newest first, each with its age. The state of an upstream is included
// if the line names one.
func (s *hostState) describe(line *Line) []string {
	changes := []Line{s.lifecycle, s.config, s.operatorStore, s.upstreamStore, s.otherStore}
	if id, ok := line.Fields["upstream"].(string); ok {
		changes = append(changes, s.upstreams[id])
	}
	slices.SortStableFunc(changes, func(a, c Line) int { return c.Time.Compare(a.Time) })
	var descriptions []string
	for _, change := range changes {
		if change.Message != "" {
			descriptions = append(descriptions, fmt.Sprintf("%s, %v before%s", change.Message, line.Time.Sub(change.Time).Round(time.Millisecond), change.formatFields()))
		}
	}
	return descriptions
}

// formatFields formats a line's fields in order of their names, as " name=value" each.
func (l *Line) formatFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Text formats a step for the terminal: the line and, indented below it, the host's state.
func (s *Step) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s%s\n", s.Line.Time.Format("15:04:05.000"), s.Line.Host, s.Line.Message, s.Line.formatFields())
	for _, change := range s.HostState {
		fmt.Fprintf(&b, "    believed: %s\n", change)
	}
	return b.String()
}
