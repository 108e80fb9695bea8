package beryloutcome_test

import (
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
)

func TestKindNames(t *testing.T) {
	for name, kind := range map[string]beryloutcome.Kind{
		"unset":           beryloutcome.Unset,
		"answered":        beryloutcome.Answered,
		"failed":          beryloutcome.Failed,
		"not-run":         beryloutcome.NotRun,
		"outcome-unknown": beryloutcome.Unknown,
		"cancelled":       beryloutcome.Cancelled,
		"yielded":         beryloutcome.Yielded,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(kind.String(), name)
		})
	}
}
