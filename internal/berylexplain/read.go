package berylexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line of a log; longer ones are no lines of ours.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// Time is when it was written, by that host's clock.
	Time time.Time
	// Host wrote it.
	Host string
	// Message says what happened.
	Message string
	// Fields are the decision's inputs and outcome.
	Fields map[string]any
}

// Read returns the lines of a log. Text before a line's JSON, such as a collector's prefix, and lines that are none of
// ours are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	message, _ := fields["msg"].(string)
	host, _ := fields["host"].(string)
	written, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	if message == "" || err != nil {
		return Line{}, false
	}
	for _, name := range []string{"msg", "host", "time", "level"} {
		delete(fields, name)
	}
	return Line{Time: at, Host: host, Message: message, Fields: fields}, true
}
