package beryldrain

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new sample, as in the retransmission timer of TCP (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is how many mean deviations above the mean a request is expected to take.
	deviations = 2
	// minSamples is how many requests of a class have to be answered before an estimate counts.
	minSamples = 8
	// maxClasses bounds the classes that are told apart. Beyond it all are learned anew.
	maxClasses = 4096
)

// class groups requests that take about as long.
type class struct {
	route string
	// size is the binary order of magnitude of the expected number of tokens.
	size int
}

// estimate is a smoothed duration and its smoothed deviation.
type estimate struct {
	mean, deviation time.Duration
	samples         int
}

// durations estimates how long requests take. Its zero value knows nothing.
type durations struct {
	mu      sync.Mutex
	classes map[class]estimate
}

func classOf(route string, tokens int) class {
	return class{route: route, size: bits.Len(uint(max(tokens, 0)))}
}

// observe adds the duration of a request that was answered.
func (d *durations) observe(c class, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.classes[c]
	if !known {
		if d.classes == nil || len(d.classes) >= maxClasses {
			d.classes = make(map[class]estimate)
		}
		d.classes[c] = estimate{mean: took, deviation: took / 2, samples: 1}
		return
	}
	difference := took - e.mean
	e.deviation += time.Duration(deviationWeight * float64(difference.Abs()-e.deviation))
	e.samples++
	e.mean += time.Duration(meanWeight * float64(difference))
	d.classes[c] = e
}

// expected returns how long a request is expected to take at most, and false if too few of its class have been answered.
func (d *durations) expected(c class) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.classes[c]
	return e.mean + deviations*e.deviation, e.samples >= minSamples
}
