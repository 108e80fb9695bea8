package berylcall

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	latencySamples   = 128
	latencyMinimum   = 10
	latencyRefresh   = 16
	latencyMaxKeys   = 1024
	highQuantile     = 0.9
	usualQuantile    = 0.5
	hedgeFactor      = 2
	hedgeFloor       = 5 * time.Millisecond
	secondCallFactor = 4
	secondCallFloor  = time.Second
	// unknownFirst and unknownToken bound the wait for a first byte while no usual one is known.
	unknownFirst = 3 * time.Second
	unknownToken = 50 * time.Millisecond
	stallFactor  = 50
	stallFloor   = 2 * time.Second
	stallCeiling = 10 * time.Second
)

// latencyKey names the calls whose first bytes are compared with one another.
type latencyKey struct {
	target string
	stream bool
	// size is the number of bits of the estimated tokens; a stream's first token does not depend on it.
	size int
}

func keyOf(req *Request) latencyKey {
	k := latencyKey{target: req.Target, stream: req.Stream}
	if !req.Stream {
		k.size = bits.Len(uint(max(req.Tokens, 0)))
	}
	return k
}

// gapKey names the streams whose times between events are compared with one another.
func gapKey(req *Request) latencyKey {
	return latencyKey{target: req.Target, stream: true}
}

// tokensBefore returns how many tokens an upstream makes before the first byte of its answer.
func tokensBefore(req *Request) int {
	if req.Stream {
		return 0
	}
	return max(req.Tokens, 0)
}

// latencies keeps a window of recent times for each key; its zero value is ready.
type latencies struct {
	mu      sync.Mutex
	windows map[latencyKey]*window
}

// window is a ring of samples.
type window struct {
	samples [latencySamples]time.Duration
	count   int
	typical typical
}

// typical describes recent times; zeros mean that too few samples are known.
type typical struct {
	// usual is the median.
	usual time.Duration
	// high is the 90th percentile.
	high time.Duration
}

func (w *window) add(sample time.Duration) {
	w.samples[w.count%latencySamples] = sample
	w.count++
	if w.count >= latencyMinimum && (w.count%latencyRefresh == 0 || w.typical.high == 0) {
		w.refresh()
	}
}

func (w *window) refresh() {
	sorted := slices.Clone(w.samples[:min(w.count, latencySamples)])
	slices.Sort(sorted)
	w.typical.usual = sorted[int(usualQuantile*float64(len(sorted)))]
	w.typical.high = sorted[int(highQuantile*float64(len(sorted)))]
}

func (l *latencies) add(k latencyKey, sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[k]
	if w == nil {
		if l.windows == nil {
			l.windows = make(map[latencyKey]*window)
		}
		if len(l.windows) >= latencyMaxKeys {
			return
		}
		w = &window{}
		l.windows[k] = w
	}
	w.add(sample)
}

// typical returns the recent times of a key.
func (l *latencies) typical(k latencyKey) typical {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.windows[k]; w != nil {
		return w.typical
	}
	return typical{}
}

// hedgeAfter returns how long to wait for the first byte before a hedge, or zero for never. It is the 90th percentile,
// which up to a tenth of slow calls do not move, and at least twice the median, so that calls only just late do not
// use up the budget.
func hedgeAfter(t typical) time.Duration {
	if t.high == 0 {
		return 0
	}
	return max(t.high, hedgeFactor*t.usual, hedgeFloor)
}

// secondCallAfter returns how long to wait for the first byte before a second call on the retry budget; tokens are those
// that an answer needs before its first byte.
func secondCallAfter(t typical, remaining time.Duration, tokens int) time.Duration {
	return min(lateAfter(t, tokens), remaining/2)
}

// lateAfter returns from when on a missing first byte speaks against the upstream.
func lateAfter(t typical, tokens int) time.Duration {
	if t.high == 0 {
		return unknownFirst + time.Duration(tokens)*unknownToken
	}
	return max(secondCallFactor*t.high, secondCallFloor)
}

// stallAfter returns the longest pause of a stream that can be continued elsewhere, from the usual time between events.
func stallAfter(t typical) time.Duration {
	if t.high == 0 {
		return stallCeiling
	}
	return min(max(stallFactor*t.high, stallFloor), stallCeiling)
}
