//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// countedAnew plays case 15: the process that runs a job is killed three times, each time right after a replica has said that an item
// can never be done.
func countedAnew(r *rig) (bool, error) {
	const (
		name      = "nony24.example"
		events    = 200
		kills     = 3
		bound     = 3 // answers of 422 after which the item may not reach a replica again
		hopeless  = "e5b2907c18da0000"
		downFor   = time.Second
		waitAfter = 15 * time.Second
	)
	var mu sync.Mutex
	answers, late := 0, 0
	said := make(chan struct{}, 16)
	r.writeBatchConfig(name, 3)
	zones := []string{"za", "zb", "zc"}
	for i, zone := range zones {
		var e *replica
		serve := func(c *replicaConn, request *http.Request) bool {
			id := request.Header.Get("X-Request-Id")
			if id != hopeless {
				return e.stream(c, request, events, 20*time.Millisecond, 10*time.Millisecond)
			}
			mu.Lock()
			if answers >= bound {
				late++
			}
			answers++
			r.note("replica %s: run %d of item %s: 422", e.id, answers, id)
			mu.Unlock()
			const body = `{"error":"can't be done"}`
			_, err := fmt.Fprintf(c, "HTTP/1.1 422 Unprocessable Entity\r\nX-Request-Id: %s\r\nX-Server-Stamp: s.422\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			said <- struct{}{}
			return err == nil
		}
		var err error
		if e, err = r.startReplica(fmt.Sprintf("i-%d", i), zone, "llm", 8, serve); err != nil {
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
	time.Sleep(3 * time.Second)
	var items []item
	for i := range 10 {
		items = append(items, newItem(fmt.Sprintf("e5b2907c18da%04x", i), "/lots/3/91c4", fmt.Sprintf("9c2e41:100,5d07%04x:250", i), 350, 200))
	}
	killed := r.hosts[0]
	if err := r.submit(killed, name, "/lots/7c41e0", "7c41e09b52d6a700", items); err != nil {
		return false, err
	}
	for k := 1; r.trouble && k <= kills; k++ {
		select {
		case <-said:
		case <-time.After(20 * time.Second):
			return false, fmt.Errorf("the item was not sent before kill %d", k)
		}
		time.Sleep(100 * time.Millisecond)
		r.note("%s: killed", killed.name)
		killed.kill()
		if k == kills {
			break // it stays down
		}
		time.Sleep(downFor)
		if err := killed.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(waitAfter)
	p, _ := r.read(r.hosts[1], name, "7c41e09b52d6a700", 0)
	mu.Lock()
	defer mu.Unlock()
	r.note("%d of 10 items are listed; item %s reached replicas %d times, %d of them after %d answers of 422", len(p.Results), hopeless, answers, late, bound)
	if late > 0 {
		r.note("BUDGET: the item reached a replica again, from a host that nothing had happened to")
	}
	return late > 0, nil
}
