package berylquarantine

import (
	"slices"
	"strings"
)

// requestPrefix marks the keys of requests among the IDs of prompt parts.
const requestPrefix = "request:"

// Prompt is what the quarantine knows of a request.
type Prompt struct {
	// Parts are the IDs of the parts that other prompts may hold too.
	Parts []string
	// Requests are the keys of the request itself (see RequestKeys), under which it is known when it comes again, the widest
	// first. Items of jobs have none: they never crash upstreams by themselves.
	Requests []string
}

// IsEmpty reports whether nothing in the prompt could be quarantined.
func (p *Prompt) IsEmpty() bool {
	return len(p.Parts) == 0 && len(p.Requests) == 0
}

// keys returns what crashes can count against: the parts and the request itself.
func (p *Prompt) keys() []string {
	return slices.Concat(p.Parts, p.Requests)
}

// isRequest reports whether a key is that of a request and not the ID of a prompt part.
func isRequest(key string) bool {
	return strings.HasPrefix(key, requestPrefix)
}
