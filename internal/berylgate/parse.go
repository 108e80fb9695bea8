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
	// prefixBytes is how much of the prompt the affinity hash covers.
	prefixBytes = 1024
	// defaultTokens is the estimated answer length of a request that names none, in tokens.
	defaultTokens = 256

	maxModelLength = 256
	maxTokensLimit = 1 << 24
)

// modelCall is what the gate needs to know of a model request's body.
type modelCall struct {
	model  string
	stream bool
	tokens int
	prefix uint64
}

// fields holds the raw JSON values of the body's keys that the gate reads; nil means absent.
type fields struct {
	model               []byte
	stream              []byte
	maxTokens           []byte
	maxCompletionTokens []byte
	messages            []byte
	prompt              []byte
}

// parseModelCall reads a body of the route whose prompt stands in promptField, "messages" or "prompt".
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

// readFields checks that the body is one JSON object and finds the values the gate reads.
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
		slot := f.slot(key)
		if slot == nil {
			return true
		}
		if *slot != nil {
			refusal = badRequest(string(key), fmt.Sprintf("%q stands twice in the body; send it once.", key))
			return false
		}
		*slot = value
		return true
	})
	return f, refusal
}

// slot returns where the value of a key belongs, or nil for a key that the gate does not read.
func (f *fields) slot(key []byte) *[]byte {
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

// malformed names the place where the body stops being JSON.
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

// parseTokens returns the longest answer that the body allows; max_completion_tokens goes before its older name.
func parseTokens(f fields) (int, *beryloutcome.Refusal) {
	older, refusal := parseCount("max_tokens", f.maxTokens, defaultTokens)
	if refusal != nil {
		return 0, refusal
	}
	return parseCount("max_completion_tokens", f.maxCompletionTokens, older)
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

// parsePrompt returns the raw prompt, which is hashed and not read.
func parsePrompt(f fields, name string) ([]byte, *beryloutcome.Refusal) {
	if name == "messages" {
		return checkPrompt(f.messages, name, "[", "an array of messages")
	}
	return checkPrompt(f.prompt, name, `"[`, "a string or an array")
}

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
