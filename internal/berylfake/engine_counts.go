package berylfake

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
)

// maxCountedKeys limits how many request ids, and how many body hashes, a stand-in counts separately.
const maxCountedKeys = 1 << 18

// RunCounts counts the runs of requests, either all of them or those with one request id or one body.
type RunCounts struct {
	// Started counts the runs that have started.
	Started int `json:"started"`
	// Finished counts the runs that completed.
	Finished int `json:"finished"`
	// Cancelled counts the runs that ended early because the client disconnected.
	Cancelled int `json:"cancelled"`
}

// Counts holds the counters of a stand-in since it started.
type Counts struct {
	RunCounts
	// Refused counts the requests that were answered with 429 or 503 without being run.
	Refused int `json:"refused"`
	// Tokens counts the generated tokens.
	Tokens int64 `json:"tokens"`
	// Running is the number of runs in progress.
	Running int `json:"running"`
	// ByRequest counts the runs of each X-Request-Id.
	ByRequest map[string]RunCounts `json:"by-request"`
	// ByBody counts the runs of each body. The key is the lower-case hexadecimal SHA-256 of the body.
	ByBody map[string]RunCounts `json:"by-body"`
}

// BodyHash returns the key of a body in Counts.ByBody, the lower-case hexadecimal SHA-256.
func BodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// runCounter counts runs. Its zero value is ready to use.
type runCounter struct {
	mu     sync.Mutex
	counts Counts
}

// countedRun is one run of a request, which its counter counts under the request id and the body hash.
type countedRun struct {
	counter *runCounter
	id      string
	body    string
}

func (l *runCounter) start(id string, body []byte) *countedRun {
	r := &countedRun{counter: l, id: id, body: BodyHash(body)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Running++
	l.add(r, RunCounts{Started: 1})
	return r
}

func (l *runCounter) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Refused++
}

func (l *runCounter) add(r *countedRun, change RunCounts) {
	l.counts.RunCounts = sum(l.counts.RunCounts, change)
	if l.counts.ByRequest == nil {
		l.counts.ByRequest = make(map[string]RunCounts)
		l.counts.ByBody = make(map[string]RunCounts)
	}
	addToKey(l.counts.ByRequest, r.id, change)
	addToKey(l.counts.ByBody, r.body, change)
}

func addToKey(counts map[string]RunCounts, key string, change RunCounts) {
	old, known := counts[key]
	if !known && len(counts) >= maxCountedKeys {
		return
	}
	counts[key] = sum(old, change)
}

func sum(a, b RunCounts) RunCounts {
	return RunCounts{
		Started:   a.Started + b.Started,
		Finished:  a.Finished + b.Finished,
		Cancelled: a.Cancelled + b.Cancelled,
	}
}

// end records whether the run finished or was cancelled, and how many tokens it generated.
func (r *countedRun) end(finished bool, tokens int) {
	change := RunCounts{Cancelled: 1}
	if finished {
		change = RunCounts{Finished: 1}
	}
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.counter.counts.Running--
	r.counter.counts.Tokens += int64(tokens)
	r.counter.add(r, change)
}

func (l *runCounter) snapshot() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := l.counts
	copied.ByRequest = maps.Clone(l.counts.ByRequest)
	copied.ByBody = maps.Clone(l.counts.ByBody)
	return copied
}
