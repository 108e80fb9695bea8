package berylgate_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	chatAnswer = `{"id":"c1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"two ribs"}}]}`
	chunkOne   = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"two "}}]}` + "\n\n"
	chunkTwo   = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"ribs"}}]}` + "\n\n"
	chunkDone  = "data: [DONE]\n\n"
)

func openaiClient(base string, options ...option.RequestOption) openai.Client {
	defaults := []option.RequestOption{option.WithBaseURL(base + "/v1/"), option.WithAPIKey(testKey)}
	return openai.NewClient(append(defaults, options...)...)
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "ribdesk-llm",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What is broken?")},
	}
}

func TestOpenAIChat(t *testing.T) {
	is := is.New(t)
	calls := answering(http.StatusOK, "application/json", chatAnswer)
	_, base := startGate(t, berylgate.Config{Calls: calls})
	client := openaiClient(base)

	completion, err := client.Chat.Completions.New(context.Background(), chatParams())

	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, "two ribs")
	request := calls.seen()[0]
	is.Equal(request.Target, "ribdesk-llm")
	is.Equal(request.Path, "/v1/chat/completions")
	is.True(request.Repeatable)
	is.True(strings.Contains(string(request.Body), "What is broken?"))
}

func TestOpenAIStream(t *testing.T) {
	is := is.New(t)
	calls := answering(http.StatusOK, "text/event-stream", chunkOne, chunkTwo, chunkDone)
	_, base := startGate(t, berylgate.Config{Calls: calls})
	client := openaiClient(base)

	text, err := readStream(client)

	is.NoErr(err)
	is.Equal(text, "two ribs")
	is.True(calls.seen()[0].Stream)
}

func TestOpenAIStreamCutMidway(t *testing.T) {
	is := is.New(t)
	calls := &fakeCalls{do: func(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		answer(sink, http.StatusOK, "text/event-stream", chunkOne)
		return beryloutcome.Result{Kind: beryloutcome.Unknown}
	}}
	_, base := startGate(t, berylgate.Config{Calls: calls})
	client := openaiClient(base)

	text, err := readStream(client)

	is.Equal(text, "two ")
	is.True(err != nil) // a truncated stream must not look complete
	is.True(strings.Contains(err.Error(), "outcome-unknown"))
}

func readStream(client openai.Client) (string, error) {
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams())
	defer stream.Close()
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	return text.String(), stream.Err()
}

func TestOpenAIModels(t *testing.T) {
	is := is.New(t)
	_, base := startGate(t, berylgate.Config{Calls: answering(http.StatusOK, "application/json")})
	client := openaiClient(base)

	page, err := client.Models.List(context.Background())
	is.NoErr(err)
	is.Equal(len(page.Data), 1)
	is.Equal(page.Data[0].ID, "ribdesk-llm")

	model, err := client.Models.Get(context.Background(), "ribdesk-llm")
	is.NoErr(err)
	is.Equal(model.ID, "ribdesk-llm")

	_, err = client.Models.Get(context.Background(), "absent")
	var apiErr *openai.Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.StatusCode, http.StatusNotFound)
	is.Equal(apiErr.Code, "not-found")
}

func TestOpenAIErrorsAndRetries(t *testing.T) {
	for _, tc := range []struct {
		name     string
		result   beryloutcome.Result
		status   int
		code     string
		attempts int64
	}{
		{
			name: "not run is retried",
			result: beryloutcome.Result{Kind: beryloutcome.NotRun, Refusal: &beryloutcome.Refusal{
				Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeNotRun, RetryAfter: time.Millisecond,
			}},
			status: http.StatusServiceUnavailable, code: "not-run", attempts: 2,
		},
		{
			name: "over limit is retried",
			result: beryloutcome.Result{Kind: beryloutcome.NotRun, Refusal: &beryloutcome.Refusal{
				Status: http.StatusTooManyRequests, Code: beryloutcome.CodeOverLimit, RetryAfter: time.Millisecond,
			}},
			status: http.StatusTooManyRequests, code: "over-limit", attempts: 2,
		},
		{
			name: "unknown outcome of a repeatable request is retried",
			result: beryloutcome.Result{Kind: beryloutcome.Unknown, Refusal: &beryloutcome.Refusal{
				Status: http.StatusGatewayTimeout, Code: beryloutcome.CodeUnknown, RetryAfter: time.Millisecond,
			}},
			status: http.StatusGatewayTimeout, code: "outcome-unknown", attempts: 2,
		},
		{
			name:   "unknown outcome is not retried",
			result: beryloutcome.Result{Kind: beryloutcome.Unknown},
			status: http.StatusGatewayTimeout, code: "outcome-unknown", attempts: 1,
		},
		{
			name:   "upstream failure is not retried",
			result: beryloutcome.Result{Kind: beryloutcome.Failed},
			status: http.StatusBadGateway, code: "upstream-failed", attempts: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int64
			calls := &fakeCalls{do: func(context.Context, berylcall.Request, berylcall.Sink) beryloutcome.Result {
				attempts.Add(1)
				return tc.result
			}}
			_, base := startGate(t, berylgate.Config{Calls: calls})
			client := openaiClient(base, option.WithMaxRetries(1))

			_, err := client.Chat.Completions.New(context.Background(), chatParams())

			var apiErr *openai.Error
			is.True(errors.As(err, &apiErr))
			is.Equal(apiErr.StatusCode, tc.status)
			is.Equal(apiErr.Code, tc.code)
			is.Equal(attempts.Load(), tc.attempts)
		})
	}
}
