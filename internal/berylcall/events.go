package berylcall

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"berylroad.example/berylroad/internal/berylresponse"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge  = errors.New("an event is over 1 MiB")
	errEventMalformed = errors.New("an event is not valid JSON")
	errErrorEvent     = errors.New("the stream carried an error event")
)

// event is one complete server-sent event.
type event struct {
	// raw holds the bytes of the event, including the blank line that ends it. They are valid until the next read.
	raw []byte
	// isToken marks an event that carries a token.
	isToken bool
	// isDone marks the event that ends the stream.
	isDone bool
}

// eventReader splits a body into complete events.
type eventReader struct {
	body io.Reader
	// memory is where the buffer's capacity is reserved.
	memory *berylresponse.Reservation
	buffer []byte
	start  int
	end    int
}

// terminatorOverlap is how many bytes at the end of the searched data are searched again after the next read, since the
// blank line that ends an event may have arrived only in part.
const terminatorOverlap = 3

// next returns the next complete event. It returns io.EOF only between events, and io.ErrUnexpectedEOF within one.
func (s *eventReader) next() (event, error) {
	searched := 0
	for {
		data := s.buffer[s.start:s.end]
		if size := eventSize(data, searched); size > 0 {
			s.start += size
			return parseEvent(data[:size])
		}
		searched = max(0, len(data)-terminatorOverlap)
		if err := s.fill(); err != nil {
			return event{}, err
		}
	}
}

// fill reads more of the body into the buffer, which grows up to maxEventBytes.
func (s *eventReader) fill() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return errEventTooLarge
		}
		grown, err := s.memory.Grow(s.buffer, maxEventBytes)
		if err != nil {
			return err
		}
		s.buffer = grown[:cap(grown)]
	}
	n, err := s.body.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 {
		return nil
	}
	if err == io.EOF && s.end > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventSize returns the size of the first event in data, including its blank line, or zero if the event is
// incomplete. The search begins at from.
func eventSize(data []byte, from int) int {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}

// parseEvent classifies an event and checks that its data is valid JSON.
func parseEvent(raw []byte) (event, error) {
	data, found := bytes.CutPrefix(raw, []byte("data:"))
	if !found {
		return event{raw: raw}, checkNonDataEvent(raw)
	}
	data = bytes.TrimSpace(data)
	if string(data) == "[DONE]" {
		return event{raw: raw, isDone: true}, nil
	}
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		return event{}, errErrorEvent
	}
	if !json.Valid(data) {
		return event{}, errEventMalformed
	}
	return event{raw: raw, isToken: true}, nil
}

// checkNonDataEvent accepts comments, which keep a connection alive, and rejects anything else.
func checkNonDataEvent(raw []byte) error {
	if raw[0] == ':' {
		return nil
	}
	return errEventMalformed
}
