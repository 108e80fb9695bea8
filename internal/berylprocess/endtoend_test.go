package berylprocess

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/pkg/berylapi"
)

// TestEndToEnd checks online requests and a batch job with two hosts, two engines and the platform, each a separate process.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, slots: 4, engineFlags: []string{"--token-time", "1ms", "--prefill-time", "5ms"}})
	for _, h := range f.hosts {
		for _, stream := range []bool{false, true} {
			text := fmt.Sprintf("note for %s, stream %t", h.name, stream)
			r := f.chat(h, text, 12, stream)
			is.True(r.isComplete(chatBody(text, 12, stream), stream)) // the answer is complete and belongs to this request
		}
	}
	id := f.submit(f.hosts[0], 3, 4)
	read := f.client(f.hosts[1])
	var batch *berylapi.Batch
	f.eventually("the job is completed", func() bool {
		var err error
		batch, err = read.Batch(t.Context(), id)
		return err == nil && batch.Status == "completed"
	})
	is.Equal(batch.RequestCounts.Completed, 3)
	results, err := read.Content(t.Context(), batch.OutputFileID)
	is.NoErr(err)
	is.Equal(strings.Count(string(results), `"usage":{"prompt_tokens":`), 3) // usage is recorded even if the engine streamed the answer of an item
	for i := range 3 {
		is.Equal(strings.Count(string(results), fmt.Sprintf(`"custom_id":"item-%d"`, i)), 1) // each item appears exactly once
	}
}
