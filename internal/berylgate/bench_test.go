package berylgate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const benchBody = `{"model":"ribdesk-llm","max_tokens":64,"messages":[{"role":"user","content":"The fourth rib is broken."}]}`

// rawRequest returns the bytes of a chat completion request whose body begins with the given fields.
func rawRequest(fields string) string {
	body := strings.Replace(benchBody, "{", "{"+fields, 1)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
}

// BenchmarkPlain measures sequential requests on one connection. The client side allocates nothing per request, so that
// the reported allocations are the gate's.
func BenchmarkPlain(b *testing.B) {
	_, base := startGate(b, berylgate.Config{Calls: newNullCalls(chatAnswer)})
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	request := []byte(rawRequest(""))
	buffer := make([]byte, 4096)
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if n, err := conn.Read(buffer); err != nil || !strings.HasSuffix(string(buffer[:n]), chatAnswer) {
			b.Fatalf("got %q: %v", buffer[:n], err)
		}
		_ = latency.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "p99-us")
}

// newNullCalls returns calls that answer at once with the given body and record nothing.
func newNullCalls(body string) *nullCalls {
	return &nullCalls{body: []byte(body)}
}

type nullCalls struct {
	body []byte
}

func (n *nullCalls) Do(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	_ = sink.Start(http.StatusOK, "application/json")
	_ = sink.Write(n.body)
	return beryloutcome.Result{Kind: beryloutcome.Answered}
}

// BenchmarkStream measures streaming to 20 callers on one core, including the work of the callers that read.
// With paced=true each event is a write of its own, as with upstreams that are slower than the gate.
func BenchmarkStream(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%t", paced), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			const streams = 20
			each := b.N/streams + 1
			calls := &fakeCalls{do: func(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
				_ = sink.Start(http.StatusOK, eventStream)
				for range each {
					_ = sink.Write([]byte(chunkOne))
					if paced {
						runtime.Gosched()
					}
				}
				return beryloutcome.Result{Kind: beryloutcome.Answered}
			}}
			_, base := startGate(b, berylgate.Config{Calls: calls})
			done := make(chan error, streams)
			b.ReportAllocs()
			b.ResetTimer()
			for range streams {
				go func() { done <- drain(base) }()
			}
			for range streams {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(each*streams)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// drain reads one stream to its end.
func drain(base string) error {
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, rawRequest(`"stream":true,`)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
