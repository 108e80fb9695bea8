package berylresponse

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the first and the last status code that the protocol knows.
	minStatus = 100
	maxStatus = 599
	// maxFields bounds the fields of a head or trailer, which take far more memory than their text.
	maxFields = 256
	// maxInterimHeads is how many interim responses may precede the final one.
	maxInterimHeads = 8
	// maxQuotedBytes bounds how much of an invalid line is quoted in an error.
	maxQuotedBytes = 80
	// firstFields is the number of fields for which memory is allocated first. Most heads have fewer.
	firstFields = 16
)

var (
	// ErrMalformed is wrapped by the error of a response that is not valid HTTP.
	ErrMalformed = errors.New("the response is not valid HTTP")
	// ErrHeadTooLarge is wrapped by the error of a head or trailer over its limits.
	ErrHeadTooLarge = errors.New("the head or trailer of the response is too large")
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Head is the head of a response.
type Head struct {
	// Status is the status code.
	Status int
	// Fields are the fields in the order in which they were received.
	Fields []Field

	minorVersion byte
	// text is the head as it was received, if the reader was asked to keep it.
	text []byte
}

// Get returns the value of the first field with the name, or an empty string. Case does not matter.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Values returns the values of all fields with the name.
func (h *Head) Values(name string) []string {
	var values []string
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			values = append(values, h.Fields[i].Value)
		}
	}
	return values
}

// lineReader reads lines up to a total number of bytes.
type lineReader struct {
	reader *bufio.Reader
	// left is how many more bytes may be read.
	left int
	// requiresCR makes a line feed without CR invalid.
	requiresCR bool
	// long holds a line that is longer than the reader's buffer.
	long []byte
	// keepsText makes text hold the lines that have been read.
	keepsText bool
	text      []byte
}

// next returns the next line without its end. It is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.nextWithEnd()
	if err != nil {
		return nil, err
	}
	if l.keepsText {
		l.text = append(l.text, line...)
	}
	line = line[:len(line)-1]
	if bytes.HasSuffix(line, []byte{'\r'}) {
		return line[:len(line)-1], nil
	}
	if l.requiresCR {
		return nil, malformed("end of line", line)
	}
	return line, nil
}

func (l *lineReader) nextWithEnd() ([]byte, error) {
	l.long = l.long[:0]
	for {
		part, err := l.reader.ReadSlice('\n')
		if l.left -= len(part); l.left < 0 {
			return nil, ErrHeadTooLarge
		}
		if err == nil && len(l.long) == 0 {
			return part, nil
		}
		l.long = append(l.long, part...)
		if err == nil {
			return l.long, nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF { //nolint:errorlint // Only a plain io.EOF is the end of the connection.
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
}

// fields reads fields up to the blank line that ends them.
func (l *lineReader) fields() ([]Field, error) {
	fields := make([]Field, 0, firstFields)
	for {
		line, err := l.next()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return fields, nil
		}
		if len(fields) == maxFields {
			return nil, errors.Wrapf(ErrHeadTooLarge, "more than %d fields", maxFields)
		}
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
	}
}

// finalHead reads the head of the next final response and the interim responses before it.
func (l *lineReader) finalHead() (Head, error) {
	for range maxInterimHeads + 1 {
		head, err := l.head()
		if err != nil || head.Status >= http.StatusOK {
			return head, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return Head{}, errors.Wrap(ErrMalformed, "a switch of protocols that nobody asked for")
		}
	}
	return Head{}, errors.Wrapf(ErrHeadTooLarge, "more than %d interim responses", maxInterimHeads)
}

// head reads one head.
func (l *lineReader) head() (Head, error) {
	l.text = nil
	line, err := l.next()
	if err != nil {
		return Head{}, err
	}
	head, err := parseStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	head.Fields, err = l.fields()
	head.text = l.text
	return head, err
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK".
func parseStatusLine(line []byte) (Head, error) {
	const versionPrefix, versionLength, codeEnd = "HTTP/1.", len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < codeEnd || string(line[:len(versionPrefix)]) != versionPrefix || line[versionLength-1] != ' ' {
		return Head{}, malformed("status line", line)
	}
	if len(line) > codeEnd && line[codeEnd] != ' ' || !httpguts.ValidHeaderFieldValue(string(line[codeEnd:])) {
		return Head{}, malformed("status line", line)
	}
	head := Head{minorVersion: line[len(versionPrefix)] - '0'}
	if head.minorVersion > 9 {
		return Head{}, malformed("status line", line)
	}
	for _, digit := range line[versionLength:codeEnd] {
		if digit < '0' || digit > '9' {
			return Head{}, malformed("status line", line)
		}
		head.Status = 10*head.Status + int(digit-'0')
	}
	if head.Status < minStatus || head.Status > maxStatus {
		return Head{}, malformed("status line", line)
	}
	return head, nil
}

// parseField parses a line such as "Name: value". A blank in the name is not allowed, not even at its start or its end: of such lines
// some recipients make a part of the value before, and others a field of the name without the blank.
func parseField(line []byte) (Field, error) {
	name, value, found := strings.Cut(string(line), ":")
	value = strings.Trim(value, " \t")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return Field{}, malformed("field", line)
	}
	return Field{Name: name, Value: value}, nil
}

func malformed(what string, line []byte) error {
	return errors.Wrapf(ErrMalformed, "%s %q", what, line[:min(len(line), maxQuotedBytes)])
}
