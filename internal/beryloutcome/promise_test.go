package beryloutcome_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// TestMayPassStatus guards against statuses that make callers send a request again that may have run and must not be repeated.
func TestMayPassStatus(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			is.Equal(beryloutcome.PromisesNotRun(status), promises[status])
			is.Equal(beryloutcome.MayPassStatus(status, false, false), !promises[status] || status == 421)
			is.True(beryloutcome.MayPassStatus(status, false, true))
			is.True(beryloutcome.MayPassStatus(status, true, false))
		})
	}
}

// TestRefusalsAreTruthful guards against refusals of a host whose status says that a request has not run that may have.
func TestRefusalsAreTruthful(t *testing.T) {
	for _, tt := range []struct {
		status int
		code   beryloutcome.Code
		want   int
	}{
		{503, beryloutcome.CodeNotRun, 503},
		{429, beryloutcome.CodeOverLimit, 429},
		{408, beryloutcome.CodeNotRun, 408},
		{503, beryloutcome.CodeUnknown, 502},
		{429, beryloutcome.CodeUnknown, 502},
		{408, beryloutcome.CodeCancelled, 502},
		{503, beryloutcome.CodeUpstream, 502},
		{504, beryloutcome.CodeUnknown, 504},
		{502, beryloutcome.CodeUpstream, 502},
		{404, beryloutcome.CodeNotFound, 404},
	} {
		t.Run(fmt.Sprintf("%d %s", tt.status, tt.code), func(t *testing.T) {
			is := is.New(t)
			r := beryloutcome.Refusal{Status: tt.status, Code: tt.code, Message: "m"}
			is.Equal(r.Truthful().Status, tt.want)
			is.Equal(r.Truthful().Code, tt.code)
			is.Equal(r.Status, tt.status) // the refusal itself is not changed
		})
	}
}
