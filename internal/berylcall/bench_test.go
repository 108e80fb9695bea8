package berylcall_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const benchEvents = 1000

// streamServer answers every request with benchEvents events, each written to the socket on its own.
func streamServer(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	chunk, last := benchChunks()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveStreams(c, chunk, last)
		}
	}()
	return "http://" + l.Addr().String()
}

func benchChunks() (chunk, last []byte) {
	const event = `data: {"id":"chatcmpl-bench","object":"chat.completion.chunk","created":0,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	chunk = fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
	last = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(done), done)
	return chunk, last
}

func serveStreams(c net.Conn, chunk, last []byte) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		request.Body.Close()
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for range benchEvents {
			c.Write(chunk)
		}
		c.Write(last)
	}
}

const (
	benchStreams = 200
	benchRounds  = 100
)

// roundServer waits for benchStreams requests and then writes one event to each stream in turn, so that a reader
// finds one event each time it wakes.
func roundServer(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, benchStreams)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	go func() {
		for {
			serveRounds(conns)
		}
	}()
	return "http://" + l.Addr().String()
}

func serveRounds(conns <-chan net.Conn) {
	chunk, last := benchChunks()
	var streams []net.Conn
	for range benchStreams {
		c := <-conns
		c.Read(make([]byte, 4096))
		c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		streams = append(streams, c)
	}
	for range benchRounds {
		for _, c := range streams {
			c.Write(chunk)
		}
		time.Sleep(time.Millisecond)
	}
	for _, c := range streams {
		c.Write(last)
		c.Close()
	}
}

// BenchmarkParallelStreams measures the processor time per event, including the upstream's, of 200 streams that get
// their events one at a time.
func BenchmarkParallelStreams(b *testing.B) {
	runner := newTestRunner(b)
	runner.add("a", roundServer(b), false)
	used := processorTime(b)
	events := 0
	for b.Loop() {
		var group sync.WaitGroup
		for i := range benchStreams {
			group.Go(func() {
				result := runner.Do(context.Background(), chatRequest(fmt.Sprintf("bench-%d", i), true, benchRounds), discardSink{})
				if result.Kind != beryloutcome.Answered {
					b.Error(result.Refusal)
				}
			})
		}
		group.Wait()
		events += benchStreams * benchRounds
	}
	used = processorTime(b) - used
	b.ReportMetric(float64(events)/used.Seconds(), "events/cpu-s")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

type discardSink struct{}

func (discardSink) Start(int, string) error { return nil }

func (discardSink) Write([]byte) error { return nil }

// BenchmarkStreamEvents measures how many events per second pass from an upstream's socket to a sink. Run it with
// -cpu 1 for one core, which then also runs the upstream's writes.
func BenchmarkStreamEvents(b *testing.B) {
	runner := newTestRunner(b)
	runner.add("a", streamServer(b), false)
	req := chatRequest("bench", true, benchEvents)
	b.ReportAllocs()
	events := 0
	for b.Loop() {
		result := runner.Do(context.Background(), req, discardSink{})
		if result.Kind != beryloutcome.Answered {
			b.Fatal(result.Refusal)
		}
		events += result.Tokens
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkShortCall measures one non-streaming call on a kept connection, including the upstream's work.
func BenchmarkShortCall(b *testing.B) {
	runner := newTestRunner(b)
	runner.add("a", plainServer(b), false)
	req := chatRequest("bench", false, 1)
	b.ReportAllocs()
	for b.Loop() {
		result := runner.Do(context.Background(), req, discardSink{})
		if result.Kind != beryloutcome.Answered {
			b.Fatal(result.Refusal)
		}
	}
}

func plainServer(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePlain(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func servePlain(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		request.Body.Close()
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

// BenchmarkBreaks measures how soon an interrupted stream goes on or ends. The time runs from the last event before the
// interruption: until the next event arrives from another engine after a lost connection, or until the engine has
// stopped a call that was cancelled or yielded.
func BenchmarkBreaks(b *testing.B) {
	for _, name := range []string{"resume", "cancel", "yield"} {
		b.Run(name, func(b *testing.B) {
			runner := newTestRunner(b)
			a := runner.engine(b, "a", berylfake.EngineOptions{Resume: true})
			runner.engine(b, "b", berylfake.EngineOptions{Resume: true})
			fault := berylfake.UpstreamFault{Mode: berylfake.FaultStall, AfterTokens: 5, Duration: berylconf.Duration(time.Minute)}
			if name == "resume" {
				fault.Mode = berylfake.FaultCut
			}
			if err := a.SetFault(fault); err != nil {
				b.Fatal(err)
			}
			times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				times.RecordValue(runBreak(runner, name, a).Microseconds())
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

func runBreak(runner *testRunner, name string, engine *berylfake.Engine) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runner.broker.yield = make(chan struct{})
	req := chatRequest("break", true, 20)
	var broken, next time.Time
	s := &sink{onEvent: func(events int) {
		if events == 6 {
			next = time.Now()
		}
		if events != 5 {
			return
		}
		broken = time.Now()
		switch name {
		case "cancel":
			cancel()
		case "yield":
			close(runner.broker.yield)
		}
	}}
	if name == "yield" {
		req.Class = berylpermit.Batch
	}
	runner.Do(ctx, req, s)
	if name == "resume" {
		return next.Sub(broken)
	}
	for engine.Counts().Running > 0 {
		time.Sleep(20 * time.Microsecond)
	}
	return time.Since(broken)
}
