//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// storeHandler serves the platform's store, as PROTOCOL says, from a store in memory.
type storeHandler struct {
	backing *berylfake.MemoryStore

	// turnsAway makes the store answer this host's calls with 503.
	turnsAway atomic.Bool
}

// maxKey and maxValue are the store's limits of a key and of a value, in bytes.
const (
	maxKey   = 200
	maxValue = 1048576
)

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Lease    int64  `json:"lease"`
}

func wire(i berylstore.Item) wireItem {
	return wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *storeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if s.turnsAway.Load() {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	switch {
	case r.URL.Path == "/-/kv-key":
		i, found, _ := s.backing.Get(r.Context(), query.Get("key"))
		if !found {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, wire(i))
	case r.URL.Path == "/-/kv-range":
		page, _ := s.backing.List(r.Context(), query.Get("prefix"), query.Get("after"))
		items := []wireItem{}
		for _, i := range page.Items {
			items = append(items, wire(i))
		}
		answer(w, http.StatusOK, map[string]any{"items": items, "truncated": page.More, "asOf": page.AsOf})
	case r.URL.Path == "/-/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		events, asOf, err := s.backing.Watch(r.Context(), query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		if errors.Is(err, berylstore.ErrCompacted) {
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		list := []wireItem{}
		for _, e := range events {
			i := wire(e.Item)
			i.Deleted = e.Deleted
			list = append(list, i)
		}
		answer(w, http.StatusOK, map[string]any{"events": list, "asOf": asOf})
	case r.URL.Path == "/-/kv-txn":
		s.commit(w, r)
	case r.URL.Path == "/-/kv-lease":
		var request struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request)
		lease, _ := s.backing.Grant(r.Context(), time.Duration(request.TTL)*time.Millisecond)
		answer(w, http.StatusOK, map[string]any{"lease": lease, "ttlMs": request.TTL})
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		lease, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/-/kv-keep/"), 10, 64)
		status := http.StatusOK
		if alive, _ := s.backing.KeepAlive(r.Context(), lease); !alive {
			status = http.StatusNotFound
		}
		answer(w, status, map[string]any{})
	default:
		answer(w, http.StatusBadRequest, map[string]any{})
	}
}

func (s *storeHandler) commit(w http.ResponseWriter, r *http.Request) {
	var request struct {
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
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	txn := berylstore.Txn{Deletes: request.Deletes}
	for _, c := range request.Checks {
		txn.Checks = append(txn.Checks, berylstore.Check{Key: c.Key, Revision: c.Revision})
	}
	for _, p := range request.Puts {
		if len(p.Key) > maxKey || len(p.Value) > maxValue {
			answer(w, http.StatusBadRequest, map[string]any{"error": "key or value too long"})
			return
		}
		txn.Puts = append(txn.Puts, berylstore.Put{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	result := s.backing.Commit(r.Context(), txn)
	switch result.Status {
	case berylstore.Done:
		answer(w, http.StatusOK, map[string]any{"revision": result.Revision})
	case berylstore.Conflict:
		items := []wireItem{}
		for _, i := range result.Current {
			items = append(items, wire(i))
		}
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}
