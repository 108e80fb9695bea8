package berylload

import (
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

func TestArrivals(t *testing.T) {
	is := is.New(t)
	stream := Stream{Name: "short", Rate: 100}
	first := stream.arrivals(7, 20*time.Second)
	is.True(slices.Equal(first, stream.arrivals(7, 20*time.Second))) // the same seed gives the same arrivals
	is.True(!slices.Equal(first, stream.arrivals(8, 20*time.Second)))
	is.True(slices.IsSorted(first))
	is.True(len(first) > 1800 && len(first) < 2200) // 2,000 are expected, with a standard deviation of 45
	other := Stream{Name: "long", Rate: 100}.arrivals(7, 20*time.Second)
	is.True(!slices.Equal(first, other)) // streams with the same seed but different names differ
}

func TestNoPercentileFromTooFewSamples(t *testing.T) {
	is := is.New(t)
	h := hdrhistogram.New(1, maxMicros, significantDigits)
	for i := range 999 {
		_ = h.RecordValue(int64(i+1) * 1000)
	}
	is.Equal(percentile(h, 99), -1.0)
	_ = h.RecordValue(1_000_000)
	is.True(percentile(h, 99) > 980)
	is.Equal(ratio(percentile(h, 99), -1), -1.0) // no ratio without a reference
}

func TestSummaryCountsEveryEnd(t *testing.T) {
	is := is.New(t)
	f := summarize("s", []sample{{firstToken: time.Millisecond, total: time.Second}, {result: refused}, {result: broken}})
	is.Equal([]int{f.Sent, f.Complete, f.Refused, f.Broken}, []int{3, 1, 1, 1})
	is.Equal(f.FirstTokenP50, -1.0)
}

func TestFindNamesTheScenarios(t *testing.T) {
	is := is.New(t)
	_, err := Find("speed")
	is.Equal(err.Error(), `no scenario "speed"; there are batch-harm, head-of-line, stragglers`)
	for _, s := range Scenarios() {
		found, err := Find(s.Name)
		is.NoErr(err)
		is.True(len(found.Variants) >= 4)
	}
}

func TestBatchShare(t *testing.T) {
	is := is.New(t)
	s := batchHarm()
	s.Duration = 10 * time.Second
	// 100 requests per second of 120 ms each occupy 12 of the 48 slots. Batch work alone completed 240 items per second with
	// 48 slots, so 180 are expected with the remaining 36, and 90 are half of that.
	online := []StreamStats{{Complete: 1000, TotalMean: 120}}
	c := &Comparison{Runs: []VariantResult{{Streams: online}, {BatchRate: 90}, {Variant: batchAlone, BatchRate: 240}}}
	c.computeBatchShares(s)
	is.Equal(c.Runs[1].BatchShare, 0.5)
	is.Equal(c.Runs[2].BatchShare, 0.0)
}
