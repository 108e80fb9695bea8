package berylentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
)

const (
	benchDomains = 5
	// benchRate is the mean number of online requests per second that each host gets. benchTime is the duration of an
	// answer, which is a stream of benchEvents events.
	benchRate   = 6.0
	benchTime   = 500 * time.Millisecond
	benchEvents = 20
	benchSpan   = 8 * time.Second
	// benchHeartbeat is the time between two updates of the announcement of an upstream that is starting.
	benchHeartbeat = 1200 * time.Millisecond
)

// benchDecoder decodes announcements that are written as JSON of berylroute.Upstream.
type benchDecoder struct{}

func (benchDecoder) IsConfig(key string) bool { return key == "op/config" }

func (benchDecoder) Config([]byte) (*berylroute.Config, error) {
	return &berylroute.Config{Version: 1, Routes: []berylroute.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: berylroute.Streaming, Timeout: 5 * time.Second, FirstEventTarget: 300 * time.Millisecond,
		Shares: []berylroute.Share{{Service: "svc", Weight: 1}},
	}}}, nil
}

func (benchDecoder) UpstreamID(key string) string { return strings.TrimPrefix(key, "servers/") }

func (benchDecoder) Upstream(_ string, value []byte) (u berylroute.Upstream, err error) {
	return u, json.Unmarshal(value, &u)
}

func (benchDecoder) Retirement(string) (string, []byte, bool) { return "", nil, false }

// benchClient answers each call with a stream of events.
type benchClient struct{}

func (benchClient) Call(ctx context.Context, _ *berylrelay.Call) (*berylrelay.Reply, error) {
	read, write := io.Pipe()
	go func() {
		defer write.Close()
		for i := range benchEvents {
			if _, err := fmt.Fprintf(write, "id: %d\ndata: w\n\n", i); err != nil {
				return
			}
			select {
			case <-time.After(benchTime / benchEvents):
			case <-ctx.Done():
				return
			}
		}
	}()
	return &berylrelay.Reply{Status: http.StatusOK, Signed: true, EventStream: true, Body: read}, nil
}

func (benchClient) HasEnded(context.Context, berylroute.Upstream) bool { return false }

func (benchClient) Dial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

func (benchClient) UsePaths(*berylpath.Paths) {}

func (benchClient) CloseStale(func(string) bool) {}
func (benchClient) Close()                       {}

type benchSink struct{}

func (benchSink) Start(int, []berylrelay.HeaderField, int) error { return nil }
func (benchSink) Write([]byte) error                             { return nil }

// benchFleet is a number of hosts in one process that share one store.
type benchFleet struct {
	store berylfake.MemoryStore
	hosts []*Host
	ended sync.WaitGroup
	// answered counts the requests that got a complete answer.
	answered atomic.Int64
}

func startBenchFleet(b testing.TB, ctx context.Context, count int, decoder Decoder) *benchFleet {
	b.Helper()
	f := &benchFleet{}
	f.store.Write("op/config", "{}")
	for i := range count / 2 {
		f.announce(i, false)
	}
	for i := range count {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		address := socket.LocalAddr().String()
		_ = socket.Close()
		h := New(Config{
			Settings: Settings{Host: fmt.Sprintf("host-%d", i), Region: "r", FailureDomain: fmt.Sprintf("z-%d", i%benchDomains), PeerAddress: address},
			Store:    &f.store, Decoder: decoder, OperatorPrefix: "op/", UpstreamPrefix: "servers/", Upstreams: benchClient{},
			Log: discardLogger(), Metrics: metrics.NewSet(),
		})
		f.hosts = append(f.hosts, h)
		f.ended.Go(func() { _ = h.Run(ctx) })
	}
	return f
}

func (f *benchFleet) announce(i int, leaving bool) {
	value, _ := json.Marshal(berylroute.Upstream{
		ID: fmt.Sprintf("u-%d", i), Service: "svc", Address: "10.0.0.1:1", FailureDomain: fmt.Sprintf("z-%d", i%benchDomains), Slots: 8, Leaving: leaving,
	})
	f.store.Write(fmt.Sprintf("servers/u-%d", i), string(value))
}

// load sends benchRate online requests per second, on average, to each host until ctx ends.
func (f *benchFleet) load(ctx context.Context) {
	for _, h := range f.hosts {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() / benchRate * float64(time.Second)))
				if !h.Serving() {
					continue
				}
				request := &berylrelay.Request{
					ID: fmt.Sprintf("%s-%d", h.Settings.Host, n), Route: &h.routes.Get().Routes[0], Deadline: time.Now().Add(5 * time.Second),
				}
				go func() {
					if h.Relay.Do(ctx, request, benchSink{}).Kind == beryloutcome.Answered {
						f.answered.Add(1)
					}
				}()
			}
		}()
	}
}

func (f *benchFleet) waitReady(b testing.TB, within time.Duration) {
	b.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if h.Ready() && len(h.members.Live()) == len(f.hosts) {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return
		}
	}
	b.Fatal("the hosts did not become ready")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkEntryHosts reports the processor time of one host in a fleet: while all start, when idle, under light load,
// and while upstreams change under that load. All hosts and the store run in one process, so that the figures include
// the store's part.
func BenchmarkEntryHosts(b *testing.B) {
	for _, count := range []int{15, 30, 60, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				previous := processorTime()
				report := func(name string, span time.Duration) {
					now := processorTime()
					perHost := (now - previous).Seconds() / float64(count)
					previous = now
					if span == 0 {
						b.ReportMetric(perHost*1e3, name+"-ms")
						return
					}
					b.ReportMetric(perHost/span.Seconds()*100, name+"-%core")
				}
				f := startBenchFleet(b, ctx, count, benchDecoder{})
				f.waitReady(b, time.Minute)
				report("start", 0)
				time.Sleep(benchSpan)
				report("idle", benchSpan)
				loadCtx, end := context.WithCancel(ctx)
				f.load(loadCtx)
				time.Sleep(benchSpan)
				report("load", benchSpan)
				links := 0
				for _, h := range f.hosts {
					links += h.endpoint.Connections()
				}
				b.ReportMetric(float64(links)/float64(count), "links/host")
				b.ReportMetric(float64(f.answered.Load())/benchSpan.Seconds()/float64(count), "answered/host/s")
				for i := range 20 {
					f.announce(i%(count/2), i%2 == 0)
					time.Sleep(benchSpan / 20)
				}
				report("changes", benchSpan)
				for i := range int(benchSpan / (benchHeartbeat / time.Duration(count/2))) {
					f.announce(i%(count/2), false)
					time.Sleep(benchHeartbeat / time.Duration(count/2))
				}
				report("heartbeats", benchSpan)
				end()
				cancel()
				f.ended.Wait()
			}
		})
	}
}
