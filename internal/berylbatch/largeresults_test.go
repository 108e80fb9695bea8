package berylbatch

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylresponse"
)

// Guards against a host that holds no results of a job answering that there are none at a position that another host has shown,
// because the results before it do not fit one answer.
func TestLargeResultsAtAHostThatHoldsNone(t *testing.T) {
	const items, itemBytes = 10, 200 << 10
	for name, ownerIsLost := range map[string]bool{"from the owner": false, "from the store": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.upstream.body = func(id string) io.Reader {
					return bytes.NewReader(fmt.Appendf(nil, "id: 1\ndata: %s%s\n\n", id, strings.Repeat("x", itemBytes)))
				}
				a, kill := cluster.startHost(ctx, "a", 1)
				b, _ := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", items)), nil)
				all := readAll(t, a, "j", items, 20*time.Second)
				is.Equal(len(all), items)
				time.Sleep(time.Second)
				if ownerIsLost {
					kill()
				}
				for _, from := range []int{items - 1, items / 2, 0, 3, items - 1} {
					page, refusal := b.Read(ctx, "", "j", from, 0)
					is.Equal(refusal, nil)
					is.True(len(page.Results) > 0) // of position from
					is.Equal(len(page.Results[0].Text) > itemBytes, true)
				}
				is.Equal(len(readAll(t, b, "j", items, time.Second)), items)
			})
		})
	}
}

// Guards against the texts of many long answers outgrowing the memory of the host: those that do not fit start over later.
func TestTextsOfItemsAreBounded(t *testing.T) {
	const items, events, eventBytes, limit = 8, 10, 12 << 10, 300 << 10
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, items)
		a, _ := cluster.startHost(ctx, "a", 1)
		largest := 0
		cluster.upstream.body = func(id string) io.Reader {
			part := func(n int) string {
				a.mu.Lock()
				defer a.mu.Unlock()
				largest = max(largest, a.heldText())
				if n > events {
					return ""
				}
				return fmt.Sprintf("id: %d\ndata: %s%s\n\n", n, id, strings.Repeat("x", eventBytes))
			}
			return &partReader{pause: 10 * time.Millisecond, part: part}
		}
		a.mu.Lock()
		a.MaxTextBytes = limit
		a.mu.Unlock()
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", items)), nil)
		results := readAll(t, a, "j", items, 60*time.Second)
		is.Equal(len(results), items)
		for _, r := range results {
			is.Equal(r.State, Completed)
			is.Equal(len(r.Text), events*(eventBytes+len(r.ID)+1)-1)
		}
		is.True(largest > limit/2)
		is.True(largest <= limit+items*berylresponse.FreeBytes)
	})
}

// partReader returns the next part after each pause, up to one that is empty.
type partReader struct {
	pause time.Duration
	part  func(n int) string
	n     int
	rest  strings.Reader
}

func (r *partReader) Read(p []byte) (int, error) {
	if r.rest.Len() == 0 {
		time.Sleep(r.pause)
		r.n++
		r.rest.Reset(r.part(r.n))
	}
	return r.rest.Read(p)
}
