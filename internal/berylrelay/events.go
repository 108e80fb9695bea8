package berylrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
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
	// Data is the event's data. Several data lines are joined by line feeds.
	Data []byte
}

// EventReader splits a stream into events. Only Reader has to be set.
type EventReader struct {
	// Reader is the stream to read from.
	Reader  *bufio.Reader
	partial []byte
}

// Next returns the next complete event, or io.EOF at the end of the stream, even if it ends within an event (see
// Rest). The event is valid until the next call.
func (r *EventReader) Next() (Event, error) {
	r.partial = r.partial[:0]
	for {
		line, err := r.Reader.ReadSlice('\n')
		r.partial = append(r.partial, line...)
		if len(r.partial) > maxEventBytes {
			return Event{}, errEventTooLarge
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
	hasData := false
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		}
	}
	return e
}

// IsCleanEOF reports whether err marks the regular end of a stream rather than a broken connection.
func IsCleanEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // A wrapped io.EOF is not the regular end of the stream.
}
