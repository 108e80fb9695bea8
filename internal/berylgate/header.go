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
	// headerFleetRequestID carries the request's own id in the fleet, also when X-Request-Id echoes the caller's.
	headerFleetRequestID = "Berylroad-Request-Id"

	repeatNever = "never"

	maxKeyLength       = 200
	maxRequestIDLength = 128
)

// requestOptions are what a request's headers ask for.
type requestOptions struct {
	deadline       time.Time
	class          berylpermit.Class
	idempotencyKey string
	neverRepeat    bool
}

// readOptions reads the headers that berylroad defines and refuses bad values by name.
func readOptions(h *fasthttp.RequestHeader, rules *berylconf.Rules, now time.Time) (requestOptions, *beryloutcome.Refusal) {
	var t requestOptions
	timeout, refusal := readTimeout(h.Peek(headerTimeout), rules)
	if refusal != nil {
		return t, refusal
	}
	t.deadline = now.Add(timeout)
	t.class, refusal = readClass(h.Peek(headerClass))
	if refusal != nil {
		return t, refusal
	}
	t.idempotencyKey, refusal = readKey(h.Peek(headerKey))
	if refusal != nil {
		return t, refusal
	}
	t.neverRepeat, refusal = readRepeat(h.Peek(headerRepeat))
	if refusal != nil {
		return t, refusal
	}
	if t.neverRepeat && t.idempotencyKey == "" {
		return t, missingKey()
	}
	return t, nil
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

// missingKey refuses a request that must run at most once but can't be told from its resends.
func missingKey() *beryloutcome.Refusal {
	return badRequest(headerKey, fmt.Sprintf(
		"This request runs at most once and needs an %s header; send a new unique key, and the same key when you resend.", headerKey))
}

// isPrintable reports whether the bytes are visible ASCII.
func isPrintable(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// callerRequestID returns a copy of the caller's own request id, or "" when there is none to echo.
func callerRequestID(h *fasthttp.RequestHeader) string {
	value := h.Peek(headerRequestID)
	if len(value) > maxRequestIDLength || !isPrintable(value) {
		return ""
	}
	return string(value)
}

// bearer returns the API key of the Authorization header, or nil.
func bearer(h *fasthttp.RequestHeader) []byte {
	const scheme = "bearer "
	value := h.Peek(fasthttp.HeaderAuthorization)
	if len(value) <= len(scheme) || !strings.EqualFold(string(value[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.TrimSpace(value[len(scheme):])
}
