package berylsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// fakePaths is a host that reaches upstreams or not.
type fakePaths bool

func (p fakePaths) BlamesUpstream(string) bool { return bool(p) }
func (p fakePaths) IsReachable() bool          { return bool(p) }

// Guards against upstreams being ejected for faults or slowness because of calls of a host that reaches none.
func TestEvidenceOfCalls(t *testing.T) {
	fault := berylpermit.Report{Kind: beryloutcome.Unknown, Fault: true}
	hung := berylpermit.Report{Kind: beryloutcome.Cancelled, TimeToFirstToken: time.Millisecond, InterTokenLatency: time.Second}
	answered := berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: time.Millisecond}
	refused := berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true}
	for _, tt := range []struct {
		name   string
		paths  Paths
		report berylpermit.Report
		want   bool
	}{
		{"fault of a host that reaches upstreams", fakePaths(true), fault, true},
		{"fault of a host that does not", fakePaths(false), fault, false},
		{"call that hung at a host that reaches upstreams", fakePaths(true), hung, true},
		{"call that hung at a host that does not", fakePaths(false), hung, false},
		{"answer", fakePaths(false), answered, true},
		{"refusal", fakePaths(false), refused, true},
		{"fault without paths", nil, fault, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(New(Settings{Host: "h", Paths: tt.paths}).isEvidence("u", &tt.report), tt.want)
		})
	}
}
