//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["adopt"] = caseAdopt }

const batchRoute = `{"name":"lists","host":"desk.example","prefix":"/lists/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"gapTargetMs":500,"completionTargetMs":18000,"retentionS":60,"priority":2,"maxAttempts":3,"maxCount":2400000,"service":"desk","sticky":true}`

// itemEngine stands in for engines that run the items of batch jobs, and counts which of them run.
type itemEngine struct {
	events int
	pause  time.Duration

	mu       sync.Mutex
	running  map[string]int
	finished map[string]time.Time
	// active is when an item was last at a replica.
	active map[string]time.Time
}

func newItemEngine(events int, pause time.Duration) *itemEngine {
	return &itemEngine{events: events, pause: pause, running: map[string]int{}, finished: map[string]time.Time{}, active: map[string]time.Time{}}
}

func (e *itemEngine) text(id string) string {
	var lines []string
	for n := 1; n <= e.events; n++ {
		lines = append(lines, fmt.Sprintf("%s token %d", id, n))
	}
	return strings.Join(lines, "\n")
}

func (e *itemEngine) handle(r *replica, w http.ResponseWriter, q *http.Request, id string) {
	e.mu.Lock()
	e.running[id]++
	e.active[id] = time.Now()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running[id]--
		e.active[id] = time.Now()
		e.mu.Unlock()
	}()
	from := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	w.Header().Set("X-Server-Stamp", r.stamp(id))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= e.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, id, n)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.pause):
		case <-q.Context().Done():
			return
		}
	}
	e.mu.Lock()
	e.finished[id] = time.Now()
	e.mu.Unlock()
}

// call makes one call on a new connection.
func call(method, address, path, id, body string) (int, []byte) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	cannotRun(err)
	q.Host = "desk.example"
	if id != "" {
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Request-Deadline", "4000")
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := client.Do(q)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return a.StatusCode, data
}

// jobBody returns a batch job of so many items.
func jobBody(job string, items int) string {
	var list []map[string]any
	for n := range items {
		id := fmt.Sprintf("%s%02x", job, n)
		list = append(list, map[string]any{
			"id": id, "path": "/lists/" + id, "tokens": 700, "body": base64.StdEncoding.EncodeToString([]byte("item " + id)),
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": "450,250", "X-Prompt-Prefix": "9c2e41:200," + id + ":250"},
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list})
	return string(data)
}

type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Text string
	} `json:"results"`
}

// readAll reads all results of a batch job that a host lists.
func readAll(address, job string) (resultPage, int) {
	var all resultPage
	for {
		status, data := call(http.MethodGet, address, fmt.Sprintf("/-/lots/%s?after=%d", job, len(all.Results)), "", "")
		if status != 200 {
			return all, status
		}
		var page resultPage
		cannotRun(json.Unmarshal(data, &page))
		all.Total = page.Total
		if len(page.Results) == 0 {
			return all, 200
		}
		all.Results = append(all.Results, page.Results...)
	}
}

// caseAdopt kills the two processes of one zone for good, which have accepted batch jobs, and lets the others finish them. With
// trouble, the store cuts watches that have waited for a while.
func caseAdopt() {
	const (
		jobs    = 24
		items   = 10
		finish  = 18 * time.Second
		settled = 6 * time.Second // beyond finishS, for the calm of the last 5 s
	)
	s := startStore()
	s.put("op/config", config(3, batchRoute))
	engine := newItemEngine(60, 20*time.Millisecond)
	for i := range 18 {
		startReplica(s, i, "desk", 8, engine.handle)
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	if trouble {
		const limit = 1900 * time.Millisecond
		s.mu.Lock()
		s.longest = limit
		s.mu.Unlock()
		note("from here on the store cuts each watch that has waited for %v", limit)
		time.Sleep(5 * time.Second)
	}
	var accepted []string
	for n := range jobs {
		job := fmt.Sprintf("7c41e09b52d6%04x", n)
		h := f.hosts[n%len(f.hosts)]
		status, data := call(http.MethodPost, h.front, "/lists/"+job, job, jobBody(job, items))
		detail("job %s at %s: %d %.100s", job, h.name, status, data)
		if status == http.StatusAccepted {
			accepted = append(accepted, job)
		}
	}
	sent := time.Now()
	note("%d jobs accepted", len(accepted))
	var left []*host
	for _, h := range f.hosts {
		if h.zone != "z0" {
			left = append(left, h)
			continue
		}
		h.kill()
		note("%s is killed for good", h.name)
	}
	for time.Since(sent) < finish+settled {
		time.Sleep(3 * time.Second)
		note("%.0f s after the last job: %d items are not listed, %d are at replicas", time.Since(sent).Seconds(), len(unlisted(left, accepted, items)), engine.atReplicas())
	}
	open := unlisted(left, accepted, items)
	now := time.Now()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for id, at := range engine.finished {
		if now.Sub(at) < 3*time.Second {
			note("item %s was finished in the last 3 s: nothing is judged", id)
			exit(exitNotRun)
		}
	}
	lost := 0
	for _, id := range open {
		if at := engine.active[id]; engine.running[id] == 0 && now.Sub(at) > 5*time.Second {
			lost++
			detail("item %s is not listed; its last run ended %.1f s ago", id, now.Sub(at).Seconds())
		}
	}
	verdict(lost > 0, "%d items of accepted jobs are listed neither as completed nor as abandoned %.0f s after the last job was sent, and no replica has had them in the last 5 s", lost, now.Sub(sent).Seconds())
}

// unlisted returns the items that none of the hosts lists.
func unlisted(hosts []*host, jobs []string, items int) []string {
	var open []string
	for _, job := range jobs {
		listed := map[string]bool{}
		for _, h := range hosts {
			page, status := readAll(h.front, job)
			detail("job %s at %s: status %d, %d of %d listed", job, h.name, status, len(page.Results), items)
			for _, r := range page.Results {
				listed[r.ID] = true
			}
			if len(listed) == items {
				break
			}
		}
		for n := range items {
			if id := fmt.Sprintf("%s%02x", job, n); !listed[id] {
				open = append(open, id)
			}
		}
	}
	return open
}

// atReplicas returns how many items run.
func (e *itemEngine) atReplicas() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, running := range e.running {
		n += running
	}
	return n
}
