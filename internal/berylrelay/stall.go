package berylrelay

import (
	"context"
	"time"
)

// watchStall starts a timer that ends the call if its upstream is silent for too long. A call that may not be
// repeated gets no timer and waits until the deadline.
func (x *exchange) watchStall(cancel context.CancelCauseFunc) *stallTimer {
	s := &stallTimer{timeout: x.stallTimeout()}
	if x.request.Route.Repeatable() && x.possibleRuns < x.request.Route.Attempts() {
		s.timer = time.AfterFunc(s.timeout, func() { cancel(errStalled) })
	}
	return s
}

// stallTimeout returns how long the upstream may be silent.
func (x *exchange) stallTimeout() time.Duration {
	if x.request.Route.EventGapTarget == 0 {
		return defaultStallTimeout
	}
	return max(stallFactor*x.request.Route.EventGapTarget, minStallTimeout)
}

// stallTimer ends a call after a period of silence. It never does so if its timer is nil.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// Reset begins a new period of silence.
func (s *stallTimer) Reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

// Stop stops the timer, so that it no longer ends the call.
func (s *stallTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
