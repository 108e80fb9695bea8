package berylprocess

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestWholePath is the thin whole path: two hosts, two engines, one platform, each a process.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, plan{hosts: 2, engines: 2, slots: 4, engineFlags: []string{"--token-time", "1ms", "--prefill-time", "5ms"}})
	for _, h := range f.hosts {
		for _, stream := range []bool{false, true} {
			text := fmt.Sprintf("note for %s, stream %t", h.name, stream)
			r := f.chat(h, text, 12, stream)
			is.True(r.whole(chatBody(text, 12, stream), stream)) // the answer must be whole and its own
		}
	}
	var items strings.Builder
	for i := range 3 {
		fmt.Fprintf(&items, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, chatBody(fmt.Sprint("part ", i), 4, false))
	}
	submit, read := f.client(f.hosts[0]), f.client(f.hosts[1])
	file, err := submit.Upload(t.Context(), "one", "items.jsonl", []byte(items.String()))
	is.NoErr(err)
	batch, err := submit.Submit(t.Context(), "one", "/v1/chat/completions", file.ID)
	is.NoErr(err)
	f.eventually("the job is completed", func() bool {
		batch, err = read.Batch(t.Context(), batch.ID)
		return err == nil && batch.Status == "completed"
	})
	is.Equal(batch.RequestCounts.Completed, 3)
	results, err := read.Content(t.Context(), batch.OutputFileID)
	is.NoErr(err)
	for i := range 3 {
		is.Equal(strings.Count(string(results), fmt.Sprintf(`"custom_id":"item-%d"`, i)), 1) // each item once
	}
}
