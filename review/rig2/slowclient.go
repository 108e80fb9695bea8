//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-client"] = caseSlowClient }

const (
	longAnswer  = 12 << 20
	longTimeout = 25 * time.Second
	slowRate    = 2400 << 10 // bytes a second: 5 s for a long answer
)

// caseSlowClient lets clients read the long answers of a safe route steadily and slowly, on connections that have carried a short
// request before. Replicas are sound and send as fast as they are read. Then a host is stopped as planned while its clients read.
func caseSlowClient() {
	const clients = 24
	s := startStore()
	s.put("op/config", config(3, `{"name":"books","host":"desk.example","prefix":"/books/","kind":"safe","timeoutMs":25000,"targetLatencyMs":2000,"priority":0,"maxAttempts":2,"service":"desk"}`))
	chunk := []byte(strings.Repeat("line summary ", 2520))
	for i := range 18 {
		startReplica(s, i, "desk", 8, func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
			size := longAnswer
			if strings.HasPrefix(q.URL.Path, "/books/short") {
				size = 100
			}
			w.Header().Set("X-Server-Stamp", r.stamp(id))
			w.Header().Set("Content-Length", strconv.Itoa(size))
			from := time.Now()
			for left := size; left > 0; {
				n, err := w.Write(chunk[:min(left, len(chunk))])
				if err != nil {
					detail("replica %s: the host closed the connection of request %s after %.3f s, %d of %d bytes were written", r.id, id, time.Since(from).Seconds(), size-left, size)
					return
				}
				left -= n
			}
		})
	}
	f := startFleet(s, 6)
	f.startAll()
	f.awaitReady()
	calm := readLong("a", clients, func(c int) *host { return f.hosts[c%len(f.hosts)] }, func() {})
	time.Sleep(time.Second)
	stopped := f.hosts[0]
	planned := readLong("b", clients, func(int) *host { return stopped }, func() {
		time.Sleep(200 * time.Millisecond)
		stopped.signal(syscall.SIGTERM)
		note("%s gets SIGTERM; its long answers take 5 s at most, graceS is 8", stopped.name)
	})
	verdict(calm > 3 || planned > 0, "%d requests from kept connections (more than 3) were passed on to sound replicas and their connection was closed without a whole answer; "+
		"around the planned stop %d requests ended without a complete answer", calm, planned)
}

// readLong lets each client send a short request and then a long one on the same connection. It returns how many of the long ones
// ended without a whole answer before the route's timeout and the client's deadline.
func readLong(name string, clients int, at func(c int) *host, meanwhile func()) int64 {
	var whole, cut, other atomic.Int64
	var group, sent sync.WaitGroup
	for c := range clients {
		sent.Add(1)
		group.Go(func() {
			h := at(c)
			conn, err := net.DialTimeout("tcp4", h.front, time.Second)
			if err != nil {
				other.Add(1)
				sent.Done()
				return
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			reader := bufio.NewReaderSize(conn, 16<<10)
			status, n, err := get(conn, reader, fmt.Sprintf("/books/short/%d", c), fmt.Sprintf("5%s%014x", name, c), 0)
			sent.Done()
			if status != http.StatusOK || n != 100 {
				detail("short request of client %d: %d, %d bytes, %v", c, status, n, err)
				other.Add(1)
				return
			}
			id, rate := fmt.Sprintf("6%s%014x", name, c), 0
			if trouble {
				rate = slowRate
			}
			from := time.Now()
			status, n, err = get(conn, reader, fmt.Sprintf("/books/long/%d", c), id, rate)
			detail("request %s at %s: status %d, %d of %d bytes after %.3f s, %v", id, h.name, status, n, longAnswer, time.Since(from).Seconds(), err)
			switch {
			case status == http.StatusOK && n == longAnswer:
				whole.Add(1)
			case status == http.StatusOK || status == 0:
				if time.Since(from) < longTimeout {
					cut.Add(1)
				}
			default:
				other.Add(1)
			}
		})
	}
	sent.Wait()
	meanwhile()
	group.Wait()
	note("long answers: %d whole, %d cut before the route's timeout and the client's deadline, %d otherwise", whole.Load(), cut.Load(), other.Load())
	return cut.Load()
}

// get sends a request on a kept connection and reads its answer, at the given rate if it is not zero.
func get(conn net.Conn, reader *bufio.Reader, path, id string, rate int) (int, int, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", path, id, longTimeout.Milliseconds()); err != nil {
		return 0, 0, err
	}
	a, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	buffer, total, start := make([]byte, 8<<10), 0, time.Now()
	for {
		n, err := a.Body.Read(buffer)
		total += n
		if err == io.EOF {
			return a.StatusCode, total, nil
		}
		if err != nil {
			return a.StatusCode, total, err
		}
		if rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / time.Duration(rate))))
		}
	}
}
