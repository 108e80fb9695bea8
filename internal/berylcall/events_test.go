package berylcall

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// splitEvents reads all events of a body. Each is followed by T if it carries a token, by D if it ends the stream, and
// by a bar.
func splitEvents(body io.Reader) (string, error) {
	s := eventReader{body: body}
	var out strings.Builder
	for {
		e, err := s.next()
		if err != nil {
			return out.String(), err
		}
		out.Write(e.raw)
		if e.isToken {
			out.WriteString("T")
		}
		if e.isDone {
			out.WriteString("D")
		}
		out.WriteString("|")
	}
}

func TestEvents(t *testing.T) {
	for _, tt := range []struct {
		name string
		body string
		want string
		err  error
	}{
		{name: "empty", err: io.EOF},
		{name: "two and the end", body: "data: {}\n\ndata: 1\n\ndata: [DONE]\n\n", want: "data: {}\n\nT|data: 1\n\nT|data: [DONE]\n\nD|", err: io.EOF},
		{name: "carriage returns", body: "data: {}\r\n\r\ndata: [DONE]\r\n\r\n", want: "data: {}\r\n\r\nT|data: [DONE]\r\n\r\nD|", err: io.EOF},
		{name: "comment", body: ": ping\n\ndata: {}\n\n", want: ": ping\n\n|data: {}\n\nT|", err: io.EOF},
		{name: "half an event", body: "data: {}\n\ndata: {\"a\"", want: "data: {}\n\nT|", err: io.ErrUnexpectedEOF},
		{name: "no blank line", body: "data: {}\n\ndata: [DONE]\n", want: "data: {}\n\nT|", err: io.ErrUnexpectedEOF},
		{name: "not JSON", body: "data: {]\n\n", err: errEventMalformed},
		{name: "no event at all", body: "hello\n\n", err: errEventMalformed},
		{name: "error event", body: "data: {\"error\":{}}\n\n", err: errErrorEvent},
		{name: "endless event", body: "data: " + strings.Repeat("x", maxEventBytes), err: errEventTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, reader := range []io.Reader{
				strings.NewReader(tt.body),
				iotest.OneByteReader(strings.NewReader(tt.body)),
				iotest.DataErrReader(strings.NewReader(tt.body)),
			} {
				is := is.New(t)
				got, err := splitEvents(reader)
				is.Equal(got, tt.want)          // the complete events before the end or the error
				is.True(errors.Is(err, tt.err)) // io.EOF after a complete event, else the error
			}
		})
	}
}

func TestAddContinueField(t *testing.T) {
	for _, tt := range []struct {
		name string
		body string
		want string
	}{
		{name: "fields", body: ` {"model":"m"}`, want: `{"continue_from":7,"model":"m"}`},
		{name: "no fields", body: `{ }`, want: `{"continue_from":7}`},
		{name: "no object", body: `[1]`},
		{name: "empty", body: ``},
		{name: "caller's own", body: `{"continue_from":1}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(canAddContinueField([]byte(tt.body)), tt.want != "")
			if tt.want == "" {
				return
			}
			got := addContinueField([]byte(tt.body), 7)
			is.Equal(string(got), tt.want)
			is.True(json.Valid(got))
		})
	}
}
