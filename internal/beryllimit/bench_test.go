package beryllimit

import (
	"context"
	"fmt"
	"runtime"
	"testing"
)

// benchLimiter returns the limiter of a single host and n accounts that have every kind of limit.
func benchLimiter(n int) (*Limiter, []Account) {
	accounts := make([]Account, 0, n)
	byName := make(map[string]Account)
	for i := range n {
		accounts = append(accounts, Account{
			Name: fmt.Sprintf("caller-%04d", i), RequestsPerSecond: 1e9, Concurrent: 1000, TokensPerMinute: 1e12,
		})
		byName[accounts[i].Name] = accounts[i]
	}
	limiter := New(Config{
		Self:      "entry-1",
		LiveHosts: func() []string { return []string{"entry-1"} },
		Account:   func(name string) (Account, bool) { a, ok := byName[name]; return a, ok },
	})
	return limiter, accounts
}

func BenchmarkTake(b *testing.B) {
	limiter, callers := benchLimiter(370)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		release, refusal := limiter.Take(context.Background(), &callers[i%len(callers)], 100)
		if refusal != nil {
			b.Fatal(refusal)
		}
		release()
		i++
	}
}

func BenchmarkTakeWithoutLimit(b *testing.B) {
	limiter, _ := benchLimiter(0)
	caller := &Account{Name: "free"}
	b.ReportAllocs()
	for b.Loop() {
		release, _ := limiter.Take(context.Background(), caller, 100)
		release()
	}
}

func BenchmarkHandleLeaseRequest(b *testing.B) {
	for _, callers := range []int{370, 3700} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			limiter, all := benchLimiter(callers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				req := LeaseRequest{Caller: all[i%callers].Name, Requests: 1, Tokens: 100, Slots: 1}
				if _, err := limiter.HandleLeaseRequest(context.Background(), "entry-2", req); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes that one active account takes on a host that is also its owner.
func BenchmarkMemory(b *testing.B) {
	for _, callers := range []int{370, 3700} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			var each float64
			for b.Loop() {
				limiter, all := benchLimiter(callers)
				before := heap()
				for i := range all {
					_, _ = limiter.Take(context.Background(), &all[i], 100)
				}
				each = float64(heap()-before) / float64(callers)
				runtime.KeepAlive(limiter)
			}
			b.ReportMetric(each, "B/caller")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
