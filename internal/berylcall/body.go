package berylcall

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"
)

const (
	// maxBufferedBytes bounds how much of a plain service's answer is held back until it is complete. Up to this
	// size, an answer that breaks off can be requested again.
	maxBufferedBytes = 256 << 10
	readBlockBytes   = 16 << 10
	// defaultContentType is the content type of an answer that has none.
	defaultContentType = "text/plain; charset=utf-8"
	// drainTimeout is how long the end of the body may take to arrive after a stream's last event. If it takes
	// longer, the connection is not reused.
	drainTimeout = 5 * time.Millisecond
)

var (
	errAnswerTooLarge    = errors.New("the answer is over max-answer-bytes")
	errBodyMalformed     = errors.New("the answer is not valid JSON")
	errBodyWithoutLength = errors.New("the answer gives no length, so a truncated answer could not be detected")
)

// bodyMode says how a response body is passed on and how its completeness is checked.
type bodyMode uint8

const (
	// bodyJSON is a JSON answer or an error, passed on once it is complete.
	bodyJSON bodyMode = iota
	// bodyEvents is a stream of server-sent events that ends with [DONE], passed on event by event.
	bodyEvents
	// bodyBuffered is any other answer: held back up to maxBufferedBytes, then passed on as it arrives.
	bodyBuffered
	// bodyPassThrough is an answer passed on as it arrives, from its first byte.
	bodyPassThrough
)

func (a *attempt) bodyMode() bodyMode {
	isEvents := strings.HasPrefix(a.contentType(), "text/event-stream")
	switch {
	case !isCompletion(a.req.Path) && isEvents:
		return bodyPassThrough
	case !isCompletion(a.req.Path):
		return bodyBuffered
	case isEvents && a.req.Stream:
		return bodyEvents
	default:
		return bodyJSON
	}
}

func (a *attempt) contentType() string {
	if t := a.response.Get("Content-Type"); t != "" {
		return t
	}
	return defaultContentType
}

// isCompletion reports whether the path belongs to the completion API of a model engine, whose answers must be JSON
// or events.
func isCompletion(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// bodyReader reads the response body, counts its bytes and fails once they exceed the attempt's limit.
type bodyReader struct {
	attempt *attempt
}

// Read implements io.Reader.
func (b bodyReader) Read(data []byte) (int, error) {
	a := b.attempt
	n, err := a.response.Body.Read(data)
	a.bytesRead += int64(n)
	if a.bytesRead > a.maxAnswerBytes {
		return 0, errAnswerTooLarge
	}
	return n, err
}

// extendStallDeadline allows stallTimeout for the next event to arrive completely. It moves the deadline at most once
// per eighth of that time, to keep the cost per event low.
func (a *attempt) extendStallDeadline() {
	now := time.Now()
	if a.stallTimeout == 0 || now.Sub(a.stallDeadlineSetAt) < a.stallTimeout/8 {
		return
	}
	a.stallDeadlineSetAt = now
	a.conn.SetReadDeadline(now.Add(a.stallTimeout))
}

// outwaitSilence reports whether to wait on for an upstream that has been silent for stallTimeout: no other attempt may continue the
// answer. From then on only the request's deadline ends the wait for the next event.
func (a *attempt) outwaitSilence() bool {
	if a.mayEndForSilence() {
		return false
	}
	a.stallDeadlineSetAt = time.Time{}
	return a.conn.SetReadDeadline(time.Time{}) == nil
}

// pass writes the answer to the sink and records how the attempt ended.
func (a *attempt) pass(sink *trackedSink) {
	var err error
	switch a.mode {
	case bodyEvents:
		err = a.passEvents(sink)
	case bodyJSON:
		err = a.passJSON(sink)
	default:
		err = a.passBytes(sink)
	}
	switch {
	case sink.err != nil:
		a.fail(a.contextReasonOr(endCancelled), "the answer could not be passed on")
	case err != nil:
		a.fail(a.classifyBodyError(err), err.Error())
	default:
		a.result.reason = endComplete
	}
}

func (a *attempt) passEvents(sink *trackedSink) error {
	if err := sink.start(a.response.Status, a.contentType()); err != nil {
		return err
	}
	a.conn.waitOn = a.outwaitSilence
	defer func() { a.conn.waitOn = nil }()
	e := a.firstEventRead
	for {
		if err := sink.write(e.raw); err != nil {
			return err
		}
		if e.isToken {
			a.tokens++
			a.timeToLastToken = time.Since(a.startedAt)
			sink.tokens++
		}
		if e.isDone {
			return nil
		}
		a.extendStallDeadline()
		var err error
		e, err = a.eventReader.next()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// passJSON passes a JSON answer on once it is complete and valid. With a status of 300 or more the body need not be JSON.
func (a *attempt) passJSON(sink *trackedSink) error {
	if a.response.UntilClose {
		return errBodyWithoutLength
	}
	if a.response.Length > a.maxAnswerBytes {
		return errAnswerTooLarge
	}
	body, err := a.holdBody()
	if err != nil {
		return err
	}
	if a.response.Status < 300 && !json.Valid(body) {
		return errBodyMalformed
	}
	if err := sink.start(a.response.Status, a.contentType()); err != nil {
		return err
	}
	return sink.write(body)
}

// holdBody reads the body to its end.
func (a *attempt) holdBody() ([]byte, error) {
	var body []byte
	for {
		grown, err := a.memory.Grow(body, int(a.maxAnswerBytes)+1)
		if err != nil {
			return nil, err
		}
		n, err := bodyReader{a}.Read(grown[len(grown):cap(grown)])
		body = grown[:len(grown)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// passBytes passes an answer on block by block. In bodyBuffered mode it holds the answer back until it is complete,
// exceeds maxBufferedBytes or there is no memory to hold more.
func (a *attempt) passBytes(sink *trackedSink) error {
	if a.response.UntilClose {
		return errBodyWithoutLength
	}
	held := 0
	if a.mode == bodyBuffered {
		held = maxBufferedBytes
	}
	block := make([]byte, 0, readBlockBytes)
	for {
		n, err := bodyReader{a}.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil && err != io.EOF {
			return err
		}
		if err == nil && len(block) <= held {
			grown, growErr := a.memory.Grow(block, 2*maxBufferedBytes)
			if growErr == nil {
				block = grown
				continue
			}
		}
		if err := a.passBlock(sink, block); err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
		held = 0
		if cap(block) > readBlockBytes {
			block = make([]byte, 0, readBlockBytes)
			a.memory.Release()
		}
		block = block[:0]
	}
}

func (a *attempt) passBlock(sink *trackedSink, block []byte) error {
	if !sink.started {
		err := sink.start(a.response.Status, a.contentType())
		if err != nil {
			return err
		}
	}
	if len(block) == 0 {
		return nil
	}
	return sink.write(block)
}

// releaseConn returns the connection to the pool, or closes it if it cannot be reused. It is called after the permit
// was released, and leaves the connection of an incomplete answer alone, since fail has closed it.
func (a *attempt) releaseConn() {
	if a.result.reason != endComplete || a.conn == nil {
		return
	}
	if a.mode == bodyEvents && !a.isDrained() {
		a.closeConn()
		return
	}
	a.keepConn()
}

// isDrained reports whether the body ends right after the stream's last event.
func (a *attempt) isDrained() bool {
	if a.eventReader.start != a.eventReader.end || a.ctx.Err() != nil {
		return false
	}
	a.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	var next [1]byte
	n, err := a.response.Body.Read(next[:])
	return n == 0 && err == io.EOF
}
