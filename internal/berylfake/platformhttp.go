package berylfake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxPlatformBody is the limit of a request body in bytes, the same as in the real service.
const maxPlatformBody = 2 << 20

// handler routes the paths of the gateway and the stand-in's own paths for faults and counters.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serveKV(p, func(c *PlatformCalls) { c.Range++ }, readWriteKey,
		func(req kvRangeRequest) (any, *kvError) {
			fault, _ := p.script.current()
			return p.store.readRange(req, fault.StaleBy)
		}))
	mux.HandleFunc("POST /v3/kv/txn", serveKV(p, func(c *PlatformCalls) { c.Txn++ }, kvTxnRequest.firstKey, p.store.transact))
	mux.HandleFunc("POST /v3/kv/put", serveKV(p, func(c *PlatformCalls) { c.Put++ }, kvPutRequest.firstKey, p.store.putKey))
	mux.HandleFunc("POST /v3/lease/grant", serveKV(p, func(c *PlatformCalls) { c.Grant++ }, leaseWriteKey,
		func(req kvLeaseRequest) (any, *kvError) { return p.store.grant(req, time.Now()) }))
	mux.HandleFunc("POST /v3/lease/keepalive", serveKV(p, func(c *PlatformCalls) { c.KeepAlive++ }, leaseWriteKey,
		func(req kvLeaseRequest) (any, *kvError) { return p.store.keepAlive(req, time.Now()) }))
	mux.HandleFunc("POST /v3/lease/revoke", serveKV(p, func(c *PlatformCalls) { c.Revoke++ }, leaseWriteKey, p.store.revoke))
	mux.HandleFunc("POST /v3/watch", p.serveWatch)
	mux.HandleFunc("POST /standin/fault", p.serveFault)
	mux.HandleFunc("GET /standin/counts", p.serveCounts)
	return mux
}

// serveKV returns a handler for one path of the gateway that applies the scripted faults. The function key returns the key
// that a request writes, and false if the request is a read.
func serveKV[T any](p *Platform, increment func(*PlatformCalls), key func(T) (string, bool), run func(T) (any, *kvError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
		p.counts.add(increment, len(body))
		if !p.applyCallFault(w, r) {
			return
		}
		var req T
		if err == nil {
			err = json.Unmarshal(body, &req)
		}
		if err != nil {
			writeKVError(w, &kvError{http.StatusBadRequest, grpcInvalid, err.Error()})
			return
		}
		if name, isWrite := key(req); isWrite {
			p.runWrite(name, func() (any, *kvError) { return run(req) }, w)
			return
		}
		p.abortReadIfScripted()
		runKV(w, run, req)
	}
}

// abortReadIfScripted closes the connection of a read if the fault in force has CutReads set.
func (p *Platform) abortReadIfScripted() {
	if fault, _ := p.script.current(); fault.CutReads {
		panic(http.ErrAbortHandler)
	}
}

// runKV executes a call and writes its response.
func runKV[T any](w http.ResponseWriter, run func(T) (any, *kvError), req T) {
	response, kvErr := run(req)
	writeKV(w, response, kvErr)
}

// runWrite executes a write under the scripted fault, which may drop the write, delay it or drop its response.
func (p *Platform) runWrite(key string, run func() (any, *kvError), w http.ResponseWriter) {
	fault, delay := p.script.takeWrite(key)
	switch fault {
	case writeCut:
		panic(http.ErrAbortHandler)
	case writeLate:
		p.delayWrite(delay, func() { _, _ = run() })
		panic(http.ErrAbortHandler)
	case writeLoseAnswer:
		_, _ = run()
		panic(http.ErrAbortHandler)
	}
	response, kvErr := run()
	writeKV(w, response, kvErr)
}

// delayWrite executes a write after the delay, or when ApplyDelayed is called if the delay is zero.
func (p *Platform) delayWrite(delay time.Duration, run func()) {
	if delay > 0 {
		time.AfterFunc(delay, run)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayedWrites = append(p.delayedWrites, run)
}

// ApplyDelayed executes the writes that are held because LateMillis of their fault is zero.
func (p *Platform) ApplyDelayed() {
	p.mu.Lock()
	delayed := p.delayedWrites
	p.delayedWrites = nil
	p.mu.Unlock()
	for _, run := range delayed {
		run()
	}
}

// applyCallFault applies the mode and the delay in force. It returns false if the call has been answered or its caller has gone.
func (p *Platform) applyCallFault(w http.ResponseWriter, r *http.Request) bool {
	for {
		fault, changed := p.script.current()
		switch fault.Mode {
		case ModeDown:
			writeKVError(w, &kvError{http.StatusServiceUnavailable, grpcUnavailable, "etcdserver: no leader"})
			return false
		case ModeFreeze:
			if !p.waitForFaultChange(r, changed) {
				return false
			}
			continue
		}
		if fault.DelayMillis > 0 {
			p.waitDelay(r, time.Duration(fault.DelayMillis)*time.Millisecond)
		}
		return true
	}
}

// waitForFaultChange waits until the fault changes, for at most platformPollInterval because a fault may also end by time. It
// returns false if the caller has disconnected or the stand-in is closing.
func (p *Platform) waitForFaultChange(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
	case <-time.After(platformPollInterval):
	case <-r.Context().Done():
		return false
	case <-p.closing:
		return false
	}
	return r.Context().Err() == nil
}

// waitDelay waits for the given time, or until the caller disconnects or the stand-in is closing.
func (p *Platform) waitDelay(r *http.Request, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	case <-p.closing:
	}
}

// firstKey returns the first key that a transaction writes or deletes, and false if its success branch contains no write.
func (t kvTxnRequest) firstKey() (string, bool) {
	for _, op := range t.Success {
		switch {
		case op.Put != nil:
			return string(op.Put.Key), true
		case op.Delete != nil:
			return string(op.Delete.Key), true
		}
	}
	return "", false
}

// firstKey returns the written key.
func (a kvPutRequest) firstKey() (string, bool) {
	return string(a.Key), true
}

// readWriteKey marks every range request as a read.
func readWriteKey(kvRangeRequest) (string, bool) {
	return "", false
}

// leaseWriteKey marks every lease call as a write, with an empty key.
func leaseWriteKey(kvLeaseRequest) (string, bool) {
	return "", true
}

// writeKV writes a response, or the error if it is not nil.
func writeKV(w http.ResponseWriter, response any, kvErr *kvError) {
	if kvErr != nil {
		writeKVError(w, kvErr)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// writeKVError writes an error in the gateway's JSON format.
func writeKVError(w http.ResponseWriter, e *kvError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{e.message, e.code, e.message})
}

// serveFault sets the fault given as JSON in the request body.
func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	decoder.DisallowUnknownFields()
	var f PlatformFault
	err := decoder.Decode(&f)
	if err == nil {
		err = f.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// ModeRefuse closes the server's connections. The connection of this request is hijacked, so that it stays open and the
	// response is sent only when the fault is in force.
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	status := http.StatusNoContent
	if err := p.SetFault(f); err != nil {
		status = http.StatusInternalServerError
	}
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = response.Write(conn)
}

// serveCounts answers with the call counters as JSON.
func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Calls())
}
