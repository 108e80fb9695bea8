//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// extraAnswer plays case 12: one replica of seven fails some requests with 500, and writes one such answer once more when the next
// request arrives on the connection.
func extraAnswer(r *rig) (bool, error) {
	const (
		events, attempts = 20, 3
		// answersPerExtra keeps the answers that come once more under 3 in 100 of the replica's answers.
		answersPerExtra = 36
		rounds          = 2
		name            = "nony24.example"
	)
	var mu sync.Mutex
	// failing marks the items whose first and third run fail at the replica at fault.
	failing, runs, failures := map[string]bool{}, map[string]int{}, map[string]int{}
	answers, extras, errorsGiven := 0, 0, 0
	r.writeBatchConfig(name, attempts)
	zones := []string{"za", "zb", "zb", "zb", "zc", "zc", "zc"}
	for i, zone := range zones {
		atFault := i == 0
		serve := func(e *replica, c *replicaConn, request *http.Request) bool {
			id := request.Header.Get("X-Request-Id")
			mu.Lock()
			runs[id]++
			run, fails := runs[id], failing[id] && runs[id]%2 == 1 && atFault
			if atFault {
				answers++
			}
			mu.Unlock()
			if len(c.extra) > 0 {
				r.note("replica %s: the 500 before once more, before the answer to run %d of %s", e.id, run, id)
				_, _ = c.Write(c.extra)
				c.extra = nil
			}
			time.Sleep(20 * time.Millisecond)
			if fails {
				mu.Lock()
				failures[id]++
				errorsGiven++
				spoil := r.trouble && run == 1 && answers >= (extras+1)*answersPerExtra
				if spoil {
					extras++
				}
				mu.Unlock()
				r.note("replica %s: run %d of %s: 500", e.id, run, id)
				text := failure(request)
				if spoil {
					c.extra = text
				}
				_, err := c.Write(text)
				return err == nil
			}
			whole := e.stream(c, request, events, 0, 10*time.Millisecond)
			r.note("replica %s: run %d of %s: a stream, written to its end: %v", e.id, run, id, whole)
			return whole
		}
		if _, err := r.startReplica(fmt.Sprintf("i-%d", i), zone, "llm", 8, serve); err != nil {
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
	broken, jobs := 0, 0
	play := func(count int, fails bool) error {
		jobs++
		id := fmt.Sprintf("7c41e09b52d6a3%02x", jobs)
		var items []item
		for i := range count {
			x := newItem(fmt.Sprintf("e5b2907c14da%02x%02x", jobs, i), "/lots/3/91c4", fmt.Sprintf("9c2e41:100,5d07%02x%02x:250", jobs, i), 350, 200)
			mu.Lock()
			failing[x.ID] = fails
			mu.Unlock()
			items = append(items, x)
		}
		if err := r.submit(r.hosts[0], name, "/lots/7c41e0", id, items); err != nil {
			return err
		}
		for next, end := 0, time.Now().Add(15*time.Second); next < len(items) && time.Now().Before(end); {
			p, _ := r.read(r.hosts[0], name, id, next)
			for _, x := range p.Results {
				mu.Lock()
				given := failures[x.ID]
				mu.Unlock()
				switch {
				case x.State == "abandoned" && given < attempts:
					r.note("MIXED: item %s is abandoned after %d answers of 500, and the route allows %d attempts", x.ID, given, attempts)
					broken++
				case x.State == "completed" && x.Text != wholeText(x.ID, events):
					r.note("MIXED: the text of item %s is not the item's output", x.ID)
					broken++
				}
			}
			next += len(p.Results)
		}
		return nil
	}
	for round := 1; round <= rounds; round++ {
		for {
			mu.Lock()
			enough := answers >= round*answersPerExtra
			mu.Unlock()
			if enough {
				break
			}
			if err := play(6, false); err != nil {
				return false, err
			}
		}
		if err := play(1, true); err != nil {
			return false, err
		}
	}
	r.note("replica i-0 gave %d answers, %d of them 500; %d came once more", answers, errorsGiven, extras)
	r.note("%d items broke the rule", broken)
	return broken > 0, nil
}
