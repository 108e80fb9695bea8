package berylquarantine

import "slices"

// requestPrefix marks the key of a request among the IDs of prompt parts.
const requestPrefix = "request:"

// Prompt is what the quarantine knows of a request.
type Prompt struct {
	// Parts are the IDs of the parts that other prompts may hold too.
	Parts []string
	// Request identifies the request if it may be sent more than once; otherwise it is empty. A request that crashes one
	// upstream after the other by itself says nothing of its parts.
	Request string
}

// IsEmpty reports whether nothing in the prompt could be quarantined.
func (p *Prompt) IsEmpty() bool {
	return len(p.Parts) == 0 && p.Request == ""
}

// keys returns what crashes can count against: the parts and the request itself.
func (p *Prompt) keys() []string {
	if p.Request == "" {
		return p.Parts
	}
	return append(slices.Clone(p.Parts), requestPrefix+p.Request)
}
