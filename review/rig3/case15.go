//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashes plays case 15: three replicas of eighteen crash within two seconds, each while it reads the prompt of the same batch item.
func crashes(r *rig) (bool, error) {
	const (
		name       = "nony24.example"
		replicas   = 18
		crashCount = 3
		downFor    = 4500 * time.Millisecond
		events     = 50
		// tokensPerMs is how fast a replica reads a prompt.
		tokensPerMs = 55
		// beat is the heartbeat interval; the entry of a replica that is silent for three is removed.
		beat   = 1200 * time.Millisecond
		finish = 18 * time.Second
	)
	var mu sync.Mutex
	runs, crashed := map[string]int{}, 0
	lastRun := map[string]time.Time{}
	var lastCrash time.Time
	zones := []string{"za", "zb", "zc"}
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 8000}
	services := []any{map[string]any{"name": "llm", "healthPath": "/health", "connectionLimit": 230, "engine": map[string]any{"slots": 8}}}
	r.write("op/config", map[string]any{"version": 1, "limits": limits, "services": services, "routes": []any{
		batchRoute("lots", name, "/lots/", 3),
		map[string]any{"name": "quote", "host": name, "prefix": "/quote/", "service": "llm", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
			"gapTargetMs": 500, "priority": 0, "maxAttempts": 2, "resumable": true},
	}})
	const first = "e5b2907c16da0000"
	var start func(number int) error
	start = func(number int) error {
		serve := func(e *replica, c *replicaConn, request *http.Request) bool {
			id := request.Header.Get("X-Request-Id")
			var prompt, output int
			_, _ = fmt.Sscanf(request.Header.Get("X-Token-Count"), "%d,%d", &prompt, &output)
			reading := time.Duration(prompt/tokensPerMs) * time.Millisecond
			mu.Lock()
			runs[id]++
			run := runs[id]
			lastRun[id] = time.Now()
			crashes := r.trouble && id == first && crashed < crashCount
			if crashes {
				crashed++
			}
			mu.Unlock()
			if strings.HasPrefix(id, "e5b2907c16da") {
				r.note("replica %s: run %d of item %s begins", e.id, run, id)
			}
			if crashes {
				time.Sleep(reading / 2)
				e.crash()
				mu.Lock()
				lastCrash = time.Now()
				mu.Unlock()
				time.AfterFunc(3*beat, func() { r.remove("servers/" + e.id) })
				time.AfterFunc(downFor, func() { _ = start(number + replicas) })
				return false
			}
			return e.stream(c, request, events, reading, 5*time.Millisecond)
		}
		_, err := r.startReplica(fmt.Sprintf("i-%d", number), zones[number%3], "llm", 8, serve)
		return err
	}
	for i := range replicas {
		if err := start(i); err != nil {
			return false, err
		}
	}
	for i, zone := range zones {
		if _, err := r.addHost(i+1, zone); err != nil {
			return false, err
		}
	}
	if err := r.waitReady(); err != nil {
		return false, err
	}
	// Clients of the other route.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served, asked := 0, 0
	for k := range 30 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("9c41d07b%02x%06x", k, n)
				header := map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "450,80", "X-Request-Deadline": "5000",
					"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,e440%02x%04x:250", k, n)}
				status, data, err := r.call(context.Background(), r.hosts[(k+n)%3], "POST", "/quote/2f", name, header, []byte("{}"))
				mu.Lock()
				asked++
				if err == nil && status == http.StatusOK && strings.Contains(string(data), fmt.Sprintf("id: %d\n", events)) {
					served++
				}
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	newItems := func(job, count, prompt int) []item {
		var items []item
		for i := range count {
			items = append(items, newItem(fmt.Sprintf("e5b2907c16da%02x%02x", job, i), "/lots/3/91c4", fmt.Sprintf("9c2e41:%d,5d07%02x%02x:250", prompt-250, job, i), prompt, 200))
		}
		return items
	}
	jobs := map[string]int{"7c41e09b52d6a500": 1, "7c41e09b52d6a501": 10}
	if err := r.submit(r.hosts[0], name, "/lots/7c41e0", "7c41e09b52d6a500", newItems(0, 1, 33000)); err != nil {
		return false, err
	}
	for until := time.Now().Add(20 * time.Second); r.trouble; time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		n := crashed
		mu.Unlock()
		if n == crashCount {
			break
		}
		if time.Now().After(until) {
			return false, fmt.Errorf("only %d replicas have crashed", n)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	if err := r.submit(r.hosts[1], name, "/lots/7c41e1", "7c41e09b52d6a501", newItems(1, 10, 350)); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	end := time.Now()
	mu.Lock()
	r.note("clients: traffic ends; %d streams of the other route were whole, of %d", served, asked)
	mu.Unlock()
	time.Sleep(time.Until(end.Add(finish)))
	finished := time.Now()
	broken := 0
	for id, count := range jobs {
		p, status := r.read(r.hosts[2], name, id, 0)
		if status != http.StatusOK {
			return false, fmt.Errorf("job %s can't be read: %d", id, status)
		}
		done := map[string]bool{}
		for _, x := range p.Results {
			done[x.ID] = true
			if x.State == "abandoned" || x.Text != wholeText(x.ID, events) {
				r.note("MIXED: item %s is %s", x.ID, x.State)
				broken++
			}
		}
		job := 0
		if count > 1 {
			job = 1
		}
		for _, x := range newItems(job, count, 350) {
			if done[x.ID] {
				continue
			}
			mu.Lock()
			ran, last, crash := runs[x.ID], lastRun[x.ID], lastCrash
			mu.Unlock()
			switch {
			case ran > 0 && finished.Sub(last) < 5*time.Second:
				r.note("item %s is not listed, but a replica had it in the last 5 s", x.ID)
			case x.ID == first && finished.Sub(crash) < 20*time.Second:
				r.note("item %s is not listed, but failed at a replica in the last 20 s", x.ID)
			default:
				r.note("LOST: item %s is not listed %v after the end of traffic; it was sent to replicas %d times", x.ID, finish, ran)
				broken++
			}
		}
	}
	r.note("%d items broke the rule", broken)
	return broken > 0, nil
}
