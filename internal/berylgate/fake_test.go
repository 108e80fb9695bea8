package berylgate_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	testKey = "ribdesk-key"
	// testTimeout ends a test that hangs; no test passes because of it.
	testTimeout = 20 * time.Second
)

// fakeCalls is a berylgate.Calls that runs a function and records the requests.
type fakeCalls struct {
	do func(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result

	mu       sync.Mutex
	requests []berylcall.Request
}

func (f *fakeCalls) Do(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	f.mu.Lock()
	f.requests = append(f.requests, request)
	f.mu.Unlock()
	return f.do(ctx, request, sink)
}

func (f *fakeCalls) seen() []berylcall.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]berylcall.Request(nil), f.requests...)
}

// answering returns calls that answer with the given status, content type and events.
func answering(status int, contentType string, events ...string) *fakeCalls {
	return &fakeCalls{do: func(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		return answer(sink, status, contentType, events...)
	}}
}

func answer(sink berylcall.Sink, status int, contentType string, events ...string) beryloutcome.Result {
	if sink.Start(status, contentType) != nil {
		return beryloutcome.Result{Kind: beryloutcome.Cancelled}
	}
	for _, event := range events {
		if sink.Write([]byte(event)) != nil {
			return beryloutcome.Result{Kind: beryloutcome.Cancelled}
		}
	}
	return beryloutcome.Result{Kind: beryloutcome.Answered}
}

// testDocument returns a configuration with one model, one plain service and one caller.
func testDocument() *berylconf.Document {
	hash := sha256.Sum256([]byte(testKey))
	return &berylconf.Document{
		Inventory: berylconf.Inventory{
			Upstreams: []berylconf.Upstream{
				{Name: "engine-1", Models: []string{"ribdesk-llm"}, Slots: 4},
				{Name: "orders-1", Service: "supplier", Slots: 4},
			},
			Services: []berylconf.Service{{Name: "supplier", NeverRepeat: []string{"/orders"}}},
			Callers:  []berylconf.Caller{{Name: "counter", KeyHash: hex.EncodeToString(hash[:])}},
		},
		Rules: berylconf.Rules{MaxBodyBytes: 64 << 10},
	}
}

// startGate serves a gate on a free port until the test ends and returns its base URL.
func startGate(t testing.TB, config berylgate.Config) (*berylgate.Gate, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return serveGate(t, config, listener), "http://" + listener.Addr().String()
}

// serveGate serves a gate on the listener until the test ends.
func serveGate(t testing.TB, config berylgate.Config, listener net.Listener) *berylgate.Gate {
	t.Helper()
	is := is.New(t)
	if config.Document == nil {
		document := testDocument()
		config.Document = func() *berylconf.Document { return document }
	}
	config.Host = "entry-1"
	gate := berylgate.New(config)
	served := make(chan error, 1)
	go func() { served <- gate.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		is.NoErr(gate.Shutdown(ctx))
		is.NoErr(<-served)
	})
	return gate
}
