package berylgate

import (
	"bytes"
	"encoding/json"
)

const jsonSpace = " \t\r\n"

// walkObject calls visit with each key and raw value of a JSON object until visit returns false.
// The object must be valid JSON. Keys are unescaped; both slices point into the object, except for keys with escapes.
func walkObject(object []byte, visit func(key, value []byte) bool) {
	rest := skipSpace(object[1:])
	for rest[0] == '"' {
		size := valueLength(rest)
		key := unescape(rest[:size])
		rest = skipSpace(rest[size:])
		rest = skipSpace(rest[1:]) // rest[1:] leaves out the colon after the key
		size = valueLength(rest)
		if !visit(key, rest[:size:size]) {
			return
		}
		rest = skipSpace(rest[size:])
		if rest[0] != ',' {
			return
		}
		rest = skipSpace(rest[1:])
	}
}

// unescape returns the text of a quoted JSON string.
func unescape(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	if json.Unmarshal(quoted, &text) != nil {
		return nil
	}
	return []byte(text)
}

// valueLength returns the length in bytes of the JSON value that the valid JSON text starts with.
func valueLength(text []byte) int {
	switch text[0] {
	case '"':
		return stringLength(text)
	case '{', '[':
		return nestedLength(text)
	default:
		if end := bytes.IndexAny(text, ",}] \t\r\n"); end >= 0 {
			return end
		}
		return len(text)
	}
}

func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func nestedLength(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringLength(text[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

func skipSpace(text []byte) []byte {
	return bytes.TrimLeft(text, jsonSpace)
}
