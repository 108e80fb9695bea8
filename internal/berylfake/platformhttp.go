package berylfake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxPlatformBody is the largest request that the stand-in takes, as the service limits it.
const maxPlatformBody = 2 << 20

// handler routes the gateway's paths and the stand-in's own.
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

// serveKV returns a handler for one path of the gateway, with the faults of the moment; a key function that returns
// false marks a call that changes nothing.
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

// abortReadIfScripted cuts a read off where the script says so.
func (p *Platform) abortReadIfScripted() {
	if fault, _ := p.script.current(); fault.CutReads {
		panic(http.ErrAbortHandler)
	}
}

// runKV runs a call and writes its answer.
func runKV[T any](w http.ResponseWriter, run func(T) (any, *kvError), req T) {
	answer, refusal := run(req)
	writeKV(w, answer, refusal)
}

// runWrite runs a write, or loses it or its answer when the script says so.
func (p *Platform) runWrite(key string, run func() (any, *kvError), w http.ResponseWriter) {
	fault, late := p.script.takeWrite(key)
	switch fault {
	case writeCut:
		panic(http.ErrAbortHandler)
	case writeLate:
		p.delayWrite(late, func() { _, _ = run() })
		panic(http.ErrAbortHandler)
	case writeLoseAnswer:
		_, _ = run()
		panic(http.ErrAbortHandler)
	}
	answer, refusal := run()
	writeKV(w, answer, refusal)
}

// delayWrite carries a write out after that time, or when Late is called where there is none.
func (p *Platform) delayWrite(late time.Duration, run func()) {
	if late > 0 {
		time.AfterFunc(late, run)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldWrites = append(p.heldWrites, run)
}

// Late carries out the writes that are held.
func (p *Platform) Late() {
	p.mu.Lock()
	held := p.heldWrites
	p.heldWrites = nil
	p.mu.Unlock()
	for _, run := range held {
		run()
	}
}

// applyCallFault carries out the fault of the moment that holds for every call; false means that the call is over.
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

// waitForFaultChange waits for the fault to end; false means that the caller has gone.
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

// waitDelay waits, or less when the caller goes away.
func (p *Platform) waitDelay(r *http.Request, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	case <-p.closing:
	}
}

// firstKey is the key that a transaction writes first; a transaction without writes changes nothing.
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

// firstKey is the key that is written.
func (a kvPutRequest) firstKey() (string, bool) {
	return string(a.Key), true
}

// readWriteKey marks a read.
func readWriteKey(kvRangeRequest) (string, bool) {
	return "", false
}

// leaseWriteKey marks a lease call, which is a write without a key.
func leaseWriteKey(kvLeaseRequest) (string, bool) {
	return "", true
}

// writeKV writes an answer or an error.
func writeKV(w http.ResponseWriter, answer any, refusal *kvError) {
	if refusal != nil {
		writeKVError(w, refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// writeKVError writes an error as the gateway does.
func writeKVError(w http.ResponseWriter, e *kvError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{e.message, e.code, e.message})
}

// serveFault sets the fault that the JSON body describes.
func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	decoder.DisallowUnknownFields()
	var f Fault
	err := decoder.Decode(&f)
	if err == nil {
		err = f.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A refusal cuts the server's connections, but not a hijacked one: the answer goes out once the fault is in force.
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
	answer := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	_ = answer.Write(conn)
}

// serveCounts writes the counts as JSON.
func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Calls())
}
