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
	is.True(slices.Equal(first, stream.arrivals(7, 20*time.Second))) // a seed gives the same arrivals again
	is.True(!slices.Equal(first, stream.arrivals(8, 20*time.Second)))
	is.True(slices.IsSorted(first))
	is.True(len(first) > 1800 && len(first) < 2200) // 2,000 are expected, with a deviation of 45
	other := Stream{Name: "long", Rate: 100}.arrivals(7, 20*time.Second)
	is.True(!slices.Equal(first, other)) // streams of one seed differ
}

func TestNoPercentileFromTooFewSamples(t *testing.T) {
	is := is.New(t)
	h := hdrhistogram.New(1, maxMicros, digits)
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
	f := summarize("s", []sample{{first: time.Millisecond, total: time.Second}, {ending: refused}, {ending: broken}})
	is.Equal([]int{f.Sent, f.Whole, f.Refused, f.Broken}, []int{3, 1, 1, 1})
	is.Equal(f.FirstTokenP50, -1.0)
}

func TestFindNamesTheScenarios(t *testing.T) {
	is := is.New(t)
	_, err := Find("speed")
	is.Equal(err.Error(), `no scenario "speed"; there are batch-harm, head-of-line, stragglers`)
	for _, s := range Scenarios() {
		found, err := Find(s.Name)
		is.NoErr(err)
		is.Equal(len(found.Variants), 4)
	}
}

func TestBatchShareOfFullSlots(t *testing.T) {
	is := is.New(t)
	s := batchHarm()
	v := s.Variants[1]
	v.Streams = nil
	perSlot := 1 / (0.020 + float64(v.Batch.Tokens)*0.004*1.21)
	share := batchShare(&s, v, 48*perSlot)
	is.True(share > 0.999 && share < 1.001)
}
