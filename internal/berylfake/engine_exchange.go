package berylfake

import (
	"net/http"
	"strconv"
	"time"
)

// endlessBlock is how many bytes of an endless body are written at once.
const endlessBlock = 16 << 10

// exchange is one counted request and its answer, under the fault that it met.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	script  *faultScript
	fault   UpstreamFault
	run     *run
	id      string
	tokens  int
	prefill time.Duration
	step    func() time.Duration
}

// begin counts a request and meets the faults that need no run; nil means that it has been answered.
func (s *server) begin(w http.ResponseWriter, r *http.Request, body []byte) *exchange {
	fault := s.script.take(time.Now())
	if fault.Mode == FaultStatus && unrun(fault.Status) {
		s.ledger.refuse()
		w.Header().Set("Retry-After", "1")
		writeError(w, fault.Status, "refused by script")
		return nil
	}
	id := r.Header.Get("X-Request-Id")
	x := &exchange{w: w, r: r, script: &s.script, fault: fault, run: s.ledger.start(id, body), id: id}
	w.Header().Set("X-Request-Id", id)
	if !x.meet() {
		return nil
	}
	return x
}

func unrun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// meet acts out the faults that replace the answer, and reports whether the answer is still to come.
func (x *exchange) meet() bool {
	switch x.fault.Mode {
	case FaultStatus:
		writeError(x.w, x.fault.Status, "failed by script")
		x.end(true)
	case FaultDrop:
		x.end(true)
		x.hijack("")
	case FaultGarbage:
		x.w.Header().Set("Content-Type", "application/json")
		x.w.Write([]byte("\x00\x01 {not json \xff"))
		x.end(true)
	case FaultNotHTTP:
		x.end(true)
		x.hijack("\x16\x03\x01 not HTTP at all\r\n\r\n")
	case FaultEndlessHeader:
		x.end(true)
		x.endlessHeader()
	case FaultHang:
		<-x.r.Context().Done()
		x.end(false)
	case FaultLate:
		time.Sleep(x.fault.For.Std())
		return true
	case FaultCrossed:
		x.w.Header().Set("X-Request-Id", "another-"+x.id)
		return true
	default:
		return true
	}
	return false
}

// end counts the run; a whole answer is counted before its last bytes leave, so that the client finds it counted.
func (x *exchange) end(finished bool) {
	x.run.end(finished, x.tokens)
}

// hijack writes raw bytes on the connection and closes it.
func (x *exchange) hijack(raw string) {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	conn.Write([]byte(raw))
}

func (x *exchange) endlessHeader() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for err == nil {
		_, err = conn.Write([]byte("X-Again: and again\r\n"))
	}
}

// wait sleeps, stretched by a slow spell, and reports false when the client has gone.
func (x *exchange) wait(span time.Duration) bool {
	span = time.Duration(float64(span) * x.script.factor(time.Now()))
	if span <= 0 {
		return x.r.Context().Err() == nil
	}
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.r.Context().Done():
		return false
	}
}

// next waits for the token with number i, counted from the first one that this answer gives.
func (x *exchange) next(i int) bool {
	span := x.step()
	if i == 0 {
		span += x.prefill
	}
	if x.fault.Mode == FaultStall && i == x.fault.After {
		span += x.fault.For.Std()
	}
	if !x.wait(span) {
		return false
	}
	x.tokens++
	return true
}

func (x *exchange) complete(p *prompt) {
	if p.stream {
		x.stream(p)
		return
	}
	for i := range p.tokens - p.from {
		if !x.next(i) {
			x.end(false)
			return
		}
	}
	x.plain(p.whole(x.id))
}

// plain answers with a whole body.
func (x *exchange) plain(body []byte) {
	x.w.Header().Set("Content-Type", "application/json")
	if x.fault.Mode == FaultEndless {
		x.endless()
		return
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if x.fault.Mode == FaultCut {
		x.w.Write(body[:len(body)/2])
		http.NewResponseController(x.w).Flush()
		x.end(true)
		x.hijack("")
		return
	}
	if x.fault.Mode == FaultDrip {
		x.end(x.write(body, 0))
		return
	}
	x.end(x.r.Context().Err() == nil)
	x.w.Write(body)
}

// write sends bytes of the answer, one by one under a drip, and reports false when the client has gone.
func (x *exchange) write(data []byte, token int) bool {
	control := http.NewResponseController(x.w)
	if x.fault.Mode != FaultDrip || token < x.fault.After {
		_, err := x.w.Write(data)
		control.Flush()
		return err == nil
	}
	for i := range data {
		if !x.wait(x.fault.For.Std()) {
			return false
		}
		x.w.Write(data[i : i+1])
		control.Flush()
	}
	return true
}

// endless writes until the client goes.
func (x *exchange) endless() {
	block := make([]byte, endlessBlock)
	for i := range block {
		block[i] = ' '
	}
	for x.r.Context().Err() == nil {
		if _, err := x.w.Write(block); err != nil {
			break
		}
	}
	x.end(false)
}

// stream answers with one event for each token and [DONE].
func (x *exchange) stream(p *prompt) {
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-cache")
	http.NewResponseController(x.w).Flush()
	for i := 0; i < p.tokens-p.from || x.fault.Mode == FaultEndless; i++ {
		if x.breakOff(i) {
			return
		}
		if !x.next(i) || !x.write(p.event(x.id, p.from+i), i) {
			x.end(false)
			return
		}
	}
	if x.breakOff(p.tokens - p.from) {
		return
	}
	x.end(x.r.Context().Err() == nil)
	if p.usage {
		x.w.Write(p.usageEvent(x.id))
	}
	x.w.Write([]byte("data: [DONE]\n\n"))
}

// breakOff acts out the faults that end a stream before the token with number i, and reports whether it has ended.
func (x *exchange) breakOff(i int) bool {
	if i != x.fault.After {
		return false
	}
	switch x.fault.Mode {
	case FaultCut:
		x.end(true)
		x.hijack("40\r\ndata: {\"id\":\"half")
		return true
	case FaultNoEnd:
		x.end(true)
		return true
	}
	return false
}
