package berylcall

import (
	"bytes"
	"strconv"
)

// continueField is the engines' request field for the number of tokens of the answer that were already received.
const continueField = `"continue_from"`

// canAddContinueField reports whether continueField can be added to a request body: it must be a JSON object that
// does not contain the field.
func canAddContinueField(body []byte) bool {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return false
	}
	return !bytes.Contains(body, []byte(continueField))
}

// addContinueField adds continueField, with the number of tokens already received, to a request body.
func addContinueField(body []byte, tokens int) []byte {
	open := bytes.IndexByte(body, '{') + 1
	rest := bytes.TrimLeft(body[open:], " \t\r\n")
	continued := make([]byte, 0, len(body)+len(continueField)+16)
	continued = append(continued, '{')
	continued = append(continued, continueField...)
	continued = append(continued, ':')
	continued = strconv.AppendInt(continued, int64(tokens), 10)
	if len(rest) > 0 && rest[0] != '}' {
		continued = append(continued, ',')
	}
	return append(continued, rest...)
}
