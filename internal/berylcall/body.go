package berylcall

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"
)

const (
	// heldBytes is how much of a plain service's answer is kept back to be able to call again when it breaks off.
	heldBytes = 256 << 10
	readBlock = 32 << 10
	// drainTime is how long the end of a body may take after a stream's last event for the connection to be kept.
	drainTime = 5 * time.Millisecond
)

var (
	errAnswerTooLarge = errors.New("the answer is over max-answer-bytes")
	errBodyGarbage    = errors.New("the answer is not valid JSON")
	errBodyOpen       = errors.New("the answer gives no length, so its end cannot be told from a cut")
)

// bodyMode says how an answer's body is passed on and when it is whole.
type bodyMode uint8

const (
	// bodyDocument is a JSON answer, passed on when it is whole.
	bodyDocument bodyMode = iota
	// bodyEvents is a stream of events that ends with [DONE], passed on event by event.
	bodyEvents
	// bodyOpaque is any other answer, held back up to heldBytes and then passed on as it comes.
	bodyOpaque
	// bodyRaw is an answer passed on as it comes from its first byte.
	bodyRaw
)

func (a *attempt) bodyMode() bodyMode {
	isEvents := strings.HasPrefix(string(a.response.Header.ContentType()), "text/event-stream")
	switch {
	case !isCompletion(a.req.Path) && isEvents:
		return bodyRaw
	case !isCompletion(a.req.Path):
		return bodyOpaque
	case isEvents && a.req.Stream:
		return bodyEvents
	default:
		return bodyDocument
	}
}

// isCompletion reports whether the path is a model engine's, whose answers must be JSON or events.
func isCompletion(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// bodyReader counts and bounds what is read of a body.
type bodyReader struct {
	a *attempt
}

// Read reads from the answer's body.
func (b bodyReader) Read(data []byte) (int, error) {
	a := b.a
	if a.stream == nil {
		return 0, io.EOF
	}
	n, err := a.stream.Read(data)
	a.read += int64(n)
	if a.read > a.limit {
		return 0, errAnswerTooLarge
	}
	return n, err
}

// boundPause gives the next event its time to arrive whole, and moves the deadline rarely enough to cost nothing.
func (a *attempt) boundPause() {
	now := time.Now()
	if a.stall == 0 || now.Sub(a.stallSince) < a.stall/8 {
		return
	}
	a.stallSince = now
	a.conn.SetReadDeadline(now.Add(a.stall))
}

// pass gives the answer to the sink and notes how the call ended.
func (a *attempt) pass(sink *tracked) {
	var err error
	switch a.mode {
	case bodyEvents:
		err = a.passEvents(sink)
	case bodyDocument:
		err = a.passDocument(sink)
	default:
		err = a.passOpaque(sink)
	}
	switch {
	case sink.err != nil:
		a.fail(a.cancelled(endCancelled), "the answer could not be passed on")
	case err != nil:
		a.fail(a.bodyEnding(err), err.Error())
	default:
		a.end.ending = endWhole
	}
}

func (a *attempt) passEvents(sink *tracked) error {
	if err := sink.start(a.response.StatusCode(), string(a.response.Header.ContentType())); err != nil {
		return err
	}
	e := a.first
	for {
		if err := sink.write(e.raw); err != nil {
			return err
		}
		if e.token {
			a.tokens++
			a.lastByte = time.Since(a.began)
			sink.tokens++
		}
		if e.done {
			return nil
		}
		a.boundPause()
		var err error
		e, err = a.events.next()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// passDocument passes a JSON answer on when it is whole and valid.
func (a *attempt) passDocument(sink *tracked) error {
	if a.openEnded() {
		return errBodyOpen
	}
	if int64(a.response.Header.ContentLength()) > a.limit {
		return errAnswerTooLarge
	}
	body, err := io.ReadAll(bodyReader{a})
	if err != nil {
		return err
	}
	if a.response.StatusCode() < 300 && !json.Valid(body) {
		return errBodyGarbage
	}
	if err := sink.start(a.response.StatusCode(), string(a.response.Header.ContentType())); err != nil {
		return err
	}
	return sink.write(body)
}

// openEnded reports whether only the end of the connection ends the body.
func (a *attempt) openEnded() bool {
	return a.stream != nil && a.response.Header.ContentLength() < -1
}

// passOpaque holds a small answer back until it is whole and passes a large one on as it comes.
func (a *attempt) passOpaque(sink *tracked) error {
	if a.openEnded() {
		return errBodyOpen
	}
	held := 0
	if a.mode == bodyOpaque {
		held = heldBytes
	}
	block := make([]byte, 0, readBlock)
	for {
		if len(block) == cap(block) {
			block = append(make([]byte, 0, 2*cap(block)), block...)
		}
		n, err := bodyReader{a}.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil && err != io.EOF {
			return err
		}
		if err == nil && len(block) <= held {
			continue
		}
		if err := a.passBlock(sink, block); err != nil {
			return err
		}
		block = block[:0]
		if err == io.EOF {
			return nil
		}
	}
}

func (a *attempt) passBlock(sink *tracked, block []byte) error {
	if !sink.started {
		err := sink.start(a.response.StatusCode(), string(a.response.Header.ContentType()))
		if err != nil {
			return err
		}
	}
	if len(block) == 0 {
		return nil
	}
	return sink.write(block)
}

// settle decides, after a whole answer and with the permit given back, whether the connection may carry another call.
func (a *attempt) settle() {
	if a.end.ending != endWhole || a.conn == nil {
		return
	}
	if a.mode == bodyEvents && !a.drained() {
		a.hangUp()
		return
	}
	a.keep()
}

// drained reports whether nothing but the end of the body follows a stream's last event.
func (a *attempt) drained() bool {
	if a.events.start != a.events.end || a.ctx.Err() != nil {
		return false
	}
	a.conn.SetReadDeadline(time.Now().Add(drainTime))
	var one [1]byte
	n, err := a.stream.Read(one[:])
	return n == 0 && err == io.EOF
}
