//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// silentWatch plays case 12: the connection over which one host watches the configuration goes silent; a new version adds a batch
// route, and jobs of that route are accepted by a host that is stopped as planned.
func silentWatch(r *rig) (bool, error) {
	const (
		events, jobs, itemsPerJob, attempts = 20, 10, 3, 3
		name                                = "nony24.example"
		// silentFor is how long the connection is silent before the host's own keep-alive ends it: probes come each second, and 1.2 s
		// without an acknowledgement end the connection at the next one.
		silentFor = 2 * time.Second
	)
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 8000}
	services := []any{map[string]any{"name": "llm", "healthPath": "/health", "connectionLimit": 230, "engine": map[string]any{"slots": 8}}}
	r.writeBatchConfig(name, attempts)
	var mu sync.Mutex
	failures := map[string]int{}
	for i, zone := range []string{"za", "zb", "zc"} {
		var e *replica
		serve := func(c *replicaConn, request *http.Request) bool {
			whole := e.stream(c, request, events, 20*time.Millisecond, 10*time.Millisecond)
			r.note("replica %s: ran %s, whole: %v", e.id, request.Header.Get("X-Request-Id"), whole)
			return whole
		}
		var err error
		if e, err = r.startReplica(fmt.Sprintf("i-%d", i), zone, "llm", 8, serve); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"za", "zb", "zc"} {
		if _, err := r.addHost(i+1, zone); err != nil {
			return false, err
		}
	}
	if err := r.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stopped, cut := r.hosts[0], r.hosts[1]
	stopped.signal(syscall.SIGTERM)
	time.Sleep(1300 * time.Millisecond)
	if r.trouble {
		silent := make(chan struct{})
		var once sync.Once
		cut.link.setSilence(func(prefix string) time.Duration {
			span := time.Duration(0)
			if prefix == "op/" {
				once.Do(func() {
					span = silentFor
					r.note("%s: the connection of its watch of op/ goes silent", cut.name)
					close(silent)
				})
			}
			return span
		})
		r.write("op/retire/none", map[string]any{}) // so that the watch under way ends and the next one begins
		select {
		case <-silent:
		case <-time.After(3 * time.Second):
			return false, fmt.Errorf("no watch came")
		}
	}
	r.write("op/config", map[string]any{"version": 4, "limits": limits, "services": services,
		"routes": []any{batchRoute("lots", name, "/lots/", attempts), batchRoute("parts", name, "/parts/", attempts)}})
	r.note("operator: version 4 adds the batch route /parts/")
	time.Sleep(30 * time.Millisecond)
	var accepted []string
	for j := range jobs {
		id := fmt.Sprintf("7c41e09b52d6a4%02x", j)
		var items []item
		for i := range itemsPerJob {
			items = append(items, newItem(fmt.Sprintf("e5b2907c15da%02x%02x", j, i), "/parts/3/91c4", fmt.Sprintf("9c2e41:100,5d07%02x%02x:250", j, i), 350, 200))
		}
		if err := r.submit(stopped, name, "/parts/7c41e0", id, items); err != nil {
			return false, err
		}
		accepted = append(accepted, id)
	}
	broken := 0
	for _, id := range accepted {
		for next, end := 0, time.Now().Add(18*time.Second); next < itemsPerJob && time.Now().Before(end); {
			p, _ := r.read(r.hosts[2], name, id, next)
			for _, x := range p.Results {
				mu.Lock()
				given := failures[x.ID]
				mu.Unlock()
				switch {
				case x.State == "abandoned" && given < attempts:
					r.note("MIXED: item %s is abandoned after %d answers of 500, within 20 s, and its route is in force", x.ID, given)
					broken++
				case x.State == "completed" && x.Text != wholeText(x.ID, events):
					r.note("MIXED: the text of item %s is not the item's output", x.ID)
					broken++
				}
			}
			next += len(p.Results)
		}
	}
	r.note("%d items broke the rule", broken)
	return broken > 0, nil
}
