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
	// itemTimeout is the deadline of each call for an item.
	itemTimeout = 10 * time.Minute
	// maxItemAttempts is the number of failed calls after which an item ends as failed. Calls that yielded or were not run
	// do not count.
	maxItemAttempts = 5
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
	// maxAnswerBytes is the largest answer that a segment holds, in bytes.
	maxAnswerBytes = 512 << 10
	// defaultItemTokens is the estimated answer length, in tokens, of an item that sets no maximum.
	defaultItemTokens = 512
)

// bufferedAnswer is a berylcall.Sink that buffers a plain answer.
type bufferedAnswer struct {
	status int
	body   bytes.Buffer
}

// Start records the status.
func (a *bufferedAnswer) Start(status int, _ string) error {
	a.status = status
	return nil
}

// KeepsAnswer implements berylcall.Keeper.
func (a *bufferedAnswer) KeepsAnswer() bool { return true }

// Write appends to the body; it fails if the body would exceed maxAnswerBytes.
func (a *bufferedAnswer) Write(body []byte) error {
	if a.body.Len()+len(body) > maxAnswerBytes {
		return fmt.Errorf("the answer is over %d bytes", maxAnswerBytes)
	}
	a.body.Write(body)
	return nil
}

// runItem calls upstreams until the item has a result; ended is false if ctx ended first. It asks for a stream where it
// can, and for a plain answer once a stream could not be assembled.
func (m *Manager) runItem(ctx context.Context, job string, number int, item *Item) (result Result, ended bool) {
	failures := 0
	stream := streamBody(item)
	assembler := &streamAssembler{}
	version := "" // of the upstream that sent what the assembler holds
	for attempt := 0; ctx.Err() == nil; attempt++ {
		request := itemRequest(job, number, attempt, item)
		if stream != nil {
			request.Body = stream
			request.Stream = true
			request.ContinueFrom, request.ContinueVersion = assembler.events, version
		}
		outcome := m.Calls.Do(ctx, request, assembler)
		if outcome.Attempts > 0 {
			version = outcome.Version
		}
		if assembler.unsupported && stream != nil {
			stream = nil
			assembler = &streamAssembler{}
			continue
		}
		switch outcome.Kind {
		case beryloutcome.Answered:
			return answeredResult(number, assembler), true
		case beryloutcome.Yielded:
			pause(ctx, backoff(nil, 0))
			continue
		case beryloutcome.NotRun:
			pause(ctx, backoff(outcome.Refusal, 0))
			continue
		case beryloutcome.Cancelled:
			if ctx.Err() != nil {
				return Result{}, false
			}
			return Result{Item: number, Code: string(beryloutcome.CodeTooLarge), Message: fmt.Sprintf("the answer is over %d bytes", maxAnswerBytes)}, true
		}
		failures++
		if failures == maxItemAttempts {
			return failedResult(number, outcome), true
		}
		assembler = &streamAssembler{}
		pause(ctx, backoff(outcome.Refusal, failures))
	}
	return Result{}, false
}

func itemRequest(job string, number, attempt int, item *Item) berylcall.Request {
	return berylcall.Request{
		ID:          fmt.Sprintf("%s-%d-%d", job, number, attempt),
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

// itemParams holds the fields of an item's body that the scheduler needs.
type itemParams struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func (p itemParams) tokens() int {
	if n := max(p.MaxTokens, p.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultItemTokens
}

func parseItemParams(item *Item) itemParams {
	var p itemParams
	_ = json.Unmarshal(item.Body, &p) // parseInput has checked that the body is valid
	return p
}

func answeredResult(number int, assembler *streamAssembler) Result {
	body, err := assembler.plainAnswer()
	if err != nil || !json.Valid(body) {
		return Result{Item: number, Code: string(beryloutcome.CodeUpstream), Message: "the upstream's answer is not JSON"}
	}
	return Result{Item: number, Status: assembler.status, Body: body}
}

func failedResult(number int, outcome beryloutcome.Result) Result {
	result := Result{Item: number, Code: string(beryloutcome.CodeUpstream), Message: outcome.Kind.String()}
	if outcome.Refusal != nil {
		result.Code = string(outcome.Refusal.Code)
		result.Message = outcome.Refusal.Message
	}
	return result
}

// backoff returns the wait before the next call, with jitter of ±50%: the refusal's Retry-After if it has one, otherwise
// minBackoff doubled with each failure. Before jitter the wait is at most maxBackoff.
func backoff(refusal *beryloutcome.Refusal, failures int) time.Duration {
	wait := min(minBackoff<<failures, maxBackoff)
	if refusal != nil && refusal.RetryAfter > 0 {
		wait = min(refusal.RetryAfter, maxBackoff)
	}
	return wait/2 + rand.N(wait)
}
