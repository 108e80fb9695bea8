//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// kvItem is an item, or the removal of one, as the store's pages spell it.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	dropped  int64 // history up to this revision is gone
	items    map[string]kvItem
	history  []kvItem
	leases   map[int64]time.Time
	lengths  map[int64]time.Duration
	next     int64
	changed  chan struct{}
	cut      chan struct{}
	// longest, if not zero, is how long a watch waits until its connection is cut.
	longest time.Duration
}

func startStore() *store {
	s := &store{items: map[string]kvItem{}, leases: map[int64]time.Time{}, lengths: map[int64]time.Duration{}, revision: 1, changed: make(chan struct{}), cut: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	cannotRun(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) record(item kvItem) {
	item.at = time.Now()
	s.history = append(s.history, item)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item for the operator or a replica, and returns when that was done.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.record(kvItem{Key: key, Value: []byte(value), Revision: s.revision, Created: created})
	s.wake()
	return time.Now()
}

// remove removes an item and returns when that was done.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.record(kvItem{Key: key, Revision: s.revision, Deleted: true})
		s.wake()
	}
	return time.Now()
}

// cutWatches closes the connections of all watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	woken := false
	for key, item := range s.items {
		if item.Lease == id {
			if !woken {
				s.revision++
				woken = true
			}
			s.record(kvItem{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	if woken {
		s.wake()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		AsOf int64 `json:"asOf"`
	}{item, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items, asOf := []kvItem{}, s.revision
	for key, item := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, item)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated, size := false, 0
	for i := range items {
		if size += len(items[i].Value); i > 0 && (i >= 500 || size > 1<<20) {
			items, truncated = items[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	waiting, since := true, time.Now()
	for {
		s.mu.Lock()
		events, asOf, gone := []kvItem{}, s.revision, after < s.dropped
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				events = append(events, e)
			}
		}
		changed, cut, longest := s.changed, s.cut, s.longest
		s.mu.Unlock()
		var over <-chan time.Time
		if longest > 0 {
			over = time.After(time.Until(since.Add(longest)))
		}
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		case <-over:
			cutConnection(w)
			return
		case <-cut:
			cutConnection(w)
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Checks []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"putItems"`
		Deletes []string `json:"deleteKeys"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &txn) != nil || len(txn.Checks)+len(txn.Puts)+len(txn.Deletes) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") || len(p.Key) > 200 || len(p.Value) > 1<<20 {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []kvItem{}
	for _, c := range txn.Checks {
		item, ok := s.items[c.Key]
		holds = holds && item.Revision == c.Revision
		if ok {
			current = append(current, item)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		s.record(kvItem{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease})
	}
	for _, key := range txn.Deletes {
		if _, ok := s.items[key]; ok {
			s.record(kvItem{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	length := time.Duration(min(max(request.TTL, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id], s.lengths[id] = time.Now().Add(length), length
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": length.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = time.Now().Add(s.lengths[id])
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": s.lengths[id].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}

// cutConnection closes the connection of a call, so that its client sees the end of it without an answer.
func cutConnection(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}
