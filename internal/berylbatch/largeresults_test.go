package berylbatch

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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
