//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// turnedAway plays case 11: the store turns one host away and serves the others; versions of the configuration add batch routes, and
// jobs of these routes are accepted by a host that is stopped as planned.
func turnedAway(r *rig) (bool, error) {
	const (
		events, rounds, versions, jobsPerVersion, itemsPerJob, attempts = 20, 7, 4, 4, 3, 3
		name                                                            = "nony24.example"
		awayFor                                                         = 9 * time.Second
	)
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 8000}
	services := []any{map[string]any{"name": "llm", "healthPath": "/health", "connectionLimit": 230, "engine": map[string]any{"slots": 8}}}
	r.writeBatchConfig(name, attempts)
	zones := []string{"za", "zb", "zc"}
	for i, zone := range zones {
		serve := func(e *replica, c *replicaConn, request *http.Request) bool {
			whole := e.stream(c, request, events, 20*time.Millisecond, 10*time.Millisecond)
			r.note("replica %s: ran %s, whole: %v", e.id, request.Header.Get("X-Request-Id"), whole)
			return whole
		}
		if _, err := r.startReplica(fmt.Sprintf("i-%d", i), zone, "llm", 8, serve); err != nil {
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
	routes := []any{batchRoute("lots", name, "/lots/", attempts)}
	version, broken, sent := 1, 0, 0
	// round plays one outage for the second host, with a planned stop of the first in it.
	round := func(n int) error {
		time.Sleep(3 * time.Second)
		stopped, away, other := r.hosts[0], r.hosts[1], r.hosts[2]
		if r.trouble {
			away.link.turnsAway.Store(true)
			r.note("%s: the store turns it away with 503", away.name)
			time.AfterFunc(awayFor, func() {
				away.link.turnsAway.Store(false)
				r.note("%s: the store serves it again", away.name)
			})
		}
		back := time.Now().Add(awayFor)
		time.Sleep(3 * time.Second)
		stopped.signal(syscall.SIGTERM)
		time.Sleep(1200 * time.Millisecond)
		var accepted []string
		for v := range versions {
			route := fmt.Sprintf("parts%d%d", n, v)
			prefix := "/" + route + "/"
			version += 3
			routes = append(routes, batchRoute(route, name, prefix, attempts))
			r.write("op/config", map[string]any{"version": version, "limits": limits, "services": services, "routes": routes})
			r.note("operator: version %d adds the batch route %s", version, prefix)
			time.Sleep(30 * time.Millisecond)
			for j := range jobsPerVersion {
				id := fmt.Sprintf("7c41e09b52d6a%x%x%x", n, v, j)
				var items []item
				for i := range itemsPerJob {
					items = append(items, newItem(fmt.Sprintf("e5b2907c15d%x%x%x%02x", n, v, j, i), prefix+"91c4", fmt.Sprintf("9c2e41:100,5d0%x%x%x%02x:250", n, v, j, i), 350, 200))
				}
				if err := r.submit(stopped, name, prefix+"7c41e0", id, items); err != nil {
					return err
				}
				accepted = append(accepted, id)
			}
			time.Sleep(370 * time.Millisecond)
		}
		sent += len(accepted) * itemsPerJob
		for _, id := range accepted {
			for next, end := 0, time.Now().Add(18*time.Second); next < itemsPerJob && time.Now().Before(end); {
				p, _ := r.read(other, name, id, next)
				for _, x := range p.Results {
					switch {
					case x.State == "abandoned":
						r.note("MIXED: item %s is abandoned within 20 s; no replica has failed it, and its route is in force", x.ID)
						broken++
					case x.Text != wholeText(x.ID, events):
						r.note("MIXED: the text of item %s is not the item's output", x.ID)
						broken++
					}
				}
				next += len(p.Results)
			}
		}
		<-stopped.ended
		time.Sleep(time.Until(back))
		return nil
	}
	for n := 0; n < rounds && broken == 0; n++ {
		if n > 0 {
			if err := r.hosts[0].start(); err != nil {
				return false, err
			}
			if err := r.waitReady(); err != nil {
				return false, err
			}
		}
		if err := round(n); err != nil {
			return false, err
		}
	}
	r.note("%d items of %d broke the rule", broken, sent)
	return broken > 0, nil
}
