package berylrelay

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylresponse"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.Newf("an event is over %d bytes", maxEventBytes)

// Event is one event of a text/event-stream.
type Event struct {
	// Raw is the event as it was received, including the blank line that ends it.
	Raw []byte
	// ID is the number in the event's id field.
	ID int64
	// HasID says whether the event has an id field with a number.
	HasID bool
	// HasData says whether the event has data that is not empty.
	HasData bool
}

// EventReader splits a stream into events. Only Reader has to be set.
type EventReader struct {
	// Reader is the stream to read from.
	Reader *bufio.Reader
	// Memory is where the memory of long events is reserved; nil means that it is not bounded.
	Memory *berylresponse.Reservation

	partial []byte
}

// Next returns the next complete event, or io.EOF at the end of the stream, even if it ends within an event (see
// Rest). The event is valid until the next call.
func (r *EventReader) Next() (Event, error) {
	r.dropLast()
	for {
		line, err := r.Reader.ReadSlice('\n')
		if len(r.partial)+len(line) > maxEventBytes {
			return Event{}, errEventTooLarge
		}
		var growErr error
		if r.partial, growErr = r.Memory.Append(r.partial, line, maxEventBytes); growErr != nil {
			return Event{}, growErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && isWholeLine(r.partial, len(line)) {
			return parseEvent(r.partial), nil
		}
	}
}

// dropLast makes room for the next event.
func (r *EventReader) dropLast() {
	if cap(r.partial) > berylresponse.FreeBytes {
		r.partial = nil
		r.Memory.Release()
	}
	r.partial = r.partial[:0]
}

// Rest returns the bytes after the last whole event, once Next has failed.
func (r *EventReader) Rest() []byte {
	return r.partial
}

// isWholeLine reports whether the last n bytes of text form a line of their own.
func isWholeLine(text []byte, n int) bool {
	return len(text) == n || text[len(text)-n-1] == '\n'
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	hasLine := false
	for name, value := range fields(raw) {
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		case "data":
			e.HasData = e.HasData || hasLine || len(value) > 0
			hasLine = true
		}
	}
	return e
}

// Data returns the parts of the event's data, which are joined by line feeds. They are valid as long as the event.
func (e *Event) Data() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for name, value := range fields(e.Raw) {
			if string(name) == "data" && !yield(value) {
				return
			}
		}
	}
}

// fields returns the names and values of the fields of an event.
func fields(raw []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for line := range bytes.SplitSeq(raw, []byte("\n")) {
			line = bytes.TrimSuffix(line, []byte("\r"))
			name, value, _ := bytes.Cut(line, []byte(":"))
			if !yield(name, bytes.TrimPrefix(value, []byte(" "))) {
				return
			}
		}
	}
}

// IsCleanEOF reports whether err marks the regular end of a stream rather than a broken connection.
func IsCleanEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // A wrapped io.EOF is not the regular end of the stream.
}
