package berylcall_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// randomBroker grants a random upstream, as owners do that have not yet ejected a slow one. It avoids the first upstream
// that the request avoids.
type randomBroker struct {
	upstreams []string
}

func (b randomBroker) Acquire(_ context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		name := b.upstreams[rand.IntN(len(b.upstreams))]
		if len(request.Avoid) == 0 || name != request.Avoid[0] {
			return &berylpermit.Permit{Upstream: name, Release: func(berylpermit.Report) {}}, nil
		}
	}
}

// BenchmarkStraggler measures the time to the first token where 1 of 20 engines is ten times slower than the others,
// for several hedge budgets in percent. extra-% is the share of calls that were made twice.
func BenchmarkStraggler(b *testing.B) {
	for _, percent := range []float64{0.001, 2, 5, 10} {
		b.Run(fmt.Sprintf("hedge=%v", percent), func(b *testing.B) {
			runner := newTestRunner(b)
			runner.rules.HedgePercent = percent
			var engines []*berylfake.Engine
			for i := range 20 {
				engines = append(engines, runner.engine(b, fmt.Sprintf("engine-%d", i), berylfake.EngineOptions{PrefillTime: 10 * time.Millisecond, CachedPrefillTime: 10 * time.Millisecond}))
			}
			if err := engines[0].SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultSlow, Factor: 10}); err != nil {
				b.Fatal(err)
			}
			runner.Permits = randomBroker{runner.broker.upstreams}
			calls := 0
			times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				stragglerRound(b, runner, times)
				calls += stragglerCalls
			}
			started := 0
			for _, e := range engines {
				started += e.Counts().Started
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99.9))/1000, "p99.9-ms")
			b.ReportMetric(100*float64(started-calls)/float64(calls), "extra-%")
		})
	}
}

const (
	stragglerWorkers = 20
	stragglerCalls   = 2000
)

func stragglerRound(b *testing.B, runner *testRunner, times *hdrhistogram.Histogram) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for worker := range stragglerWorkers {
		group.Go(func() {
			for i := range stragglerCalls / stragglerWorkers {
				began := time.Now()
				req := chatRequest(fmt.Sprintf("straggler-%d-%d", worker, i), true, 1)
				result := runner.Do(context.Background(), req, discardSink{})
				if result.Kind != beryloutcome.Answered {
					b.Error(result.Refusal)
				}
				mu.Lock()
				times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
}
