package berylcall_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
)

func TestAnswers(t *testing.T) {
	for _, stream := range []bool{false, true} {
		f := newFleet(t)
		f.engine(t, "a", berylfake.EngineOptions{})
		is := is.New(t)
		req := chat("one", stream, 40)
		s := &sink{}
		result := f.Do(context.Background(), req, s)
		is.Equal(result.Kind, beryloutcome.Answered)
		is.Equal(result.Upstream, "a")
		wantWhole(is, req, s)
		held, reports := f.broker.snapshot()
		is.Equal(held, 0)
		is.Equal(reports["a"][0].Kind, beryloutcome.Answered)
	}
}
