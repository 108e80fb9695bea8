package beryljob

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// scriptedCalls answers each call as its next step says and records the requests.
type scriptedCalls struct {
	steps    []step
	requests []berylcall.Request
}

// step writes events to the call's sink, after a restart if restart is set, and ends the call with end.
type step struct {
	contentType string
	events      []string
	restart     bool
	end         beryloutcome.Result
}

func (s *scriptedCalls) Do(_ context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	step := s.steps[len(s.requests)]
	s.requests = append(s.requests, request)
	if step.restart {
		_ = sink.(berylcall.Restarter).Restart()
	}
	if request.ContinueFrom == 0 || step.restart {
		_ = sink.Start(200, step.contentType)
	}
	for _, event := range step.events {
		if err := sink.Write([]byte(event)); err != nil {
			return beryloutcome.Result{Kind: beryloutcome.Cancelled}
		}
	}
	return step.end
}

func chatEvent(content, finish string) string {
	reason := "null"
	if finish != "" {
		reason = fmt.Sprintf("%q", finish)
	}
	return fmt.Sprintf(`data: {"id":"c1","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`+"\n\n", content, reason)
}

var (
	yielded  = beryloutcome.Result{Kind: beryloutcome.Yielded}
	answered = beryloutcome.Result{Kind: beryloutcome.Answered}
	failed   = beryloutcome.Result{Kind: beryloutcome.Failed, Refusal: &beryloutcome.Refusal{Code: beryloutcome.CodeUpstream, Message: "cut"}}
)

const doneEvent = "data: [DONE]\n\n"

func TestRunItem(t *testing.T) {
	const (
		plainBody = `{"model":"m","messages":[]}`
		toolsBody = `{"model":"m","messages":[],"tools":[]}`
		plainText = `{"id":"p","choices":[]}`
	)
	for _, test := range []struct {
		name      string
		body      string
		steps     []step
		continued []int
		want      string
	}{
		{
			"a stream becomes a plain answer", plainBody,
			[]step{{eventStream, []string{chatEvent("Two ", ""), chatEvent("ribs", "stop"), `data: {"id":"c1","object":"chat.completion.chunk","choices":[],"usage":{"total_tokens":9}}` + "\n\n", doneEvent}, false, answered}},
			[]int{0},
			`{"id":"c1","object":"chat.completion","created":5,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"Two ribs"},"finish_reason":"stop"}],"usage":{"total_tokens":9}}`,
		},
		{
			"after a yield the stream resumes after the events received", plainBody,
			[]step{{eventStream, []string{chatEvent("a", ""), chatEvent("b", "")}, false, yielded}, {eventStream, []string{chatEvent("c", "stop"), doneEvent}, false, answered}},
			[]int{0, 2}, `"content":"abc"`,
		},
		{
			"an upstream that cannot resume starts over", plainBody,
			[]step{{eventStream, []string{chatEvent("a", "")}, false, yielded}, {eventStream, []string{chatEvent("x", "stop"), doneEvent}, true, answered}},
			[]int{0, 1}, `"content":"x"`,
		},
		{
			"the events of a failed attempt are discarded", plainBody,
			[]step{{eventStream, []string{chatEvent("a", "")}, false, failed}, {eventStream, []string{chatEvent("y", "stop"), doneEvent}, false, answered}},
			[]int{0, 0}, `"content":"y"`,
		},
		{
			"a stream that can't be assembled is requested as a plain answer", plainBody,
			[]step{{eventStream, []string{"data: {\"surprise\":1}\n\n"}, false, answered}, {"application/json", []string{plainText}, false, answered}},
			[]int{0, 0}, plainText,
		},
		{
			"a body with other keys is requested as a plain answer", toolsBody,
			[]step{{"application/json", []string{plainText}, false, answered}},
			[]int{0}, plainText,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := &scriptedCalls{steps: test.steps}
				m := &Manager{Config: Config{Calls: calls}}
				result, ended := m.runItem(t.Context(), "job", 3, &Item{URL: endpoints[0], Method: "POST", Body: json.RawMessage(test.body)})
				is.True(ended)
				is.Equal(result.Status, 200)
				is.Equal(result.Item, 3)
				is.True(strings.Contains(string(result.Body), test.want))
				var continued []int
				for _, r := range calls.requests {
					continued = append(continued, r.ContinueFrom)
				}
				is.Equal(continued, test.continued)
			})
		})
	}
}

func TestItemThatCanNeverBeDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := &scriptedCalls{}
		for range maxItemAttempts {
			calls.steps = append(calls.steps, step{end: failed})
		}
		m := &Manager{Config: Config{Calls: calls}}
		result, ended := m.runItem(t.Context(), "job", 0, &Item{Body: json.RawMessage(`{"model":"m"}`)})
		is.True(ended)
		is.Equal(result.Code, "upstream-failed")
		is.Equal(result.Message, "cut")
		is.Equal(len(calls.requests), maxItemAttempts)
	})
}
