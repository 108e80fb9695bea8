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
	// maxOutstanding bounds the requests in flight; arrivals beyond it count as broken.
	maxOutstanding    = 4096
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// minSamplesAbove is how many samples must lie above a percentile for it to be given.
	minSamplesAbove = 10
)

// StreamStats are what one stream has shown.
type StreamStats struct {
	// Name is the stream's name.
	Name string `json:"name"`
	// Sent counts the arrivals.
	Sent int `json:"sent"`
	// Complete counts the whole answers.
	Complete int `json:"whole"`
	// Refused counts the answers with an error status.
	Refused int `json:"refused"`
	// Broken counts the requests whose answer was cut or never came.
	Broken int `json:"broken"`
	// FirstTokenP50 and the others are milliseconds from the intended start; a negative value means too few samples.
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	// FirstTokenP95 is the 95th percentile in milliseconds.
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	// FirstTokenP99 is the 99th percentile in milliseconds.
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
	// TotalMean is the mean time of the whole answer in milliseconds.
	TotalMean float64 `json:"total-mean-ms"`
	// TotalP99 is the 99th percentile of the whole answer in milliseconds.
	TotalP99 float64 `json:"total-p99-ms"`
}

// Run sends the streams' requests for the duration and waits for the last answers; it ends early with ctx.
func Run(ctx context.Context, target *Target, streams []Stream, seed uint64, duration time.Duration) []StreamStats {
	client := &fasthttp.Client{MaxConnsPerHost: maxOutstanding, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	figures := make([]StreamStats, len(streams))
	var runs conc.WaitGroup
	begin := time.Now()
	for i, stream := range streams {
		runs.Go(func() { figures[i] = runStream(ctx, client, target, stream, seed, begin, duration) })
	}
	runs.Wait()
	return figures
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

// percentile returns milliseconds, or -1 when fewer samples than needed lie above the percentile.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	if float64(h.TotalCount())*(100-p) < minSamplesAbove*100 {
		return -1
	}
	return float64(h.ValueAtQuantile(p)) / 1000
}
