package berylquarantine

import (
	"slices"
	"strings"
)

// requestPrefix and itemPrefix mark the keys of requests and of items of jobs among the IDs of prompt parts.
const (
	requestPrefix = "request:"
	itemPrefix    = "item:"
)

// Prompt is what the quarantine knows of a request.
type Prompt struct {
	// Parts are the IDs of the parts that other prompts may hold too.
	Parts []string
	// Requests are the keys of the request itself (see RequestKeys), under which it is known when it comes again, the widest
	// first. Items of jobs have none: they never crash upstreams by themselves.
	Requests []string
	// Item is the key of the item whose prompt it is (see ItemKey), or empty. It narrows what crashes of one item prove of its parts
	// and is never quarantined by itself.
	Item string
}

// ItemKey returns the key of an item of a job.
func ItemKey(job, item string) string {
	return itemPrefix + job + "/" + item
}

// IsEmpty reports whether nothing in the prompt could be quarantined.
func (p *Prompt) IsEmpty() bool {
	return len(p.Parts) == 0 && len(p.Requests) == 0
}

// keys returns what crashes can count against: the parts and the request or the item itself.
func (p *Prompt) keys() []string {
	keys := slices.Concat(p.Parts, p.Requests)
	if p.Item != "" && len(p.Parts) > 0 {
		keys = append(keys, p.Item)
	}
	return keys
}

// isRequest reports whether a key is that of a request and not the ID of a prompt part.
func isRequest(key string) bool {
	return strings.HasPrefix(key, requestPrefix)
}

// isItem reports whether a key is that of an item and not the ID of a prompt part.
func isItem(key string) bool {
	return strings.HasPrefix(key, itemPrefix)
}
