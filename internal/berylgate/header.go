package berylgate

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	headerTimeout   = "Berylroad-Timeout"
	headerClass     = "Berylroad-Class"
	headerRepeat    = "Berylroad-Repeat"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
	// headerFleetRequestID carries the id that the gate assigned to the request, also if X-Request-Id echoes the caller's.
	headerFleetRequestID = "Berylroad-Request-Id"

	repeatNever = "never"

	maxKeyLength       = 200
	maxRequestIDLength = 128
)

// requestOptions holds what a request's headers ask for.
type requestOptions struct {
	deadline time.Time
	class    berylpermit.Class
	// idempotencyKey is empty if the request has none.
	idempotencyKey string
	// neverRepeat is set if the request must run at most once.
	neverRepeat bool
}

// readOptions reads the request headers that berylroad defines. The refusal of an invalid value names the header.
func readOptions(h *fasthttp.RequestHeader, rules *berylconf.Rules, now time.Time) (requestOptions, *beryloutcome.Refusal) {
	var options requestOptions
	timeout, refusal := readTimeout(h.Peek(headerTimeout), rules)
	if refusal != nil {
		return options, refusal
	}
	options.deadline = now.Add(timeout)
	options.class, refusal = readClass(h.Peek(headerClass))
	if refusal != nil {
		return options, refusal
	}
	options.idempotencyKey, refusal = readKey(h.Peek(headerKey))
	if refusal != nil {
		return options, refusal
	}
	options.neverRepeat, refusal = readRepeat(h.Peek(headerRepeat))
	if refusal != nil {
		return options, refusal
	}
	if options.neverRepeat && options.idempotencyKey == "" {
		return options, missingKey()
	}
	return options, nil
}

func readTimeout(value []byte, rules *berylconf.Rules) (time.Duration, *beryloutcome.Refusal) {
	if len(value) == 0 {
		return rules.DefaultTimeout.Std(), nil
	}
	seconds, err := strconv.ParseFloat(string(value), 64)
	longest := rules.MaxTimeout.Std().Seconds()
	if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > longest {
		return 0, badRequest(headerTimeout, fmt.Sprintf(
			"%s must be a number of seconds above 0 and at most %g, such as 2.5.", headerTimeout, longest))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func readClass(value []byte) (berylpermit.Class, *beryloutcome.Refusal) {
	switch string(value) {
	case "", berylpermit.Online.String():
		return berylpermit.Online, nil
	case berylpermit.Batch.String():
		return berylpermit.Batch, nil
	default:
		return 0, badRequest(headerClass, headerClass+` must be "online" or "batch"; leave it out for "online".`)
	}
}

func readKey(value []byte) (string, *beryloutcome.Refusal) {
	if len(value) > maxKeyLength || !isPrintable(value) {
		return "", badRequest(headerKey, fmt.Sprintf(
			"%s must be 1 to %d printable ASCII characters without spaces.", headerKey, maxKeyLength))
	}
	return string(value), nil
}

func readRepeat(value []byte) (bool, *beryloutcome.Refusal) {
	switch string(value) {
	case "":
		return false, nil
	case repeatNever:
		return true, nil
	default:
		return false, badRequest(headerRepeat, headerRepeat+` must be "never"; leave it out for a request that may run again.`)
	}
}

// missingKey returns the refusal of a request that must run at most once but has no idempotency key, without which a
// resend can't be recognized.
func missingKey() *beryloutcome.Refusal {
	return badRequest(headerKey, fmt.Sprintf(
		"This request runs at most once and needs an %s header; send a new unique key, and the same key when you resend.", headerKey))
}

// isPrintable reports whether all bytes are visible ASCII characters.
func isPrintable(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// callerRequestID returns a copy of the request id that the caller sent, or "" if it sent none or an invalid one.
func callerRequestID(h *fasthttp.RequestHeader) string {
	value := h.Peek(headerRequestID)
	if len(value) > maxRequestIDLength || !isPrintable(value) {
		return ""
	}
	return string(value)
}

// bearer returns the API key in the Authorization header, or nil.
func bearer(h *fasthttp.RequestHeader) []byte {
	const scheme = "bearer "
	value := h.Peek(fasthttp.HeaderAuthorization)
	if len(value) <= len(scheme) || !strings.EqualFold(string(value[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.TrimSpace(value[len(scheme):])
}
