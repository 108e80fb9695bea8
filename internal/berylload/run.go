package berylload

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// maxOutstanding limits the requests in flight of a stream. An arrival beyond it is not sent and counts as broken.
	maxOutstanding    = 4096
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// minSamplesAbove is the number of samples that must lie above a percentile for it to be reported.
	minSamplesAbove = 10
)

// StreamStats holds the results of one stream.
type StreamStats struct {
	// Name is the Stream.Name of the measured stream.
	Name string `json:"name"`
	// Sent is the number of arrivals.
	Sent int `json:"sent"`
	// Complete is the number of complete answers.
	Complete int `json:"whole"`
	// Refused is the number of answers with a status other than 200.
	Refused int `json:"refused"`
	// Broken is the number of requests without an answer or with a truncated one.
	Broken int `json:"broken"`
	// FirstTokenP50 is the median time to the first token. All times are in milliseconds from the intended start, and a
	// percentile is negative if there are too few samples for it.
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	// FirstTokenP95 is the 95th percentile of the time to the first token.
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	// FirstTokenP99 is the 99th percentile of the time to the first token.
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
	// TotalMean is the mean time to the end of the answer.
	TotalMean float64 `json:"total-mean-ms"`
	// TotalP99 is the 99th percentile of the time to the end of the answer.
	TotalP99 float64 `json:"total-p99-ms"`
}

// Run sends the requests of the streams that arrive within the duration and waits for all answers. No further requests are
// sent once ctx ends.
func Run(ctx context.Context, target *Target, streams []Stream, seed uint64, duration time.Duration) []StreamStats {
	client := &fasthttp.Client{MaxConnsPerHost: maxOutstanding, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	stats := make([]StreamStats, len(streams))
	var runs conc.WaitGroup
	begin := time.Now()
	for i, stream := range streams {
		runs.Go(func() { stats[i] = runStream(ctx, client, target, stream, seed, begin, duration) })
	}
	runs.Wait()
	return stats
}

func runStream(ctx context.Context, client *fasthttp.Client, target *Target, stream Stream, seed uint64, begin time.Time, duration time.Duration) StreamStats {
	offsets := stream.arrivals(seed, duration)
	samples := make([]sample, len(offsets))
	inFlight := make(chan struct{}, maxOutstanding)
	var calls conc.WaitGroup
	for i, offset := range offsets {
		intended := begin.Add(offset)
		if !sleepUntil(ctx, intended) {
			samples = samples[:i]
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			samples[i] = sample{result: broken}
			continue
		}
		calls.Go(func() {
			defer func() { <-inFlight }()
			text := fmt.Sprintf("%s request %d of seed %d", stream.Name, i, seed)
			samples[i] = target.send(client, i, text, stream.Tokens, intended)
		})
	}
	calls.Wait()
	return summarize(stream.Name, samples)
}

// sleepUntil sleeps until the given time and returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func summarize(name string, samples []sample) StreamStats {
	f := StreamStats{Name: name, Sent: len(samples)}
	first := hdrhistogram.New(1, maxMicros, significantDigits)
	total := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, s := range samples {
		switch s.result {
		case refused:
			f.Refused++
		case broken:
			f.Broken++
		case complete:
			f.Complete++
			_ = first.RecordValue(min(max(s.firstToken.Microseconds(), 1), maxMicros))
			_ = total.RecordValue(min(max(s.total.Microseconds(), 1), maxMicros))
		}
	}
	f.FirstTokenP50 = percentile(first, 50)
	f.FirstTokenP95 = percentile(first, 95)
	f.FirstTokenP99 = percentile(first, 99)
	f.TotalMean = total.Mean() / 1000
	f.TotalP99 = percentile(total, 99)
	return f
}

// percentile returns a percentile in milliseconds, or -1 if fewer than minSamplesAbove samples lie above it.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	if float64(h.TotalCount())*(100-p) < minSamplesAbove*100 {
		return -1
	}
	return float64(h.ValueAtQuantile(p)) / 1000
}
