//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["preempt"] = casePreempt }

// casePreempt stops hosts as planned, in turn, while clients read streams that may be resumed. With trouble, engines preempt a part of
// the runs in the middle of their stream, so that these pause once.
func casePreempt() {
	const (
		events  = 34
		between = 20 * time.Millisecond
		pause   = 1500 * time.Millisecond
		share   = 0.5
		clients = 24
		rounds  = 3
	)
	s := startStore()
	s.put("op/config", config(3, `{"name":"tickets","host":"desk.example","prefix":"/tickets/","kind":"streaming","resumable":true,"timeoutMs":5000,"targetLatencyMs":300,"gapTargetMs":500,"priority":0,"maxAttempts":2,"service":"desk","sticky":true}`))
	for i := range 18 {
		startReplica(s, i, "desk", 8, func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
			from := 1
			if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
				from = last + 1
			}
			preempted := 0
			if trouble && from < events && rand.Float64() < share {
				preempted = from + 1 + rand.IntN(min(8, events-from))
			}
			w.Header().Set("X-Server-Stamp", r.stamp(id))
			w.Header().Set("X-Weight-Versions", "1")
			w.Header().Set("Content-Type", "text/event-stream")
			for n := from; n <= events; n++ {
				wait := between
				if n == preempted {
					wait = pause
					detail("replica %s preempts request %s before event %d", r.id, id, n)
				}
				select {
				case <-time.After(wait):
				case <-q.Context().Done():
					detail("replica %s: the host closed the connection of request %s before event %d", r.id, id, n)
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, id, n)
				w.(http.Flusher).Flush()
			}
		})
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	var whole, cut, other atomic.Int64
	for round := range rounds {
		h := f.hosts[round]
		var group sync.WaitGroup
		for c := range clients {
			group.Go(func() {
				id := fmt.Sprintf("%08x%08x", round+1, c)
				status, got, ended, took := readStream(h.front, id)
				detail("request %s at %s: status %d, %d of %d events, complete %t, after %.3f s", id, h.name, status, got, events, ended, took.Seconds())
				switch {
				case status == http.StatusOK && ended && got == events:
					whole.Add(1)
				case (status == http.StatusOK || status == 0) && took < 5*time.Second:
					cut.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		h.signal(syscall.SIGTERM)
		note("%s gets SIGTERM", h.name)
		group.Wait()
		note("streams: %d whole, %d cut before the route's timeout and the client's deadline, %d otherwise", whole.Load(), cut.Load(), other.Load())
		for !h.hasEnded() {
			time.Sleep(50 * time.Millisecond)
		}
		h.start()
		for !h.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	verdict(cut.Load() > 0, "%d requests were read whole and passed on to replicas, and their connections ended without a complete answer around a planned stop", cut.Load())
}

// readStream sends a request on a new connection and counts the events of its answer. It says whether the answer ended as complete.
func readStream(address, id string) (status, events int, ended bool, took time.Duration) {
	start := time.Now()
	defer func() { took = time.Since(start) }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	body := "ticket " + id
	fmt.Fprintf(conn, "POST /tickets/%s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Count: 450,34\r\nX-Prompt-Prefix: 5c1e07a2:100,%s:350\r\nX-Request-Deadline: 5000\r\nContent-Length: %d\r\n\r\n%s", id, id, id, len(body), body)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer a.Body.Close()
	status = a.StatusCode
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return status, events, lines.Err() == nil, 0
}
