//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer, as in the users' sheet.
const storeAnswerTime = 4 * time.Millisecond

// valueBytes bounds a value, as platform.valueBytes says.
const valueBytes = 1 << 20

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*kvItem
	history  []kvEvent
	// compacted is the revision up to which the history is dropped.
	compacted int64
	leases    map[int64]time.Time
	nextID    int64
	changed   chan struct{}
}

type kvItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type kvEvent struct {
	kvItem
	Deleted bool `json:"deleted,omitempty"`
	at      time.Time
}

// historyTime is how long the store keeps its history, as in the users' sheet.
const historyTime = 20 * time.Second

// addHistory adds an event and drops those that are older than historyTime.
func (s *store) addHistory(e kvEvent) {
	e.at = time.Now()
	s.history = append(s.history, e)
	old := 0
	for old < len(s.history) && e.at.Sub(s.history[old].at) > historyTime {
		s.compacted = s.history[old].Revision
		s.history[old].Value = ""
		old++
	}
	s.history = s.history[old:]
}

func newStore() *store {
	return &store{revision: 1, items: map[string]*kvItem{}, leases: map[int64]time.Time{}, nextID: 1000, changed: make(chan struct{})}
}

// storeFront is one address of the store. A fault may be set for it alone.
type storeFront struct {
	store   *store
	address string
	mu      sync.Mutex
	fault   string // "": none; "refuse": answers 503; "reset": resets connections; "silent": never answers
}

func (s *store) listen(ip string) *storeFront {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	f := &storeFront{store: s, address: l.Addr().String()}
	go func() { _ = (&http.Server{Handler: f}).Serve(l) }()
	return f
}

func (f *storeFront) setFault(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	switch fault {
	case "refuse":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "reset":
		abort(w)
	case "silent":
		<-r.Context().Done()
	default:
		f.store.serve(w, r)
	}
}

// abort resets the connection of a request.
func abort(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *store) expire() {
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		s.remove(keys)
		s.notify()
	}
}

func (s *store) remove(keys []string) {
	for _, key := range keys {
		if s.items[key] != nil {
			delete(s.items, key)
			s.addHistory(kvEvent{kvItem: kvItem{Key: key, Revision: s.revision}, Deleted: true})
		}
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key, value string, lease int64) {
	item := &kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		item.Created = old.Created
	}
	s.items[key] = item
	s.addHistory(kvEvent{kvItem: *item})
}

// write writes one item as the operator or a replica does.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	if len(data) > valueBytes {
		cannotRun(fmt.Sprintf("the value of %s has %d bytes", key, len(data)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, base64.StdEncoding.EncodeToString(data), 0)
	s.notify()
}

// drop removes one item.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove([]string{key})
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/-/kv-key":
		s.mu.Lock()
		s.expire()
		item := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if item == nil {
			answer(w, http.StatusNotFound, map[string]any{"asOf": asOf})
			return
		}
		answer(w, http.StatusOK, struct {
			kvItem
			AsOf int64 `json:"asOf"`
		}{*item, asOf})
	case r.URL.Path == "/-/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/-/kv-txn":
		s.commit(w, r)
	case r.URL.Path == "/-/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = time.Now().Add(time.Duration(body.TTL) * time.Millisecond)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": body.TTL})
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"), strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		s.expire()
		_, alive := s.leases[id]
		if alive && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if alive {
			s.leases[id] = time.Now().Add(time.Minute)
		}
		s.mu.Unlock()
		if !alive {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttlMs": 60000})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []kvItem{}, 0
	for _, key := range keys {
		if len(items) >= 500 || size > 1<<20 {
			break
		}
		items = append(items, *s.items[key])
		size += len(s.items[key].Value)
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": len(items) < len(keys), "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		s.mu.Lock()
		s.expire()
		if after < s.compacted {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []kvEvent{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Checks []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"putItems"`
		Deletes []string `json:"deleteKeys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Checks)+len(body.Puts)+len(body.Deletes) > 32 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range body.Puts {
		if base64.StdEncoding.DecodedLen(len(p.Value)) > valueBytes+2 || len(p.Key) > 200 {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []kvItem{}, true
	for _, c := range body.Checks {
		revision := int64(0)
		if item := s.items[c.Key]; item != nil {
			revision = item.Revision
			current = append(current, *item)
		}
		holds = holds && revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if _, alive := s.leases[p.Lease]; p.Lease != 0 && !alive {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	s.remove(body.Deletes)
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}
