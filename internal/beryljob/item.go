package beryljob

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	itemTimeout     = 10 * time.Minute
	maxItemAttempts = 5
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
	// maxAnswerBytes is the largest answer that a segment holds.
	maxAnswerBytes = 512 << 10
	// defaultItemTokens is the estimate for an item that sets no limit.
	defaultItemTokens = 512
)

// bufferedAnswer gathers a plain bufferedAnswer; it is a berylcall.Sink.
type bufferedAnswer struct {
	status int
	body   bytes.Buffer
}

// Start keeps the status.
func (a *bufferedAnswer) Start(status int, _ string) error {
	a.status = status
	return nil
}

// Write keeps the bytes and fails over the limit.
func (a *bufferedAnswer) Write(body []byte) error {
	if a.body.Len()+len(body) > maxAnswerBytes {
		return fmt.Errorf("the answer is over %d bytes", maxAnswerBytes)
	}
	a.body.Write(body)
	return nil
}

// runItem calls an upstream until the item has an end; ended is false when ctx ended first.
func (m *Manager) runItem(ctx context.Context, job string, number int, item *Item) (result Result, ended bool) {
	failures := 0
	stream := streamBody(item)
	taken := &streamAssembler{}
	for try := 0; ctx.Err() == nil; try++ {
		request := itemRequest(job, number, try, item)
		if stream != nil {
			request.Body = stream
			request.Stream = true
			request.ContinueFrom = taken.events
		}
		end := m.Calls.Do(ctx, request, taken)
		if taken.unsupported && stream != nil {
			stream = nil
			taken = &streamAssembler{}
			continue
		}
		switch end.Kind {
		case beryloutcome.Answered:
			return answeredResult(number, taken), true
		case beryloutcome.Yielded:
			pause(ctx, backoff(nil, 0))
			continue
		case beryloutcome.NotRun:
			pause(ctx, backoff(end.Refusal, 0))
			continue
		case beryloutcome.Cancelled:
			if ctx.Err() != nil {
				return Result{}, false
			}
			return Result{Item: number, Code: string(beryloutcome.CodeTooLarge), Message: fmt.Sprintf("the answer is over %d bytes", maxAnswerBytes)}, true
		}
		failures++
		if failures == maxItemAttempts {
			return failedResult(number, end), true
		}
		taken = &streamAssembler{}
		pause(ctx, backoff(end.Refusal, failures))
	}
	return Result{}, false
}

func itemRequest(job string, number, try int, item *Item) berylcall.Request {
	return berylcall.Request{
		ID:          fmt.Sprintf("%s-%d-%d", job, number, try),
		Target:      parseItemParams(item).Model,
		Method:      item.Method,
		Path:        item.URL,
		ContentType: "application/json",
		Body:        item.Body,
		Repeatable:  true,
		Class:       berylpermit.Batch,
		Deadline:    time.Now().Add(itemTimeout),
		Tokens:      parseItemParams(item).tokens(),
	}
}

// itemParams is the part of an item's body that the scheduler needs.
type itemParams struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func (h itemParams) tokens() int {
	if n := max(h.MaxTokens, h.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultItemTokens
}

func parseItemParams(item *Item) itemParams {
	var h itemParams
	_ = json.Unmarshal(item.Body, &h) // The input was checked before it was accepted.
	return h
}

func answeredResult(number int, taken *streamAssembler) Result {
	body, err := taken.plainAnswer()
	if err != nil || !json.Valid(body) {
		return Result{Item: number, Code: string(beryloutcome.CodeUpstream), Message: "the upstream's answer is not JSON"}
	}
	return Result{Item: number, Status: taken.status, Body: body}
}

func failedResult(number int, end beryloutcome.Result) Result {
	result := Result{Item: number, Code: string(beryloutcome.CodeUpstream), Message: end.Kind.String()}
	if end.Refusal != nil {
		result.Code = string(end.Refusal.Code)
		result.Message = end.Refusal.Message
	}
	return result
}

// backoff returns a jittered wait: what the refusal asks for, or twice as long after each failure.
func backoff(refusal *beryloutcome.Refusal, failures int) time.Duration {
	wait := min(minBackoff<<failures, maxBackoff)
	if refusal != nil && refusal.RetryAfter > 0 {
		wait = min(refusal.RetryAfter, maxBackoff)
	}
	return wait/2 + rand.N(wait)
}
