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
		clients  = 48
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
	orders := map[string][]string{} // the attempts of an order
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			for n := range requests / clients {
				order := fmt.Sprintf("%08x%04x", c+1, n)
				// A client sends a request that may run once again, under another id, only after a promise that it has not run.
				for attempt := range 2 {
					id := fmt.Sprintf("%s%04x", order, attempt)
					q, _ := http.NewRequest(http.MethodPost, "http://"+f.hosts[(c+attempt)%len(f.hosts)].front+"/orders/"+order, strings.NewReader("order "+order))
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
					orders[order] = append(orders[order], id)
					ran := runs[id]
					mu.Unlock()
					detail("request %s answered %d stamp %q ran at %q", id, status, stamp, ran)
					if !isPromise(status) {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	counts, broken, twice := map[int]int{}, 0, 0
	mu.Lock()
	for id, status := range answers {
		counts[status]++
		if isPromise(status) && runs[id] != "" {
			broken++
		}
	}
	for _, attempts := range orders {
		if len(attempts) == 2 && runs[attempts[0]] != "" && runs[attempts[1]] != "" {
			twice++
		}
	}
	mu.Unlock()
	note("answers by status: %v; %d orders were carried out twice", counts, twice)
	verdict(broken > 0, "%d requests that may run once were answered 429 or 503 and have run", broken)
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
