package berylexplain_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylexplain"
)

// Guards against an operator who can't tell for which account a request ran, or why a host took its key for unknown.
func TestExplainNamesAccountFaultAndConfiguration(t *testing.T) {
	is := is.New(t)
	log := `{"host":"h1","level":"info","msg":"config: installed","version":7,"accounts":86,"time":"2026-03-05T22:29:32.000Z"}
{"host":"h1","level":"info","msg":"request: refused","request":"q1","status":401,"key":"unknown","config-version":7,"time":"2026-03-05T22:29:33.000Z"}
{"host":"h2","level":"info","msg":"request: ended","request":"q1","account":"acme","time":"2026-03-05T22:29:34.000Z"}`
	lines, _, err := berylexplain.Read(strings.NewReader(log), "q1")
	is.NoErr(err)
	steps := berylexplain.Explain(lines, "q1")
	is.Equal(len(steps), 2)
	refused, ended := steps[0].Text(), steps[1].Text()
	for _, want := range []string{"key=unknown", "status=401", "config-version=7", "config: installed, 1s before accounts=86 version=7"} {
		is.True(strings.Contains(refused, want))
	}
	is.True(strings.Contains(ended, "account=acme"))
}
