package berylcall

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	latencyWindowSize      = 128
	minLatencySamples      = 10
	latencyRefreshInterval = 16
	maxLatencyKeys         = 1024
	highQuantile           = 0.9
	medianQuantile         = 0.5
	// hedgeFactor times the median first-byte time is the shortest hedge delay, if it is more than minHedgeDelay.
	hedgeFactor   = 2
	minHedgeDelay = 5 * time.Millisecond
	// secondCallFactor times the 90th percentile is when a first byte counts as late, if that is after
	// minSecondCallDelay.
	secondCallFactor   = 4
	minSecondCallDelay = time.Second
	// While there are too few samples, a first byte counts as late after defaultFirstByteWait plus
	// defaultWaitPerToken for each token that the upstream generates before it.
	defaultFirstByteWait = 3 * time.Second
	defaultWaitPerToken  = 50 * time.Millisecond
	// stallTimeoutFactor times the 90th percentile of the streams' mean gaps between events is the stall timeout, but
	// at least minStallTimeout and at most maxStallTimeout, which also applies while there are too few samples.
	stallTimeoutFactor = 50
	minStallTimeout    = 2 * time.Second
	maxStallTimeout    = 10 * time.Second
)

// latencyKey identifies calls whose times are comparable.
type latencyKey struct {
	target string
	stream bool
	// tokenBits is the bit length of the estimated number of tokens. It is zero for a stream, whose time to the first
	// token does not depend on the length of the answer.
	tokenBits int
}

// firstByteKey returns the key for the time to the first byte of an answer.
func firstByteKey(req *Request) latencyKey {
	k := latencyKey{target: req.Target, stream: req.Stream}
	if !req.Stream {
		k.tokenBits = bits.Len(uint(max(req.Tokens, 0)))
	}
	return k
}

// eventGapKey returns the key for the mean time between the events of a stream.
func eventGapKey(req *Request) latencyKey {
	return latencyKey{target: req.Target, stream: true}
}

// tokensBeforeFirstByte returns how many tokens an upstream generates before the first byte of its answer.
func tokensBeforeFirstByte(req *Request) int {
	if req.Stream {
		return 0
	}
	return max(req.Tokens, 0)
}

// latencyTracker keeps a window of recent times for each key. Its zero value is ready to use.
type latencyTracker struct {
	mu      sync.Mutex
	windows map[latencyKey]*sampleWindow
}

// sampleWindow is a ring buffer of the most recent samples.
type sampleWindow struct {
	samples [latencyWindowSize]time.Duration
	count   int
	stats   latencyStats
}

// latencyStats describes recent times by their median and 90th percentile; zeros mean that there are too few samples.
type latencyStats struct {
	median time.Duration
	p90    time.Duration
}

func (w *sampleWindow) add(sample time.Duration) {
	w.samples[w.count%latencyWindowSize] = sample
	w.count++
	if w.count >= minLatencySamples && (w.count%latencyRefreshInterval == 0 || w.stats.p90 == 0) {
		w.refresh()
	}
}

func (w *sampleWindow) refresh() {
	sorted := slices.Clone(w.samples[:min(w.count, latencyWindowSize)])
	slices.Sort(sorted)
	w.stats.median = sorted[int(medianQuantile*float64(len(sorted)))]
	w.stats.p90 = sorted[int(highQuantile*float64(len(sorted)))]
}

func (l *latencyTracker) add(k latencyKey, sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[k]
	if w == nil {
		if l.windows == nil {
			l.windows = make(map[latencyKey]*sampleWindow)
		}
		if len(l.windows) >= maxLatencyKeys {
			return
		}
		w = &sampleWindow{}
		l.windows[k] = w
	}
	w.add(sample)
}

// stats returns the statistics of the recent times of a key.
func (l *latencyTracker) stats(k latencyKey) latencyStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.windows[k]; w != nil {
		return w.stats
	}
	return latencyStats{}
}

// hedgeDelay returns how long to wait for the first byte before a hedge, or zero for never. It is the 90th
// percentile, which does not move as long as at most a tenth of the calls are slow, and at least twice the median, so
// that calls that are only slightly late do not use up the budget.
func hedgeDelay(t latencyStats) time.Duration {
	if t.p90 == 0 {
		return 0
	}
	return max(t.p90, hedgeFactor*t.median, minHedgeDelay)
}

// secondCallDelay returns how long to wait for the first byte before a second call that is charged to the retry
// budget. tokens is how many tokens the upstream generates before the first byte.
func secondCallDelay(t latencyStats, remaining time.Duration, tokens int) time.Duration {
	return min(lateThreshold(t, tokens), remaining/2)
}

// lateThreshold returns the wait after which a missing first byte counts as a fault of the upstream.
func lateThreshold(t latencyStats, tokens int) time.Duration {
	if t.p90 == 0 {
		return defaultFirstByteWait + time.Duration(tokens)*defaultWaitPerToken
	}
	return max(secondCallFactor*t.p90, minSecondCallDelay)
}

// stallTimeoutFor returns the longest allowed pause of a stream that can be continued elsewhere, derived from the
// usual time between events.
func stallTimeoutFor(t latencyStats) time.Duration {
	if t.p90 == 0 {
		return maxStallTimeout
	}
	return min(max(stallTimeoutFactor*t.p90, minStallTimeout), maxStallTimeout)
}
