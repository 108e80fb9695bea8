//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["watch-cut"] = caseWatchCut }

// caseWatchCut replaces replicas, three each few seconds: the entries of the old ones are removed, as of replicas that never report
// draining. With trouble, the store has cut the watches that waited a moment before. Two of the six entry hosts are lost long before,
// with trouble or without.
func caseWatchCut() {
	const (
		replicas  = 18
		rounds    = 6
		drain     = 2000 * time.Millisecond
		perRound  = 3                      // of 18 replicas
		moment    = 300 * time.Millisecond // from the cut to the removal
		slack     = 20 * time.Millisecond  // between the store's answer and the clock of this program
		stayAlive = 4 * time.Second        // how long a replica serves on after its entry was removed
	)
	s := startStore()
	s.put("op/config", config(3, `{"name":"quotes","host":"desk.example","prefix":"/quotes/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"gapTargetMs":500,"priority":0,"maxAttempts":1,"service":"desk"}`))
	var mu sync.Mutex
	removed := map[string]time.Time{} // when the store acknowledged that a replica is gone
	late := 0
	latest := time.Duration(0)
	handle := func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
		arrived := time.Now()
		mu.Lock()
		if at, ok := removed[r.id]; ok {
			after := arrived.Sub(at)
			detail("request %s reaches %s %.3f s after the store acknowledged that it is gone", id, r.id, after.Seconds())
			if after > drain+slack {
				late++
				latest = max(latest, after)
			}
		}
		mu.Unlock()
		w.Header().Set("X-Server-Stamp", r.stamp(id))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 6; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
	var list []*replica
	for i := range replicas {
		list = append(list, startReplica(s, i, "desk", 8, handle))
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	var left []*host
	for _, h := range f.hosts {
		if h.zone != "z0" {
			left = append(left, h)
			continue
		}
		h.kill()
		note("%s is lost for good", h.name)
	}
	time.Sleep(8 * time.Second) // the others are in touch from here on
	stop := make(chan struct{})
	var answered, other atomic.Int64
	var group sync.WaitGroup
	for c := range 48 {
		group.Go(func() {
			client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("%08x%08x", c+1, n)
				q, _ := http.NewRequest(http.MethodPost, "http://"+left[c%len(left)].front+fmt.Sprintf("/quotes/%d", n), strings.NewReader("quote "+id))
				q.Host = "desk.example"
				q.Header.Set("X-Request-Id", id)
				q.Header.Set("X-Request-Deadline", "5000")
				a, err := client.Do(q)
				if err != nil {
					other.Add(1)
					detail("request %s: %v", id, err)
					continue
				}
				_, err = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if err == nil && a.StatusCode == 200 {
					answered.Add(1)
				} else {
					other.Add(1)
					detail("request %s answered %d, %v", id, a.StatusCode, err)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		gone := list[perRound*round : perRound*(round+1)]
		for n := range perRound { // the new ones come before the old ones go
			list = append(list, startReplica(s, len(list)+n, "desk", 8, handle))
		}
		time.Sleep(time.Second)
		if trouble {
			s.cutWatches()
			note("the store cuts the watches that wait")
		}
		time.Sleep(moment)
		for _, r := range gone {
			mu.Lock()
			removed[r.id] = s.remove("servers/" + r.id)
			mu.Unlock()
			note("the store has acknowledged that %s is gone", r.id)
		}
		time.Sleep(stayAlive)
		for _, r := range gone {
			_ = r.server.Close()
		}
		mu.Lock()
		note("so far %d requests have reached replicas later than drainMs, the latest after %.3f s", late, latest.Seconds())
		mu.Unlock()
	}
	close(stop)
	group.Wait()
	note("%d requests answered, %d otherwise", answered.Load(), other.Load())
	verdict(late > 0, "%d requests reached replicas later than drainMs after the store acknowledged that they are gone, the latest %.3f s", late, latest.Seconds())
}
