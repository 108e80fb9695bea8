package berylcall_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylresponse"
)

// keepingSink keeps the whole answer.
type keepingSink struct{ sink }

func (*keepingSink) KeepsAnswer() bool { return true }

// Guards against answers that are held or kept beyond the memory that there is for them, and against blame for upstreams when it is used
// up.
func TestAnswersWithoutRoom(t *testing.T) {
	const size = 100 << 10
	text := `"` + strings.Repeat("x", size-2) + `"`
	kept, passed := &keepingSink{}, &sink{}
	for _, tt := range []struct {
		name    string
		request berylcall.Request
		sink    berylcall.Sink
		limit   int64
		want    beryloutcome.Kind
	}{
		{"an answer that is held whole", chatRequest("held", false, 1), &sink{}, 1, beryloutcome.Unknown},
		{"an answer that its sink keeps", orderRequest("kept"), &keepingSink{}, 1, beryloutcome.Unknown},
		{"an answer that its sink keeps, with room", orderRequest("kept"), kept, 3 * size, beryloutcome.Answered},
		{"an answer that is passed on as it arrives", orderRequest("passed"), passed, 1, beryloutcome.Answered},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			runner.Memory = &berylresponse.Budget{Limit: tt.limit}
			runner.add("a", rawUpstream(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n"+text+"\r\n0\r\n\r\n", false), false)
			result := runner.Do(context.Background(), tt.request, tt.sink)
			is.Equal(result.Kind, tt.want)
			is.Equal(result.Attempts, 1)
			_, reports := runner.broker.snapshot()
			is.True(!reports["a"][0].Fault)
			is.Equal(runner.Memory.Held(), int64(0))
		})
	}
	is := is.New(t)
	is.Equal(kept.body.String(), text)
	is.Equal(passed.body.String(), text)
}

// Guards against a host that keeps all that faulty upstreams send without end.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	const calls, limit, perCall = 24, 32 << 20, 1 << 20
	for name, request := range map[string]berylcall.Request{
		"held whole": chatRequest("endless", false, 1),
		"passed on":  orderRequest("endless"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var waiting sync.WaitGroup // upstreams that have sent a part
			waiting.Add(calls)
			goOn := make(chan struct{})
			runner := newTestRunner(t)
			runner.rules = berylconf.Rules{MaxAttempts: 1}
			runner.Memory = &berylresponse.Budget{Limit: limit}
			runner.add("a", serveConns(t, func(conn net.Conn) { sendPartAndWait(conn, &waiting, goOn) }), false)
			before := liveHeap()
			var done sync.WaitGroup
			for range calls {
				done.Go(func() { runner.Do(context.Background(), request, discardSink{}) })
			}
			waiting.Wait()
			held := liveHeap() - before
			close(goOn)
			done.Wait()
			t.Logf("%d calls hold %d KB", calls, held>>10)
			is.True(held <= limit+calls*perCall)
			is.Equal(runner.Memory.Held(), int64(0))
		})
	}
}

// sendPartAndWait sends a part of an answer without end until the host reads no more or 8 MB are sent. The connection is closed later.
func sendPartAndWait(conn net.Conn, waiting *sync.WaitGroup, goOn <-chan struct{}) {
	defer conn.Close()
	_, err := conn.Read(make([]byte, 4096))
	if err == nil {
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n")
	}
	part := make([]byte, 64<<10)
	for range 128 {
		if err == nil {
			_, err = conn.Write(part)
		}
	}
	waiting.Done()
	<-goOn
}

// liveHeap returns the bytes in use after a garbage collection.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ berylcall.Keeper = (*keepingSink)(nil)
