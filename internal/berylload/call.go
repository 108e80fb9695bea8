package berylload

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Target is where requests go, and as whom.
type Target struct {
	// Addresses are base URLs of hosts, used in turn.
	Addresses []string
	// Key is the caller's API key.
	Key string
	// Model is the model to ask for.
	Model string
}

// requestResult says what came of one request.
type requestResult uint8

const (
	// complete means that the stream ended with its closing event.
	complete requestResult = iota
	// refused means that the request was answered with an error status.
	refused
	// broken means that the connection or the stream ended early.
	broken
)

// sample is what one request has shown.
type sample struct {
	result requestResult
	// firstToken is the time from the intended start to the firstToken token.
	firstToken time.Duration
	// total is the time from the intended start to the end.
	total time.Duration
}

// errTruncated says that a stream ended without its closing event.
var errTruncated = errors.New("the stream ended early")

// send makes one streamed request and times it from its intended start.
func (t *Target) send(client *fasthttp.Client, n int, text string, tokens int, intended time.Time) sample {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	response.StreamBody = true
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(t.Addresses[n%len(t.Addresses)] + "/v1/chat/completions")
	request.Header.Set("Authorization", "Bearer "+t.Key)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(chatBody(t.Model, text, tokens, true))
	if err := client.Do(request, response); err != nil {
		return sample{result: broken, total: time.Since(intended)}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return sample{result: refused, total: time.Since(intended)}
	}
	first, err := readStream(response, intended)
	_ = response.CloseBodyStream()
	s := sample{firstToken: first, total: time.Since(intended)}
	if err != nil {
		s.result = broken
	}
	return s
}

func chatBody(model, text string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, tokens, stream, text)
}

// readStream reads server-sent events to the closing one and returns when the first came.
func readStream(response *fasthttp.Response, intended time.Time) (time.Duration, error) {
	var first time.Duration
	lines := bufio.NewScanner(response.BodyStream())
	for lines.Scan() {
		event, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if first == 0 {
			first = time.Since(intended)
		}
		if bytes.Equal(event, []byte("[DONE]")) {
			return first, nil
		}
	}
	return first, errTruncated
}
