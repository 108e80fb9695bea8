package berylfake

import (
	"net/http"
	"slices"
	"time"
)

const (
	defaultCachedPrefixes = 64
	// prefixBytes is how many bytes of a prompt's beginning are the key of the prefix cache.
	prefixBytes = 256
)

// EngineOptions configures an engine stand-in. With all durations zero, the engine answers immediately.
type EngineOptions struct {
	// Models lists the names of the models served; if it is empty, any model is served.
	Models []string
	// TokenTime is the time to generate one token when no other request runs.
	TokenTime time.Duration
	// BatchGrowth is the fraction of TokenTime that each further running request adds to the time of a token.
	BatchGrowth float64
	// PrefillTime is the time before the first token when the prompt's prefix is not cached.
	PrefillTime time.Duration
	// CachedPrefillTime is the time before the first token when the prompt's prefix is cached.
	CachedPrefillTime time.Duration
	// CachedPrefixes is the number of prefixes that the cache holds; zero means 64.
	CachedPrefixes int
	// MaxRunning is the maximum number of requests that run at once; the others queue in order of arrival. Zero means no limit.
	MaxRunning int
	// LoadLag is the age of the load that GET /load reports.
	LoadLag time.Duration
	// Resume makes the engine honour the request field continue_from.
	Resume bool
}

// Engine simulates a model engine. It admits requests in order of arrival and has no priorities.
//
// It supports one extension: a request with "continue_from": N in its body is answered from token N on, so that a client
// can resume a stream whose first N events it already has. Every event of a stream carries one token, and the answer
// depends only on the request, so tests can compute the expected text (see EngineAnswer).
type Engine struct {
	server
	options EngineOptions
	batch   batchModel
	cache   prefixCache
	// slots holds one value for each running request; nil means no limit.
	slots chan struct{}
}

// StartEngine starts an engine stand-in on a TCP address such as "127.0.0.1:0". It fails if it cannot listen there.
func StartEngine(addr string, options EngineOptions) (*Engine, error) {
	e := &Engine{options: options}
	if e.options.CachedPrefixes <= 0 {
		e.options.CachedPrefixes = defaultCachedPrefixes
	}
	if options.MaxRunning > 0 {
		e.slots = make(chan struct{}, options.MaxRunning)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /load", e.load)
	if err := e.serve(addr, mux); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	var listed struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	listed.Object = "list"
	listed.Data = []model{}
	for _, name := range e.options.Models {
		listed.Data = append(listed.Data, model{ID: name, Object: "model", OwnedBy: "standin"})
	}
	writeJSON(w, http.StatusOK, listed)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	running := e.batch.laggedLoad(time.Now(), e.options.LoadLag)
	writeJSON(w, http.StatusOK, struct {
		Running int `json:"running"`
	}{running})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	p, err := readPrompt(body, isChat(r.URL.Path))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(e.options.Models) > 0 && !slices.Contains(e.options.Models, p.model) {
		writeError(w, http.StatusNotFound, "model "+p.model+" is not served here")
		return
	}
	if !e.options.Resume {
		p.firstToken = 0
	}
	x := e.begin(w, r, body)
	if x == nil {
		return
	}
	if !e.acquireSlot(r) {
		x.end(false)
		return
	}
	defer e.releaseSlot()
	e.batch.addRunning(1, time.Now(), e.options.LoadLag)
	defer func() { e.batch.addRunning(-1, time.Now(), e.options.LoadLag) }()
	x.tokenTime = func() time.Duration { return e.batch.tokenTime(e.options.TokenTime, e.options.BatchGrowth) }
	x.prefill = e.prefill(p.text)
	x.complete(&p)
}

func (e *Engine) prefill(text string) time.Duration {
	prefix := text[:min(len(text), prefixBytes)]
	if e.cache.touch(prefix, e.options.CachedPrefixes) {
		return e.options.CachedPrefillTime
	}
	return e.options.PrefillTime
}

// acquireSlot waits until fewer than MaxRunning requests run. It returns false if the client disconnects first.
func (e *Engine) acquireSlot(r *http.Request) bool {
	if e.slots == nil {
		return true
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	if e.slots != nil {
		<-e.slots
	}
}
