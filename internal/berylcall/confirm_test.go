package berylcall_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
)

func TestConfirmRefusedIsNotRun(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	service := runner.service(t, "one", berylfake.ServiceOptions{})
	req := orderRequest("stale")
	req.Confirm = func(context.Context) *beryloutcome.Refusal {
		return &beryloutcome.Refusal{Status: 503, Code: beryloutcome.CodeNotRun, Message: "the claim has lapsed", RetryAfter: time.Second}
	}
	result := runner.Do(t.Context(), req, &sink{})
	is.Equal(result.Kind, beryloutcome.NotRun)
	is.Equal(result.Refusal.Message, "the claim has lapsed")
	is.Equal(service.Counts().Started, 0) // the service has not run the request
	held, _ := runner.broker.snapshot()
	is.Equal(held, 0) // the permit is free again

	asked := 0
	req.Confirm = func(context.Context) *beryloutcome.Refusal {
		asked++
		return nil
	}
	is.Equal(runner.Do(t.Context(), req, &sink{}).Kind, beryloutcome.Answered)
	is.Equal(asked, 1)
	req.Repeatable = true
	is.Equal(runner.Do(t.Context(), req, &sink{}).Kind, beryloutcome.Answered)
	is.Equal(asked, 1) // no confirmation for a repeatable request
}
