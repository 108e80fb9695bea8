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
	mux.HandleFunc("POST /v3/kv/range", serveKV(p, func(c *PlatformCalls) { c.Range++ }, readKey,
		func(ask kvRange) (any, *kvError) {
			fault, _ := p.script.current()
			return p.store.readRange(ask, fault.StaleBy)
		}))
	mux.HandleFunc("POST /v3/kv/txn", serveKV(p, func(c *PlatformCalls) { c.Txn++ }, kvTxn.firstKey, p.store.transact))
	mux.HandleFunc("POST /v3/kv/put", serveKV(p, func(c *PlatformCalls) { c.Put++ }, kvPut.firstKey, p.store.putOne))
	mux.HandleFunc("POST /v3/lease/grant", serveKV(p, func(c *PlatformCalls) { c.Grant++ }, leaseKey,
		func(ask kvLease) (any, *kvError) { return p.store.grant(ask, time.Now()) }))
	mux.HandleFunc("POST /v3/lease/keepalive", serveKV(p, func(c *PlatformCalls) { c.KeepAlive++ }, leaseKey,
		func(ask kvLease) (any, *kvError) { return p.store.keepAlive(ask, time.Now()) }))
	mux.HandleFunc("POST /v3/lease/revoke", serveKV(p, func(c *PlatformCalls) { c.Revoke++ }, leaseKey, p.store.revoke))
	mux.HandleFunc("POST /v3/watch", p.serveWatch)
	mux.HandleFunc("POST /standin/fault", p.serveFault)
	mux.HandleFunc("GET /standin/counts", p.serveCounts)
	return mux
}

// serveKV returns a handler for one path of the gateway, with the faults of the moment; a key function that returns
// false marks a call that changes nothing.
func serveKV[T any](p *Platform, bump func(*PlatformCalls), key func(T) (string, bool), run func(T) (any, *kvError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
		p.counts.add(bump, len(body))
		if !p.ready(w, r) {
			return
		}
		var ask T
		if err == nil {
			err = json.Unmarshal(body, &ask)
		}
		if err != nil {
			writeKVError(w, &kvError{http.StatusBadRequest, grpcInvalid, err.Error()})
			return
		}
		if name, isWrite := key(ask); isWrite {
			p.faultyWrite(name, func() (any, *kvError) { return run(ask) }, w)
			return
		}
		p.cutRead()
		answerKV(w, run, ask)
	}
}

// cutRead cuts a read off where the script says so.
func (p *Platform) cutRead() {
	if fault, _ := p.script.current(); fault.CutReads {
		panic(http.ErrAbortHandler)
	}
}

// answerKV runs a call and writes its answer.
func answerKV[T any](w http.ResponseWriter, run func(T) (any, *kvError), ask T) {
	answer, refusal := run(ask)
	writeKV(w, answer, refusal)
}

// faultyWrite runs a write, or loses it or its answer when the script says so.
func (p *Platform) faultyWrite(key string, run func() (any, *kvError), w http.ResponseWriter) {
	fault, late := p.script.takeWrite(key)
	switch fault {
	case writeCut:
		panic(http.ErrAbortHandler)
	case writeLate:
		p.hold(late, func() { _, _ = run() })
		panic(http.ErrAbortHandler)
	case writeLoseAnswer:
		_, _ = run()
		panic(http.ErrAbortHandler)
	}
	answer, refusal := run()
	writeKV(w, answer, refusal)
}

// hold carries a write out after that time, or when Late is called where there is none.
func (p *Platform) hold(late time.Duration, run func()) {
	if late > 0 {
		time.AfterFunc(late, run)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = append(p.held, run)
}

// Late carries out the writes that are held.
func (p *Platform) Late() {
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.mu.Unlock()
	for _, run := range held {
		run()
	}
}

// ready carries out the fault of the moment that holds for every call; false means that the call is over.
func (p *Platform) ready(w http.ResponseWriter, r *http.Request) bool {
	for {
		fault, changed := p.script.current()
		switch fault.Mode {
		case ModeDown:
			writeKVError(w, &kvError{http.StatusServiceUnavailable, grpcUnavailable, "etcdserver: no leader"})
			return false
		case ModeFreeze:
			if !p.thaw(r, changed) {
				return false
			}
			continue
		}
		if fault.DelayMillis > 0 {
			p.sleep(r, time.Duration(fault.DelayMillis)*time.Millisecond)
		}
		return true
	}
}

// thaw waits for the fault to end; false means that the caller has gone.
func (p *Platform) thaw(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
	case <-time.After(platformTick):
	case <-r.Context().Done():
		return false
	case <-p.closing:
		return false
	}
	return r.Context().Err() == nil
}

// sleep waits, or less when the caller goes away.
func (p *Platform) sleep(r *http.Request, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	case <-p.closing:
	}
}

// firstKey is the key that a transaction writes first; a transaction without writes changes nothing.
func (t kvTxn) firstKey() (string, bool) {
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
func (a kvPut) firstKey() (string, bool) {
	return string(a.Key), true
}

// readKey marks a read.
func readKey(kvRange) (string, bool) {
	return "", false
}

// leaseKey marks a lease call, which is a write without a key.
func leaseKey(kvLease) (string, bool) {
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
