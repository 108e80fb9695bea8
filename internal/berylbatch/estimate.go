package berylbatch

import "time"

// averageWeight is the weight of the newest value in the moving means.
const averageWeight = 0.1

// durationEstimator is how long items take, as moving means; its zero value knows nothing and expects no time.
type durationEstimator struct {
	meanEvents float64
	meanGap    float64 // nanoseconds between two events
}

// observeItem notes how many events a whole item had.
func (p *durationEstimator) observeItem(events int) {
	p.meanEvents = movingAverage(p.meanEvents, float64(events))
}

// observeGap notes the time between events of one call.
func (p *durationEstimator) observeGap(gap time.Duration) {
	p.meanGap = movingAverage(p.meanGap, float64(gap))
}

func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageWeight*(value-old)
}

// remaining predicts how long the remaining of an item takes once it runs.
func (p *durationEstimator) remaining(it *item) time.Duration {
	return time.Duration(max(p.meanEvents-float64(it.events), 0) * p.meanGap)
}
