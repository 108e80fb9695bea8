package berylbatch

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against callers of one account reading or cancelling the jobs of another.
func TestVisibilityOfJobs(t *testing.T) {
	for _, tc := range []struct {
		name, owner, reader string
		visible             bool
	}{
		{"own job", "a", "a", true},
		{"job of another account", "a", "b", false},
		{"job accepted before there were accounts", "", "b", true},
		{"deployment without accounts", "", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := &Manager{Config: Config{Log: discardLog()}, jobs: map[string]*job{
				"j": {id: "j", record: Record{Account: tc.owner, Total: 1, Cancelled: true}, changed: make(chan struct{})},
			}}
			_, _, refusal := m.lookUp(t.Context(), tc.reader, "j")
			is.Equal(refusal == nil, tc.visible)
			if refusal != nil {
				is.Equal(refusal.Status, http.StatusNotFound)
			}
		})
	}
}
