package berylload

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Target holds the addresses to which requests go, and the key and model that they use.
type Target struct {
	// Addresses holds the base URLs of the hosts, used in turn.
	Addresses []string
	// Key is the caller's API key.
	Key string
	// Model is the name of the requested model.
	Model string
}

// requestResult is the outcome of one request.
type requestResult uint8

const (
	// complete means that the stream ended with [DONE].
	complete requestResult = iota
	// refused means that the request was answered with a status other than 200.
	refused
	// broken means that the connection failed or the stream ended without [DONE].
	broken
)

// sample is the measurement of one request.
type sample struct {
	result requestResult
	// firstToken is the time from the intended start to the first token.
	firstToken time.Duration
	// total is the time from the intended start to the end of the answer.
	total time.Duration
}

// errTruncated is returned for a stream that ended without [DONE].
var errTruncated = errors.New("the stream ended early")

// send makes the nth request of a stream and measures it from its intended start.
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

// readStream reads server-sent events until [DONE] and returns the time from the intended start to the first event.
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
