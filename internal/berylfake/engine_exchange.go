package berylfake

import (
	"net/http"
	"strconv"
	"time"
)

// endlessBlockBytes is the number of bytes per write of an endless body.
const endlessBlockBytes = 16 << 10

// exchange handles one counted request and its answer, under the fault that was scripted when the request arrived.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	script    *faultScript
	fault     UpstreamFault
	run       *countedRun
	requestID string
	tokens    int
	prefill   time.Duration
	tokenTime func() time.Duration
}

// begin counts a request and applies the faults that replace the answer. It returns nil if the request has been answered.
func (s *server) begin(w http.ResponseWriter, r *http.Request, body []byte) *exchange {
	fault := s.script.take(time.Now())
	if fault.Mode == FaultLeaving {
		w.Header().Set("Berylroad-Leaving", "1")
	}
	if fault.Mode == FaultStatus && rejectsWithoutRun(fault.Status) && !fault.AfterRun {
		s.counter.refuse()
		if fault.NotRun {
			w.Header().Set("Berylroad-Not-Run", "1")
		}
		w.Header().Set("Retry-After", "1")
		writeError(w, fault.Status, "refused by script")
		return nil
	}
	id := r.Header.Get("X-Request-Id")
	x := &exchange{w: w, r: r, script: &s.script, fault: fault, run: s.counter.start(id, body), requestID: id}
	w.Header().Set("X-Request-Id", id)
	if !x.applyResponseFault() {
		return nil
	}
	return x
}

// rejectsWithoutRun reports whether a status tells the client that the request did not run.
func rejectsWithoutRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// applyResponseFault applies the faults that replace or precede the answer. It returns true if the request must still be answered.
func (x *exchange) applyResponseFault() bool {
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
		x.writeEndlessHeader()
	case FaultHang:
		<-x.r.Context().Done()
		x.end(false)
	case FaultLate:
		time.Sleep(x.fault.Duration.Std())
		return true
	case FaultWrongRequestID:
		x.w.Header().Set("X-Request-Id", "another-"+x.requestID)
		return true
	default:
		return true
	}
	return false
}

// end counts the run as finished or cancelled. A complete answer is counted before its last bytes are sent, so that a client
// that has received the answer always finds it in the counts.
func (x *exchange) end(finished bool) {
	x.run.end(finished, x.tokens)
}

// hijack writes raw bytes to the connection and closes it.
func (x *exchange) hijack(raw string) {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	conn.Write([]byte(raw))
}

// writeEndlessHeader sends response headers until the connection fails.
func (x *exchange) writeEndlessHeader() {
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

// wait sleeps for the span, multiplied by the factor of FaultSlow if that fault is set. It returns false if the client disconnects.
func (x *exchange) wait(span time.Duration) bool {
	span = time.Duration(float64(span) * x.script.slowFactor(time.Now()))
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

// generateToken waits for the time that the token with index i takes, where index 0 is the first token of this answer. It
// returns false if the client disconnects.
func (x *exchange) generateToken(i int) bool {
	span := x.tokenTime()
	if i == 0 {
		span += x.prefill
	}
	if x.fault.Mode == FaultStall && i == x.fault.AfterTokens {
		span += x.fault.Duration.Std()
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
	for i := range p.tokenCount - p.firstToken {
		if !x.generateToken(i) {
			x.end(false)
			return
		}
	}
	x.writeAnswer(p.completion(x.requestID))
}

// writeAnswer sends an answer that is not streamed, under the fault of the exchange.
func (x *exchange) writeAnswer(body []byte) {
	x.w.Header().Set("Content-Type", "application/json")
	if x.fault.Mode == FaultEndless {
		x.writeEndlessBody()
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

// write sends bytes of the answer, and sends them one at a time under FaultDrip. It returns false if the client disconnects.
func (x *exchange) write(data []byte, token int) bool {
	control := http.NewResponseController(x.w)
	if x.fault.Mode != FaultDrip || token < x.fault.AfterTokens {
		_, err := x.w.Write(data)
		control.Flush()
		return err == nil
	}
	for i := range data {
		if !x.wait(x.fault.Duration.Std()) {
			return false
		}
		x.w.Write(data[i : i+1])
		control.Flush()
	}
	return true
}

// writeEndlessBody writes spaces until the client disconnects.
func (x *exchange) writeEndlessBody() {
	block := make([]byte, endlessBlockBytes)
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

// stream answers with one event per token, followed by [DONE].
func (x *exchange) stream(p *prompt) {
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-cache")
	http.NewResponseController(x.w).Flush()
	for i := 0; i < p.tokenCount-p.firstToken || x.fault.Mode == FaultEndless; i++ {
		if x.endStreamEarly(i) {
			return
		}
		if !x.generateToken(i) || !x.write(p.event(x.requestID, p.firstToken+i), i) {
			x.end(false)
			return
		}
	}
	if x.endStreamEarly(p.tokenCount - p.firstToken) {
		return
	}
	x.end(x.r.Context().Err() == nil)
	if p.includeUsage {
		x.w.Write(p.usageEvent(x.requestID))
	}
	x.w.Write([]byte("data: [DONE]\n\n"))
}

// endStreamEarly applies the faults that end a stream before the token with index i, and reports whether the stream has ended.
func (x *exchange) endStreamEarly(i int) bool {
	if i != x.fault.AfterTokens {
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
