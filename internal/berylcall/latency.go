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
	latencyQuantile  = 0.95
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

// window is a ring of samples and their high quantile.
type window struct {
	samples [latencySamples]time.Duration
	count   int
	high    time.Duration
}

func (w *window) add(sample time.Duration) {
	w.samples[w.count%latencySamples] = sample
	w.count++
	if w.count >= latencyMinimum && (w.count%latencyRefresh == 0 || w.high == 0) {
		w.refresh()
	}
}

func (w *window) refresh() {
	sorted := slices.Clone(w.samples[:min(w.count, latencySamples)])
	slices.Sort(sorted)
	w.high = sorted[int(latencyQuantile*float64(len(sorted)))]
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

// high returns the recent 95th percentile, or zero when too few samples are known.
func (l *latencies) high(k latencyKey) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.windows[k]; w != nil {
		return w.high
	}
	return 0
}

// hedgeAfter returns how long to wait for the first byte before a hedge, or zero for never.
func hedgeAfter(high time.Duration) time.Duration {
	if high == 0 {
		return 0
	}
	return max(high, hedgeFloor)
}

// secondCallAfter returns how long to wait for the first byte before a second call on the retry budget; tokens are those
// that an answer needs before its first byte.
func secondCallAfter(high, remaining time.Duration, tokens int) time.Duration {
	span := max(secondCallFactor*high, secondCallFloor)
	if high == 0 {
		span = unknownFirst + time.Duration(tokens)*unknownToken
	}
	return min(span, remaining/2)
}

// stallAfter returns the longest pause of a stream that can be continued elsewhere, from the usual time between events.
func stallAfter(high time.Duration) time.Duration {
	if high == 0 {
		return stallCeiling
	}
	return min(max(stallFactor*high, stallFloor), stallCeiling)
}
