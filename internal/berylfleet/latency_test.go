package berylfleet_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylfleet"
)

const (
	// requestRate is the number of requests per second of the latency benchmark.
	requestRate = 200
	maxMicros   = 60_000_000
)

// startFleet starts a fleet and stops it at the end of the test or benchmark.
func startFleet(b testing.TB, config berylfleet.Config) *berylfleet.Fleet {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	config.Log = log
	config.Model = "bench-llm"
	fleet, err := berylfleet.Start(config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = fleet.Stop() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return fleet
}

// post sends one chat request and returns an error unless it is answered with 200.
func post(client *fasthttp.Client, base, key string, body []byte) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(base + "/v1/chat/completions")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := client.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

// openLoop sends n requests at requestRate to the addresses in turn. It measures latency from the intended start of
// each request, so that a delayed start counts too.
func openLoop(b *testing.B, bases []string, key string, n int) *hdrhistogram.Histogram {
	b.Helper()
	var client fasthttp.Client
	latencies := make([]time.Duration, n)
	errs := make([]error, n)
	var calls conc.WaitGroup
	start := time.Now()
	for i := range n {
		intended := start.Add(time.Duration(i) * time.Second / requestRate)
		time.Sleep(time.Until(intended))
		calls.Go(func() {
			body := fmt.Appendf(nil, `{"model":"bench-llm","max_tokens":1,"messages":[{"role":"user","content":"request %d"}]}`, i)
			errs[i] = post(&client, bases[i%len(bases)], key, body)
			latencies[i] = time.Since(intended)
		})
	}
	calls.Wait()
	histogram := hdrhistogram.New(1, maxMicros, 3)
	for i := range n {
		if errs[i] != nil {
			b.Fatal(errs[i])
		}
		_ = histogram.RecordValue(latencies[i].Microseconds())
	}
	return histogram
}

// BenchmarkAddedLatency reports how much latency the hosts add, by comparing calls through the hosts with calls made
// directly to the engines, both at 200 requests per second.
func BenchmarkAddedLatency(b *testing.B) {
	fleet := startFleet(b, berylfleet.Config{
		Hosts: 3, Engines: 3, Slots: 64,
		Engine: berylfake.EngineOptions{TokenTime: time.Millisecond, PrefillTime: time.Millisecond, CachedPrefillTime: time.Millisecond},
		Rules:  berylconf.Rules{HedgePercent: 0.001},
	})
	var engines []string
	for _, engine := range fleet.Engines {
		engines = append(engines, engine.URL())
	}
	const warmupRequests = 200
	openLoop(b, fleet.Addresses(), fleet.APIKey, warmupRequests)
	openLoop(b, engines, "", warmupRequests)
	n := max(b.N, 2000)
	b.ResetTimer()
	direct := openLoop(b, engines, "", n)
	throughHosts := openLoop(b, fleet.Addresses(), fleet.APIKey, n)
	report := func(name string, quantile float64) {
		added := throughHosts.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
		b.ReportMetric(float64(added)/1000, name)
	}
	report("added-p50-ms", 50)
	report("added-p99-ms", 99)
	b.ReportMetric(float64(direct.ValueAtQuantile(50))/1000, "straight-p50-ms")
	b.ReportMetric(float64(direct.ValueAtQuantile(99))/1000, "straight-p99-ms")
}
