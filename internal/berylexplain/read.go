package berylexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a log line. Hosts write none that is longer, so longer ones are skipped.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// Time is when the line was written, by the host's clock.
	Time time.Time
	// Host is the name of the host that wrote the line.
	Host string
	// Message is the value of the line's field msg.
	Message string
	// Fields holds the other log fields, such as the inputs and the outcome of a decision.
	Fields map[string]any
}

// stateMessagePrefixes are the prefixes of messages that report a change of the host's state.
var stateMessagePrefixes = [][]byte{[]byte("host:"), []byte("stopping"), []byte("config:"), []byte("store:"), []byte("upstream:")}

// messageKey precedes the message in a log line.
var messageKey = []byte(`"msg":"`)

// Read returns the lines of a log that contain the ID or report a change of the host's state, and the number of all lines that a
// host wrote. Other lines are skipped without being parsed, so that a log of any size needs little memory. Text before a line's
// JSON, such as a log collector's prefix, is ignored. Lines that no host wrote, that are too long or that end before the message
// are not counted; a line that was truncated later is counted, but not returned.
func Read(r io.Reader, id string) (lines []Line, read int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	quotedID, err := json.Marshal(id) // quoted and escaped as the log's formatter writes it
	if err != nil {
		return nil, 0, errors.Wrap(err, "id")
	}
	for {
		text, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if fromHost, relevant := classify(text, quotedID); fromHost && !tooLong {
			read++
			if relevant {
				if line, ok := parseLine(text); ok {
					lines = append(lines, line)
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return lines, read, nil
		}
		if err != nil {
			return lines, read, errors.Wrap(err, "log")
		}
	}
}

// classify reports whether a host wrote the line, and whether the line contains the ID or reports a change of the host's state.
// id is the ID as a JSON string.
func classify(text, id []byte) (fromHost, relevant bool) {
	_, message, found := bytes.Cut(text, messageKey)
	if !found {
		return false, false
	}
	for _, begin := range stateMessagePrefixes {
		if bytes.HasPrefix(message, begin) {
			return true, true
		}
	}
	return true, bytes.Contains(text, id)
}

// parseLine parses a line's JSON, and returns false if it is invalid or has no message or time.
func parseLine(text []byte) (Line, bool) {
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
	timestamp, _ := fields["time"].(string)
	parsedTime, err := time.Parse(time.RFC3339Nano, timestamp)
	if message == "" || err != nil {
		return Line{}, false
	}
	for _, name := range []string{"msg", "host", "time", "level"} {
		delete(fields, name)
	}
	return Line{Time: parsedTime, Host: host, Message: message, Fields: fields}, true
}
