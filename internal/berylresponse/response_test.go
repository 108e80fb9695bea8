package berylresponse

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const testHeadLimit = 1 << 10

// TestRead runs the script testdata/read, whose input is what an upstream sends before it closes the connection. In the input, \r, \n, \t
// and \xHH stand for bytes, and the line ends of the script itself are left out.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		method := http.MethodPost
		if d.HasArg("head") {
			method = http.MethodHead
		}
		reader := bufio.NewReader(strings.NewReader(unescape(t, d.Input)))
		response, err := Read(reader, method, testHeadLimit)
		if err != nil {
			return describeError(err)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "%d length=%d until-close=%t close=%t\n", response.Status, response.Length, response.UntilClose, response.Close)
		for _, f := range response.Fields {
			fmt.Fprintf(&out, "%s: %s\n", f.Name, f.Value)
		}
		body, err := io.ReadAll(response.Body)
		fmt.Fprintf(&out, "body=%q", body)
		if err != nil {
			out.WriteString(" " + describeError(err))
			return out.String()
		}
		fmt.Fprintf(&out, " left=%d\n", reader.Buffered())
		return out.String()
	})
}

func unescape(t *testing.T, input string) string {
	var text string
	for line := range strings.Lines(input) {
		line = strings.ReplaceAll(strings.TrimSuffix(line, "\n"), `"`, `\"`)
		var part string
		if _, err := fmt.Sscanf(`"`+line+`"`, "%q", &part); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		text += part
	}
	return text
}

func describeError(err error) string {
	switch {
	case errors.Is(err, ErrMalformed):
		return "malformed: " + err.Error() + "\n"
	case errors.Is(err, ErrHeadTooLarge):
		return "too large: " + err.Error() + "\n"
	default:
		return "error: " + err.Error() + "\n"
	}
}

func TestHeadsWithoutEnd(t *testing.T) {
	for name, parts := range map[string][2]string{
		"before a head":     {"", "\r\n"},
		"no line feed":      {"", "x"},
		"reason":            {"HTTP/1.1 200 ", "x"},
		"one field":         {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := &endlessReader{start: parts[0], repeat: parts[1]}
			_, err := Read(bufio.NewReader(sent), http.MethodPost, 64<<10)
			is.True(err != nil)
			is.True(sent.read <= 64<<10+2*4096) // the limit and what the reader has buffered
		})
	}
}

func TestBodiesWithoutEnd(t *testing.T) {
	for name, parts := range map[string][2]string{
		"chunk extension": {"1;", "x=y;"},
		"extensions":      {"", "1;" + strings.Repeat("x", 64) + "\r\na\r\n"},
		"chunk size":      {"", "0"},
		"trailer field":   {"0\r\nX-Long: ", "x"},
		"trailer":         {"0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := &endlessReader{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + parts[0], repeat: parts[1]}
			response, err := Read(bufio.NewReader(sent), http.MethodPost, testHeadLimit)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil)
			is.True(sent.read <= 64<<10)
		})
	}
}

// endlessReader returns a text and then repeats another without end.
type endlessReader struct {
	start, repeat string
	read          int
	// offset is how much of the repeated text was returned last.
	offset int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.start != "" {
		n := copy(p, r.start)
		r.start = r.start[n:]
		r.read += n
		return n, nil
	}
	n := copy(p, strings.Repeat(r.repeat, 2+len(p)/len(r.repeat))[r.offset:])
	r.offset = (r.offset + n) % len(r.repeat)
	r.read += n
	return n, nil
}

// FuzzRead checks that a response that is accepted is the same to net/http, which reads many more.
func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200\nTransfer-Encoding: Chunked\n\n2;x=y\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length : 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 OK\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		response, err := Read(bufio.NewReader(strings.NewReader(string(sent))), http.MethodPost, testHeadLimit)
		if err != nil {
			return
		}
		body, bodyErr := io.ReadAll(response.Body)
		reader := bufio.NewReader(strings.NewReader(string(sent)))
		other, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		for err == nil && other.StatusCode < http.StatusOK && other.StatusCode != http.StatusSwitchingProtocols {
			other, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		}
		if err != nil || other.StatusCode != response.Status {
			t.Fatalf("status %d; net/http: %+v, %v", response.Status, other, err)
		}
		for _, f := range response.Fields {
			switch name := http.CanonicalHeaderKey(f.Name); {
			case name == "Content-Length", name == "Transfer-Encoding", name == "Trailer": // net/http drops some of them
			case len(response.Values(f.Name)) != len(other.Header[name]):
				t.Fatalf("fields %v; net/http: %v", response.Fields, other.Header)
			}
		}
		otherBody, otherErr := io.ReadAll(other.Body)
		if string(body) != string(otherBody) || bodyErr == nil && otherErr != nil {
			t.Fatalf("body %q, %v; net/http: %q, %v", body, bodyErr, otherBody, otherErr)
		}
	})
}
