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

// stateMessagePrefixes begin the messages that tell of a change of beliefs.
var stateMessagePrefixes = [][]byte{[]byte("host:"), []byte("stopping"), []byte("config:"), []byte("store:"), []byte("upstream:")}

// messageKey comes before a line's message.
var messageKey = []byte(`"msg":"`)

// Read returns the lines of a log that name the ID or tell of a change of beliefs, and counts all lines of ours. The others
// are passed over unread, so that a log of any size needs little memory. So are text before a line's JSON, such as a
// collector's prefix, and lines that are none of ours: cut, binary, or longer than any that a host writes.
func Read(r io.Reader, id string) (lines []Line, read int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	wanted, err := json.Marshal(id) // as the log's formatter writes it
	if err != nil {
		return nil, 0, errors.Wrap(err, "id")
	}
	for {
		text, err := reader.ReadSlice('\n')
		long := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if ours, relevant := classify(text, wanted); ours && !long {
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

// classify says whether a line is one of a host's, and whether it may name the ID or tells of a change of beliefs.
func classify(text, id []byte) (ours, relevant bool) {
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
