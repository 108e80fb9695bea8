package berylonce

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// TestConcurrentRequestsOfOneKey sends one request 100 times at once through two hosts; exactly one of them may run.
func TestConcurrentRequestsOfOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(Config{}, "a", "b")
		f.store.latency = 10 * time.Millisecond
		var runs, refused atomic.Int32
		var senders conc.WaitGroup
		for i := range 100 {
			host := f.hosts[[]string{"a", "b"}[i%2]]
			senders.Go(func() {
				d := host.Begin(t.Context(), intentFor("k", "body", true))
				if d.Run != nil {
					runs.Add(1)
				} else if d.Refusal.Code == beryloutcome.CodeInProgress {
					refused.Add(1)
				}
			})
		}
		senders.Wait()
		is.Equal(runs.Load(), int32(1))
		is.Equal(refused.Load(), int32(99))
	})
}

// TestLongOutage ends runs during an outage of several hours; Run must back off meanwhile and write the final records
// when the store is back.
func TestLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(Config{}, "a", "b")
		ctx, cancel := context.WithCancel(t.Context())
		var running conc.WaitGroup
		running.Go(func() { f.hosts["a"].Run(ctx) })
		for i := range 20 {
			f.begin(ctx, fmt.Sprint(i), "a", intentFor(fmt.Sprint(i), "body", true))
		}
		f.store.set(func(s *memoryStore) { s.down = true })
		for i := range 20 {
			is.Equal(f.tickets[fmt.Sprint(i)].Finish(ctx, resultOf("answered"), Answer{Status: 200, Body: []byte("answer")}), nil)
		}
		time.Sleep(3 * time.Hour)
		synctest.Wait()
		is.Equal(f.hosts["a"].Pending(), 20)
		f.store.set(func(s *memoryStore) { s.calls = 0 })
		time.Sleep(time.Minute)
		f.store.set(func(s *memoryStore) {
			is.True(s.calls < 30) // backed off to about 5 s; retries every 200 ms would make 300 calls
			s.down = false
		})
		time.Sleep(2 * maxRetryInterval)
		synctest.Wait()
		is.Equal(f.hosts["a"].Pending(), 0)
		is.Equal(f.begin(ctx, "", "b", intentFor("7", "body", true)), "replay 200 answer\n")
		cancel()
		running.Wait()
	})
}

// TestLeases counts the leases that a host takes in a day: one an hour, however many keys there are.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(Config{}, "a")
		ctx, cancel := context.WithCancel(t.Context())
		var running conc.WaitGroup
		running.Go(func() { f.hosts["a"].Run(ctx) })
		for i := range 24 * 60 {
			time.Sleep(time.Minute)
			is.Equal(f.begin(ctx, "t", "a", intentFor(fmt.Sprint(i), "body", false)), "run\n")
			is.Equal(f.tickets["t"].Finish(ctx, resultOf("answered"), Answer{Status: 200}), nil)
		}
		cancel()
		running.Wait()
		is.True(f.store.grants >= 24 && f.store.grants <= 27)
	})
}

// TestBounds checks that keys and caller names that are too long or missing are refused without a call to the store.
func TestBounds(t *testing.T) {
	tests := []struct {
		name   string
		intent Intent
	}{
		{"empty-key", Intent{Caller: "c"}},
		{"long-key", Intent{Caller: "c", Key: strings.Repeat("k", maxKeyBytes+1)}},
		{"long-caller", Intent{Caller: strings.Repeat("c", maxCallerBytes+1), Key: "k"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(Config{}, "a")
			d := f.hosts["a"].Begin(t.Context(), tt.intent)
			is.True(d.Refusal != nil)
			is.Equal(d.Refusal.Code, beryloutcome.CodeBadRequest)
			is.Equal(f.store.calls, 0)
		})
	}
}

// TestOverPlatform runs keyed requests through the real client against the fake platform and counts the calls.
func TestOverPlatform(t *testing.T) {
	const requests = 50
	is := is.New(t)
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	is.NoErr(err)
	defer fake.Close()
	client, err := beryletcd.New(beryletcd.Config{Endpoints: []string{fake.URL()}, Timeout: 20 * time.Second})
	is.NoErr(err)
	defer client.Close()
	m := New(Config{Store: client, Host: "a", Boot: 1})
	for i := range requests {
		is.NoErr(fake.SetFault(berylfake.PlatformFault{LoseAnswers: i % 2})) // every second claim's answer is lost
		d := m.Begin(t.Context(), intentFor(fmt.Sprint(i), "body", true))
		is.True(d.Run != nil)
		is.Equal(d.Run.Finish(t.Context(), resultOf("answered"), Answer{Status: 200, Body: make([]byte, 1000)}), nil)
	}
	calls := fake.Calls()
	t.Logf("%d requests of 1000 bytes of answer: %+v", requests, calls)
	is.Equal(calls.Txn, 2*requests)
	is.Equal(calls.Range, requests/2) // a lost answer costs one read
	is.True(calls.Grant <= 2)
}

// BenchmarkKeyed measures the cost of an idempotency key per request over loopback, including the fake platform.
func BenchmarkKeyed(b *testing.B) {
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer fake.Close()
	client, err := beryletcd.New(beryletcd.Config{Endpoints: []string{fake.URL()}, Timeout: 20 * time.Second})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	m := New(Config{Store: client, Host: "a", Boot: 1})
	answer := Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 1000)}
	n := 0
	for b.Loop() {
		n++
		d := m.Begin(context.Background(), intentFor(fmt.Sprint(n), "body", true))
		if d.Run == nil || d.Run.Finish(context.Background(), resultOf("answered"), answer) != nil {
			b.Fatal(d)
		}
	}
	b.ReportMetric(float64(fake.Calls().Total())/float64(n), "calls/op")
	b.ReportMetric(float64(fake.Calls().Bytes)/float64(n), "sent-B/op")
}
