//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["split"] = splitCase
	cases["moved"] = movedCase
	cases["pages"] = pagesCase
	cases["removed"] = removedCase
}

func streamRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": callerHost, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"service": service, "maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 500,
	}
}

func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": callerHost, "prefix": jobPrefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2,
		"maxAttempts": 3, "sticky": true, "resumable": true, "gapTargetMs": 500, "completionTargetMs": 18000, "retentionS": 60, "maxCount": 2400000,
	}
}

func (f *fleet) configure(version int, services []string, routes ...map[string]any) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": "/health", "connectionLimit": 230, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCacheTokens": 101495, "kvTokenBytes": 18432, "models": []any{map[string]any{"name": "m"}}},
		})
	}
	f.store.write("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.record.add("config", "version=%d routes=%d acknowledged", version, len(routes))
}

// itemEvents is the number of events of an item's output: that of the second model is shorter.
func itemEvents(service string) int {
	if service == secondService {
		return 200
	}
	return 232
}

const (
	firstService  = "ribdesk-llm"
	secondService = "ribdesk-llm-next"
	// itemTokens is the bound of an item's output.
	itemTokens = 240
)

// readAll reads the results of a job until all are there or the time is over, at the given hosts in turn.
func (f *fleet) readAll(hosts []*host, id string, total int, limit time.Duration) []result {
	var results []result
	end := time.Now().Add(limit)
	for i := 0; len(results) < total && time.Now().Before(end); i++ {
		status, p := f.read(hosts[i%len(hosts)], id, len(results), true)
		if status == http.StatusOK {
			results = append(results, p.Results...)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return results
}

// judgeTexts checks that each completed result holds the whole output of one run of its item.
func (f *fleet) judgeTexts(results []result, services []string) (mixed int, example string) {
	for _, r := range results {
		if r.State != "completed" {
			continue
		}
		whole := false
		for _, s := range services {
			whole = whole || r.Text == output(s, r.ID, itemEvents(s))
		}
		if whole {
			continue
		}
		mixed++
		lines, counts := strings.Split(r.Text, "\n"), []string{}
		for _, s := range services {
			n := 0
			for _, l := range lines {
				if strings.HasPrefix(l, s+" ") {
					n++
				}
			}
			counts = append(counts, fmt.Sprintf("%d of %s", n, s))
		}
		text := fmt.Sprintf("item %s is completed with a text of %d events: %s", r.ID, len(lines), strings.Join(counts, ", "))
		f.record.add("mixed", "%s", text)
		if example == "" {
			example = text
		}
	}
	return mixed, example
}

// splitCase: the route of a batch job is split over two services; the process that runs the job is killed while the items run.
func splitCase(f *fleet, trouble bool) (bool, string) {
	services := []string{firstService, secondService}
	for _, s := range services {
		f.addEngines(s, 6, 8, 20*time.Millisecond, func(string) int { return itemEvents(s) })
	}
	route := batchRoute()
	route["trafficSplit"] = []any{map[string]any{"service": services[0], "weight": 90}, map[string]any{"service": services[1], "weight": 10}}
	f.configure(1, services, streamRoute(services[0]), route)
	f.addHosts(6, 3)
	time.Sleep(4 * time.Second) // the hosts are in touch
	victim := f.hosts[0]
	ids := map[string]int{}
	for range 4 {
		id, items := newID(), newItems(10, itemTokens)
		if status := f.submit(victim, id, items); status != http.StatusAccepted {
			return false, fmt.Sprintf("the job was answered %d", status)
		}
		ids[id] = len(items)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		victim.signal(syscall.SIGKILL)
		<-victim.ended
		time.Sleep(time.Second)
		victim.start()
	}
	listed, mixed, all, example := 0, 0, 0, ""
	for id, total := range ids {
		all += total
		results := f.readAll(f.hosts[1:6], id, total, 20*time.Second)
		listed += len(results)
		m, e := f.judgeTexts(results, services)
		mixed += m
		if example == "" {
			example = e
		}
	}
	return mixed > 0, fmt.Sprintf("%d of %d items listed, %d completed with a text that is not the item's whole output; %s", listed, all, mixed, example)
}

// movedCase: a configuration moves the route of a batch job to another service while the items run; then online requests, as they come
// every day, take the slots of the items at the first service.
func movedCase(f *fleet, trouble bool) (bool, string) {
	services := []string{firstService, secondService}
	id, items := newID(), newItems(40, itemTokens)
	isItem := map[string]bool{}
	for _, item := range items {
		isItem[item.ID] = true
	}
	for _, s := range services {
		f.addEngines(s, 6, 8, 20*time.Millisecond, func(id string) int {
			if isItem[id] {
				return itemEvents(s)
			}
			return onlineEvents
		})
	}
	before, after := batchRoute(), batchRoute()
	before["service"], after["service"] = services[0], services[1]
	f.configure(1, services, streamRoute(services[0]), before)
	f.addHosts(6, 3)
	time.Sleep(4 * time.Second) // the hosts are in touch
	if status := f.submit(f.hosts[0], id, items); status != http.StatusAccepted {
		return false, fmt.Sprintf("the job was answered %d", status)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.configure(2, services, streamRoute(services[0]), after)
	}
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			f.stream(f.hosts[i%6])
		}()
	}
	callers.Wait()
	results := f.readAll(f.hosts[:6], id, len(items), 25*time.Second)
	mixed, example := f.judgeTexts(results, services)
	return mixed > 0, fmt.Sprintf("%d of %d items listed, %d completed with a text that is not the item's whole output; %s", len(results), len(items), mixed, example)
}

// onlineEvents is the number of events of an online request's output.
const onlineEvents = 34

// stream sends one online request and reads its answer.
func (f *fleet) stream(h *host) {
	id := newID()
	header := map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "450,34", "X-Prompt-Prefix": "5c1e07a2:100,91bd3f06:100," + id[:6] + ":250", "X-Request-Deadline": "5000",
	}
	status, _, data, err := f.call(h, http.MethodPost, "/lohu930/2f", header, []byte("a counter quote"), 6*time.Second)
	f.record.add("online", "request=%s at=%s status=%d bytes=%d err=%v", id, h.name, status, len(data), err)
}

// pagesCase: a client reads the results of a large job at one host, which is killed; it goes on at another.
func pagesCase(f *fleet, trouble bool) (bool, string) {
	const service, total = firstService, 150
	f.addEngines(service, 18, 8, 3*time.Millisecond, func(string) int { return itemEvents(service) })
	route := batchRoute()
	route["service"] = service
	f.configure(1, []string{service}, streamRoute(service), route)
	f.addHosts(6, 3)
	time.Sleep(4 * time.Second) // the hosts are in touch
	owner, reader, next := f.hosts[0], f.hosts[1], f.hosts[2]
	id, items := newID(), newItems(total, itemTokens)
	if status := f.submit(owner, id, items); status != http.StatusAccepted {
		return false, fmt.Sprintf("the job was answered %d", status)
	}
	results := f.readAll([]*host{reader}, id, total, 30*time.Second)
	if len(results) < total {
		return false, fmt.Sprintf("only %d of %d results were listed in time", len(results), total)
	}
	time.Sleep(2 * time.Second) // longer than settleMs
	if trouble {
		reader.signal(syscall.SIGKILL)
		<-reader.ended
		reader = next
	}
	// The client reads the last results once more.
	after := total - 10
	empty := 0
	for i := 0; i < 10; i++ {
		status, p := f.read(reader, id, after, true)
		if status == http.StatusOK && len(p.Results) > 0 {
			break
		}
		if status == http.StatusOK || status == http.StatusNotFound {
			empty++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return empty > 0, fmt.Sprintf("%d of %d results were read at %s; %d later reads from position %d at %s, which was in touch all the time, have nothing", len(results), total, f.hosts[1].name, empty, after, reader.name)
}

// finishTime is bounds.finishS.
const finishTime = 18 * time.Second

// removedCase: a configuration removes the route of a batch job that is under way. A route with a shorter prefix remains at its host.
func removedCase(f *fleet, trouble bool) (bool, string) {
	const total = 120
	f.addEngines(firstService, 4, 8, 10*time.Millisecond, func(string) int { return itemEvents(firstService) })
	route, rest := batchRoute(), streamRoute(firstService)
	route["service"] = firstService
	rest["name"], rest["prefix"] = "r-rest", "/"
	f.configure(1, []string{firstService}, rest, route)
	f.addHosts(6, 3)
	time.Sleep(4 * time.Second) // the hosts are in touch
	id, items := newID(), newItems(total, itemTokens)
	if status := f.submit(f.hosts[0], id, items); status != http.StatusAccepted {
		return false, fmt.Sprintf("the job was answered %d", status)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.configure(2, []string{firstService}, rest)
	}
	time.Sleep(finishTime)
	runsBefore, idle := f.runs()
	time.Sleep(5 * time.Second)
	runsAfter, idleAfter := f.runs()
	idle = idle && idleAfter && runsAfter == runsBefore
	results := f.readAll(f.hosts[1:6], id, total, 6*time.Second)
	completed := 0
	for _, r := range results {
		if r.State == "completed" {
			completed++
		}
	}
	return len(results) < total && idle, fmt.Sprintf("%d of %d items are listed %v after the last change, %d of them completed; no replica had an item in the last 5 s: %v", len(results), total, finishTime+5*time.Second, completed, idle)
}

// runs returns how many runs have begun at the replicas so far, and whether none is under way or waits.
func (f *fleet) runs() (n int, idle bool) {
	idle = true
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.runs
		idle = idle && e.waiting == 0 && len(e.busy) == 0
		e.mu.Unlock()
	}
	return n, idle
}
