package berylfake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxRequestBytes   = 32 << 20
	readHeaderTimeout = 10 * time.Second
)

// server holds what the engine and the service stand-in have in common: the listener, the scripted fault and the counters.
type server struct {
	http        http.Server
	script      faultScript
	counter     runCounter
	mu          sync.Mutex
	address     string
	listener    net.Listener
	acceptEnded chan struct{} // closed when the listener accepts no more connections
	reopenTimer *time.Timer
	closed      bool
}

func (s *server) serve(addr string, mux *http.ServeMux) error {
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	mux.HandleFunc("POST /standin/fault", s.postFault)
	s.http.Handler = mux
	s.http.ReadHeaderTimeout = readHeaderTimeout
	s.address = addr
	return s.listen()
}

// listen opens the listening socket unless it is open. The first call replaces s.address by the address with its actual port,
// so that later calls reopen the same port.
func (s *server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.listener = l
	s.http.SetKeepAlivesEnabled(true)
	served := make(chan struct{})
	s.acceptEnded = served
	go func() {
		defer close(served)
		s.http.Serve(l)
	}()
	return nil
}

// stopListening closes the listening socket and the idle connections, and reopens the socket after the span if that is not
// zero. Runs in progress continue.
func (s *server) stopListening(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.listener.Close()
	<-s.acceptEnded // a connection accepted before this would be reset instead of refused
	s.listener = nil
	s.http.SetKeepAlivesEnabled(false)
	if span > 0 {
		s.reopenTimer = time.AfterFunc(span, func() { s.listen() })
	}
}

// URL returns the base URL, without a path.
func (s *server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}

// SetFault sets the fault for all requests from now on; the zero UpstreamFault clears it. It fails if the stand-in must listen
// again and cannot.
func (s *server) SetFault(fault UpstreamFault) error {
	s.script.set(fault, time.Now())
	if fault.Mode == FaultRefuse {
		s.stopListening(fault.Duration.Std())
		return nil
	}
	return s.listen()
}

// Counts returns a snapshot of the counters.
func (s *server) Counts() Counts {
	return s.counter.snapshot()
}

// Close stops the server and closes all connections, including those of runs in progress.
func (s *server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.reopenTimer != nil {
		s.reopenTimer.Stop()
	}
	s.mu.Unlock()
	s.http.Close()
}

func (s *server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *server) postFault(w http.ResponseWriter, r *http.Request) {
	var fault UpstreamFault
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.SetFault(fault); err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(mustJSON(value))
}

func writeError(w http.ResponseWriter, status int, message string) {
	var wire struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}
	wire.Error.Message = message
	wire.Error.Type = "standin_error"
	writeJSON(w, status, wire)
}
