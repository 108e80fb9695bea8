package berylbatch

import "time"

// paceWeight is the weight of the newest value in the moving means.
const paceWeight = 0.1

// pace is how long items take, as moving means; its zero value knows nothing and expects no time.
type pace struct {
	events float64
	gap    float64 // nanoseconds between two events
}

// completed notes how many events a whole item had.
func (p *pace) completed(events int) {
	p.events = mean(p.events, float64(events))
}

// called notes the time between events of one call.
func (p *pace) called(gap time.Duration) {
	p.gap = mean(p.gap, float64(gap))
}

func mean(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + paceWeight*(value-old)
}

// rest predicts how long the rest of an item takes once it runs.
func (p *pace) rest(it *item) time.Duration {
	return time.Duration(max(p.events-float64(it.events), 0) * p.gap)
}
