package berylfake

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// maxListChanges limits how many changes of the list may wait until they become visible.
const maxListChanges = 10_000

// ListedHost is an entry of the host list.
type ListedHost struct {
	// Name identifies the host; in a valid list no two entries have the same one.
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// listChange is a version of the list and the time from which it is visible.
type listChange struct {
	from  time.Time
	hosts []ListedHost
}

// HostList is a stand-in for the platform's host list. A change becomes visible only after the lag set by SetLag.
type HostList struct {
	server     *http.Server
	address    string
	goroutines conc.WaitGroup

	mu      sync.Mutex
	down    bool
	lag     time.Duration
	changes []listChange
	reads   int
}

// StartHostList starts a stand-in on the address, such as "127.0.0.1:0", with an empty list.
func StartHostList(address string) (*HostList, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "host list stand-in")
	}
	l := &HostList{address: listener.Addr().String(), changes: []listChange{{hosts: []ListedHost{}}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", l.serveHosts)
	mux.HandleFunc("POST /standin/hosts", l.serveChange)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	l.goroutines.Go(func() { _ = l.server.Serve(listener) })
	return l, nil
}

// URL returns the URL, with the path /hosts, from which the list is read.
func (l *HostList) URL() string {
	return "http://" + l.address + "/hosts"
}

// SetLag sets the delay until later changes become visible.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown sets whether the list answers reads with 503.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the list after the current lag. It fails if too many changes are not yet visible.
func (l *HostList) Set(hosts ...ListedHost) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropReplaced(time.Now())
	if len(l.changes) >= maxListChanges {
		return errors.New("too many changes of the host list are not visible yet")
	}
	l.changes = append(l.changes, listChange{from: time.Now().Add(l.lag), hosts: append([]ListedHost{}, hosts...)})
	slices.SortStableFunc(l.changes, func(a, b listChange) int { return a.from.Compare(b.from) })
	return nil
}

// Reads returns how often the list was read.
func (l *HostList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Close stops the stand-in.
func (l *HostList) Close() {
	_ = l.server.Close()
	l.goroutines.Wait()
}

// dropReplaced drops the versions of the list that a later visible version has replaced.
func (l *HostList) dropReplaced(now time.Time) {
	for len(l.changes) > 1 && !now.Before(l.changes[1].from) {
		l.changes = l.changes[1:]
	}
}

// serveHosts answers with the currently visible list.
func (l *HostList) serveHosts(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.reads++
	l.dropReplaced(time.Now())
	down, hosts := l.down, l.changes[0].hosts
	l.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hosts)
}

// serveChange sets the lag and the outage, and replaces the list if the request contains one.
func (l *HostList) serveChange(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	decoder.DisallowUnknownFields()
	var req struct {
		Hosts     []ListedHost `json:"hosts"`
		LagMillis int          `json:"lag-ms"`
		Down      bool         `json:"down"`
	}
	if err := decoder.Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetLag(time.Duration(req.LagMillis) * time.Millisecond)
	l.SetDown(req.Down)
	if req.Hosts != nil {
		if err := l.Set(req.Hosts...); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
