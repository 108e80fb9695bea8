//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["refusal"] = caseRefusal }

// config returns a configuration of routes for one service.
func config(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","connectionLimit":230,"healthPath":"/health","engine":{"slots":8}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":10000}}`, version, strings.Join(routes, ","))
}

// caseRefusal lets two of eighteen replicas fail a part of the requests that they have run with a 503 of their own, which bears no
// X-Not-Run. The clients' requests may run once at most.
func caseRefusal() {
	const (
		replicas = 18
		share    = 0.4
		requests = 4800
	)
	s := startStore()
	s.put("op/config", config(3, `{"name":"orders","host":"desk.example","prefix":"/orders/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"maxAttempts":1,"service":"desk"}`))
	var mu sync.Mutex
	runs := map[string]string{} // the replica that ran an attempt
	handle := func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
		mu.Lock()
		runs[id] = r.id
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("X-Server-Stamp", r.stamp(id))
		if trouble && r.stage == "grey" && rand.Float64() < share {
			w.WriteHeader(http.StatusServiceUnavailable) // it has run: there is no X-Not-Run
			_, _ = io.WriteString(w, "the ledger did not confirm\n")
			return
		}
		_, _ = io.WriteString(w, "done "+id+"\n")
	}
	for i := range replicas {
		r := startReplica(s, i, "desk", 8, handle)
		if i < 2 {
			r.stage = "grey"
			note("replica %s fails a share of %.1f of what it runs", r.id, share)
		}
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	answers := map[string]int{}
	var group sync.WaitGroup
	for c := range 48 {
		group.Go(func() {
			client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			for n := range requests / 48 {
				id := fmt.Sprintf("%016x", uint64(c+1)<<32|uint64(n))
				q, _ := http.NewRequest(http.MethodPost, "http://"+f.hosts[c%len(f.hosts)].front+fmt.Sprintf("/orders/%d", n), strings.NewReader("order "+id))
				q.Host = "desk.example"
				q.Header.Set("X-Request-Id", id)
				q.Header.Set("X-Request-Deadline", "5000")
				status, stamp := 0, ""
				if a, err := client.Do(q); err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
					status, stamp = a.StatusCode, a.Header.Get("X-Server-Stamp")
				}
				mu.Lock()
				answers[id] = status
				ran := runs[id]
				mu.Unlock()
				detail("request %s answered %d stamp %q ran at %q", id, status, stamp, ran)
			}
		})
	}
	group.Wait()
	counts, broken := map[int]int{}, 0
	mu.Lock()
	for id, status := range answers {
		counts[status]++
		if (status == 429 || status == 503 || status == 408 || status == 421) && runs[id] != "" {
			broken++
		}
	}
	mu.Unlock()
	note("answers by status: %v", counts)
	verdict(broken > 0, "%d requests that may run once were answered 429 or 503 and have run", broken)
}
