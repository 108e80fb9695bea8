//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["held-config"] = caseHeldConfig }

const (
	heldRoutes  = 5000
	heldGap     = 330 * time.Millisecond // between two configurations
	heldChanges = 265
	heldEvents  = 210 // of a long stream, one each half second
)

// heldConfig returns a configuration of about 1 MB. Versions differ in one time.
func heldConfig(version int) string {
	routes := []string{fmt.Sprintf(`{"name":"books","host":"desk.example","prefix":"/books/","kind":"streaming","timeoutMs":110000,"targetLatencyMs":%d,"priority":0,`+
		`"service":"desk","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":1000}`, 300+version)}
	for n := range heldRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-a%05d","host":"n%05d.example","prefix":"/p%05d/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,`+
			`"service":"desk","maxAttempts":1,"resumable":false,"gapTargetMs":500}`, n, n, n))
	}
	return config(version, routes...)
}

// caseHeldConfig sends long streams to the two hosts of one zone, three a second each. With trouble, the configuration, which has
// grown by many routes, changes in quick succession meanwhile. The platform kills a process that uses more than its memory.
func caseHeldConfig() {
	s := startStore()
	s.put("op/config", heldConfig(3))
	note("a configuration has %d bytes; valueBytes is 1048576", len(heldConfig(3)))
	var reached sync.Map // long requests that a replica runs
	for i := range 18 {
		startReplica(s, i, "desk", 40, func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
			events := heldEvents
			if strings.HasPrefix(q.URL.Path, "/books/short") {
				events = 1
			} else {
				reached.Store(id, true)
			}
			w.Header().Set("X-Server-Stamp", r.stamp(id))
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= events; n++ {
				fmt.Fprintf(w, "id: %d\ndata: %s line %d\n\n", n, id, n)
				w.(http.Flusher).Flush()
				if events == 1 {
					return
				}
				select {
				case <-time.After(500 * time.Millisecond):
				case <-q.Context().Done():
					return
				}
			}
		})
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	var near []*host // the hosts of the clients' zone
	for _, h := range f.hosts {
		if h.zone == "z1" {
			near = append(near, h)
		}
	}
	var kills, lost, other atomic.Int64
	stop := make(chan struct{})
	for _, h := range f.hosts {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if used := h.memory(); used > memoryMb {
					note("%s uses %d MB of its %d MB: killed", h.name, used, memoryMb)
					kills.Add(1)
					h.kill()
					time.Sleep(time.Second)
					h.start()
				}
			}
		}()
	}
	for n := range heldChanges {
		if trouble {
			s.put("op/config", heldConfig(4+n))
		}
		for i, h := range near {
			go func() {
				id := fmt.Sprintf("%08x%08x", i+1, n)
				status, events, ended := readBook(h.front, id)
				if _, ok := reached.Load(id); ok && !ended {
					lost.Add(1)
					detail("request %s at %s: passed on to a replica; its connection ended with status %d after %d of %d events", id, h.name, status, events, heldEvents)
				} else if !ended {
					other.Add(1)
				}
			}()
		}
		time.Sleep(heldGap)
		if n%15 == 14 {
			var used []int
			for _, h := range f.hosts {
				used = append(used, h.memory())
			}
			note("%d configurations, %d long streams to each of %s and %s; memory of the entry processes in MB: %v; %d streams lost, %d otherwise", n+1, n+1, near[0].name, near[1].name, used, lost.Load(), other.Load())
		}
		if kills.Load() >= int64(len(near)) {
			time.Sleep(2 * time.Second)
			break
		}
	}
	close(stop)
	verdict(lost.Load() > 3, "%d requests from kept connections were passed on to sound replicas and got no whole answer, as %d processes were killed for their memory", lost.Load(), kills.Load())
}

// readBook sends a short and then a long request on one connection and reads the answers. It says how many events of the long one came
// and whether it ended as complete.
func readBook(address, id string) (status, events int, ended bool) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 2048)
	for _, path := range []string{"/books/short/", "/books/long/"} {
		attempt := id
		if path == "/books/short/" {
			attempt = "5" + id[1:]
		}
		fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbook", path, id, attempt)
		a, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		status, events = a.StatusCode, 0
		lines := bufio.NewScanner(a.Body)
		lines.Buffer(make([]byte, 0, 512), 4096)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
			}
		}
		if err := lines.Err(); err != nil {
			return
		}
		ended = path == "/books/long/"
	}
	return
}
