//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	engineQueue = 24
)

// engine is a stand-in for one model replica: it runs up to slots requests at once, in order of arrival.
type engine struct {
	id, service, zone, address string
	born                       int64
	slots                      int
	store                      *store
	record                     *record
	// events returns the number of events of a request's output, pause is the time for one of them.
	events func(requestID string) int
	pause  time.Duration
	// quiet leaves its runs out of the record.
	quiet bool
	// first is the time that a request takes before its first event.
	first time.Duration

	mu       sync.Mutex
	sequence int
	busy     chan struct{}
	waiting  int
	runs     int
	begun    map[string]bool
	stopped  chan struct{}
}

// eventData is the data of one event of a request's output. The replicas of one service make the same output; those of
// another service, which serve another model, make another.
func eventData(service, requestID string, n int) string {
	s := fmt.Sprintf("%s %s event %d ", service, requestID, n)
	return s + strings.Repeat(".", max(60-len(s), 0))
}

// output is the whole output of a request at a service, as the text of a result holds it.
func output(service, requestID string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(service, requestID, i+1)
	}
	return strings.Join(lines, "\n")
}

func (e *engine) start(ip string) {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	e.address = l.Addr().String()
	e.born = time.Now().UnixMilli()
	e.busy = make(chan struct{}, e.slots)
	e.stopped = make(chan struct{})
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	e.announce()
	go func() {
		for range time.Tick(heartbeat) {
			select {
			case <-e.stopped:
				return
			default:
				e.announce()
			}
		}
	}()
}

// announce writes the replica's entry.
func (e *engine) announce() {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	e.store.write("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": n, "born": e.born,
	})
}

func (e *engine) note(what, format string, args ...any) {
	if !e.quiet {
		e.record.add(what, format, args...)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_ = body
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	full := e.waiting >= engineQueue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.busy <- struct{}{}:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	e.runs++
	e.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	defer func() { <-e.busy }()
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	e.mu.Lock()
	if e.begun == nil {
		e.begun = map[string]bool{}
	}
	e.begun[id] = true
	e.mu.Unlock()
	e.note("run", "replica=%s service=%s request=%s after-event=%d", e.id, e.service, id, from)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	total := e.events(id)
	for n := from + 1; n <= total; n++ {
		pause := e.pause
		if n == from+1 {
			pause += e.first
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.note("run-cut", "replica=%s service=%s request=%s events-made=%d", e.id, e.service, id, n-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(e.service, id, n))
		w.(http.Flusher).Flush()
	}
	e.note("run-end", "replica=%s service=%s request=%s events=%d", e.id, e.service, id, total)
}
