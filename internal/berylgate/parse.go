package berylgate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// prefixBytes is how much of the prompt the prefix hash covers, in bytes. Requests with the same hash are preferably sent
	// to the same upstream.
	prefixBytes = 1024
	// defaultTokens is the estimated answer length, in tokens, of a request that sets no maximum.
	defaultTokens = 256

	maxModelLength = 256
	maxTokensLimit = 1 << 24
)

// modelCall holds what the gate reads from the body of a model request.
type modelCall struct {
	model  string
	stream bool
	// tokens is the length of the longest answer that the body allows, or defaultTokens if it sets no maximum.
	tokens int
	// prefix is the hash of the first prefixBytes of the prompt.
	prefix uint64
}

// fields holds the raw JSON values of the body's keys that the gate reads; a value is nil if its key is absent.
type fields struct {
	model               []byte
	stream              []byte
	maxTokens           []byte
	maxCompletionTokens []byte
	messages            []byte
	prompt              []byte
}

// parseModelCall parses the body of a model request. Its prompt is in the field promptField, "messages" or "prompt".
func parseModelCall(body []byte, promptField string) (modelCall, *beryloutcome.Refusal) {
	var call modelCall
	f, refusal := readFields(body)
	if refusal != nil {
		return call, refusal
	}
	if call.model, refusal = parseModel(f.model); refusal != nil {
		return call, refusal
	}
	if call.stream, refusal = parseStream(f.stream); refusal != nil {
		return call, refusal
	}
	if call.tokens, refusal = parseTokens(f); refusal != nil {
		return call, refusal
	}
	prompt, refusal := parsePrompt(f, promptField)
	if refusal != nil {
		return call, refusal
	}
	call.prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return call, nil
}

// readFields checks that the body is one JSON object and returns the values that the gate reads. It refuses a body that
// has one of these keys twice, since the upstream might read the other value.
func readFields(body []byte) (fields, *beryloutcome.Refusal) {
	var f fields
	trimmed := bytes.TrimLeft(body, jsonSpace)
	if len(trimmed) == 0 {
		return f, badRequest("body", "The body is empty; send a JSON object.")
	}
	if !json.Valid(body) {
		return f, malformed(body)
	}
	if trimmed[0] != '{' {
		return f, badRequest("body", "The body must be a JSON object.")
	}
	var refusal *beryloutcome.Refusal
	walkObject(trimmed, func(key, value []byte) bool {
		field := f.field(key)
		if field == nil {
			return true
		}
		if *field != nil {
			refusal = badRequest(string(key), fmt.Sprintf("%q stands twice in the body; send it once.", key))
			return false
		}
		*field = value
		return true
	})
	return f, refusal
}

// field returns a pointer to the field that holds the value of a key, or nil if the gate does not read that key.
func (f *fields) field(key []byte) *[]byte {
	switch string(key) {
	case "model":
		return &f.model
	case "stream":
		return &f.stream
	case "max_tokens":
		return &f.maxTokens
	case "max_completion_tokens":
		return &f.maxCompletionTokens
	case "messages":
		return &f.messages
	case "prompt":
		return &f.prompt
	default:
		return nil
	}
}

// malformed returns the refusal of a body that is not valid JSON; it names the byte at which the error is.
func malformed(body []byte) *beryloutcome.Refusal {
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if err := json.Unmarshal(body, &raw); errors.As(err, &syntax) {
		return badRequest("body", fmt.Sprintf("The body is not valid JSON at byte %d: %s.", syntax.Offset, syntax.Error()))
	}
	return badRequest("body", "The body is not valid JSON.")
}

func parseModel(value []byte) (string, *beryloutcome.Refusal) {
	if isAbsent(value) {
		return "", badRequest("model", `"model" is missing; name one that GET /v1/models lists.`)
	}
	var model string
	if json.Unmarshal(value, &model) != nil || model == "" || len(model) > maxModelLength {
		return "", badRequest("model", fmt.Sprintf(`"model" must be a string of 1 to %d bytes.`, maxModelLength))
	}
	return model, nil
}

func parseStream(value []byte) (bool, *beryloutcome.Refusal) {
	if isAbsent(value) {
		return false, nil
	}
	switch string(value) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, badRequest("stream", `"stream" must be true or false.`)
	}
}

// parseTokens returns the longest answer that the body allows, in tokens, or defaultTokens if it sets no maximum.
// max_completion_tokens takes precedence over its older name max_tokens.
func parseTokens(f fields) (int, *beryloutcome.Refusal) {
	maxTokens, refusal := parseCount("max_tokens", f.maxTokens, defaultTokens)
	if refusal != nil {
		return 0, refusal
	}
	return parseCount("max_completion_tokens", f.maxCompletionTokens, maxTokens)
}

func parseCount(name string, value []byte, absent int) (int, *beryloutcome.Refusal) {
	if isAbsent(value) {
		return absent, nil
	}
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxTokensLimit {
		return 0, badRequest(name, fmt.Sprintf("%q must be a whole number from 0 to %d.", name, maxTokensLimit))
	}
	return n, nil
}

// parsePrompt returns the prompt's raw JSON, which the gate hashes but does not parse.
func parsePrompt(f fields, name string) ([]byte, *beryloutcome.Refusal) {
	if name == "messages" {
		return checkPrompt(f.messages, name, "[", "an array of messages")
	}
	return checkPrompt(f.prompt, name, `"[`, "a string or an array")
}

// checkPrompt returns the value of the prompt field if its first byte is one of openings and it is no empty array. The
// refusal says that the field must be kind.
func checkPrompt(value []byte, name, openings, kind string) ([]byte, *beryloutcome.Refusal) {
	if isAbsent(value) {
		return nil, badRequest(name, fmt.Sprintf("%q is missing; send %s.", name, kind))
	}
	if bytes.IndexByte([]byte(openings), value[0]) < 0 {
		return nil, badRequest(name, fmt.Sprintf("%q must be %s.", name, kind))
	}
	if value[0] == '[' && len(bytes.Trim(value[1:len(value)-1], jsonSpace)) == 0 {
		return nil, badRequest(name, fmt.Sprintf("%q is empty; send at least one element.", name))
	}
	return value, nil
}

func isAbsent(value []byte) bool {
	return value == nil || string(value) == "null"
}
