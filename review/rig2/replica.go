//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica stands in for a replica.
type replica struct {
	id, service, address, zone string
	slots                      int
	store                      *store
	handle                     func(w http.ResponseWriter, r *http.Request, id string)
	stage                      string

	mu      sync.Mutex
	running int
	server  *http.Server
}

// startReplica starts a replica and writes its entry.
func startReplica(s *store, n int, service string, slots int, handle func(rep *replica, w http.ResponseWriter, r *http.Request, id string)) *replica {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	cannotRun(err)
	r := &replica{id: fmt.Sprintf("i-%06x", 0xab1000+n), service: service, address: listener.Addr().String(), zone: "z" + strconv.Itoa(n%3), slots: slots, store: s}
	r.handle = func(w http.ResponseWriter, q *http.Request, id string) { handle(r, w, q, id) }
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.announce()
	return r
}

func (r *replica) announce() time.Time {
	return r.store.put("servers/"+r.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`,
		r.service, r.address, r.zone, r.slots, began.UnixMilli()))
}

// ServeHTTP checks what all replicas check and counts the slots.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	full := r.running >= 4*r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.handle(w, q, id)
}

// stamp returns a replica's signature.
func (r *replica) stamp(id string) string { return "3e1b.07." + id }
