package berylbatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pacedReader is an endless body that returns the next part after each pause.
type pacedReader struct {
	ctx   context.Context
	pause time.Duration
	part  func(n int) string
	n     int
	rest  strings.Reader
}

func (r *pacedReader) Read(p []byte) (int, error) {
	if r.rest.Len() == 0 {
		select {
		case <-r.ctx.Done():
			return 0, context.Cause(r.ctx)
		case <-time.After(r.pause):
		}
		r.n++
		r.rest.Reset(r.part(r.n))
	}
	return r.rest.Read(p)
}

// An upstream may send bytes without new events, or never end its answer. Such a call must be cancelled so that the item
// is retried and completes with its second call.
func TestItemAtUpstreamThatNeverFinishes(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: j-0 %d\n\n", n, n) }
	for _, tt := range []struct {
		name  string
		pause time.Duration
		part  func(n int) string
	}{
		{"comments", time.Second, func(n int) string {
			if n <= 2 {
				return event(n)
			}
			return ": still here\n\n"
		}},
		{"repeated event", time.Second, func(n int) string { return event(min(n, 2)) }},
		{"single bytes", time.Second, func(n int) string { return "d" }},
		{"one endless event", time.Microsecond, func(n int) string { return "data: " + strings.Repeat("x", 1<<10) }},
		{"endless events", time.Millisecond, func(n int) string {
			return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 32<<10))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.upstream.firstBody = func(ctx context.Context) io.Reader {
					return &pacedReader{ctx: ctx, pause: tt.pause, part: tt.part}
				}
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
				results := readAll(t, a, "j", 1, 12*time.Second)
				is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
				is.Equal(cluster.upstream.callsOf("j-0"), 2)
			})
		})
	}
}
