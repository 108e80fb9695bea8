//go:build review

package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowReplicas plays case 13: replicas read slowly, and the items of a job have long bodies.
func slowReplicas(r *rig) (bool, error) {
	const (
		name      = "nony24.example"
		events    = 50
		slowRate  = 100 << 10
		bodyBytes = 300 << 10
		items     = 3 // of one job; its bodies fit into one value of the store
		finish    = 18 * time.Second
	)
	var mu sync.Mutex
	runs, lastRun := map[string]int{}, time.Time{}
	r.writeBatchConfig(name, 3)
	if r.trouble {
		r.readRate = slowRate
	}
	zones := []string{"za", "zb", "zc"}
	for i := range 6 {
		serve := func(e *replica, c *replicaConn, request *http.Request) bool {
			mu.Lock()
			runs[request.Header.Get("X-Request-Id")]++
			lastRun = time.Now()
			mu.Unlock()
			r.note("replica %s: runs %s", e.id, request.Header.Get("X-Request-Id"))
			return e.stream(c, request, events, 20*time.Millisecond, 10*time.Millisecond)
		}
		if _, err := r.startReplica(fmt.Sprintf("i-%d", i), zones[i%3], "llm", 8, serve); err != nil {
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
	const job, small = "7c41e09b52d6a900", "7c41e09b52d6a901"
	body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("parts ", bodyBytes/6)))
	list := func(number, count int, body string) []item {
		var list []item
		for i := range count {
			x := newItem(fmt.Sprintf("e5b2907c20da%02x%02x", number, i), "/lots/3/91c4", fmt.Sprintf("9c2e41:100,5d07%02x%02x:250", number, i), 350, 200)
			if body != "" {
				x.Body = body
			}
			list = append(list, x)
		}
		return list
	}
	if err := r.submit(r.hosts[0], name, "/lots/7c41e0", job, list(0, items, body)); err != nil {
		return false, err
	}
	if err := r.submit(r.hosts[1], name, "/lots/7c41e1", small, list(1, items, "")); err != nil {
		return false, err
	}
	r.note("clients: traffic ends")
	time.Sleep(finish)
	broken := 0
	for number, id := range []string{job, small} {
		p, status := r.read(r.hosts[2], name, id, 0)
		if status != http.StatusOK {
			return false, fmt.Errorf("job %s can't be read: %d", id, status)
		}
		done := map[string]bool{}
		for _, x := range p.Results {
			done[x.ID] = x.State == "completed" && x.Text == wholeText(x.ID, events)
		}
		for _, x := range list(number, items, "") {
			mu.Lock()
			ran, last := runs[x.ID], lastRun
			mu.Unlock()
			switch {
			case done[x.ID]:
			case time.Since(last) < 5*time.Second:
				r.note("item %s is not listed, but a replica ran an item in the last 5 s", x.ID)
			default:
				r.note("LOST: item %s of job %s is not listed %v after the end of traffic; replicas ran it %d times", x.ID, id, finish, ran)
				broken++
			}
		}
	}
	r.note("%d items broke the rule", broken)
	return broken > 0, nil
}
