package berylbatch

import "time"

// averageWeight is the weight of the newest value in the moving averages.
const averageWeight = 0.1

// durationEstimator predicts how long items take, from moving averages. Its zero value predicts zero.
type durationEstimator struct {
	meanEvents float64 // moving average of the number of events of a completed item
	meanGap    float64 // moving average of the time between two events, in nanoseconds
}

// observeItem records the number of events of a completed item.
func (e *durationEstimator) observeItem(events int) {
	e.meanEvents = movingAverage(e.meanEvents, float64(events))
}

// observeGap records the mean time between the events of one call.
func (e *durationEstimator) observeGap(gap time.Duration) {
	e.meanGap = movingAverage(e.meanGap, float64(gap))
}

func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageWeight*(value-old)
}

// remaining predicts how long an item needs to complete once its next call has started.
func (e *durationEstimator) remaining(it *item) time.Duration {
	return time.Duration(max(e.meanEvents-float64(it.events), 0) * e.meanGap)
}
