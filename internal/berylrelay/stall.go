package berylrelay

import (
	"context"
	"time"
)

// watchStall ends a call that may be repeated when its upstream stays silent for too long; a call that may not be waits.
func (x *exchange) watchStall(cancel context.CancelCauseFunc) *stallTimer {
	s := &stallTimer{timeout: x.stallTimeout()}
	if x.request.Route.Repeatable() && x.possibleRuns < x.request.Route.Attempts() {
		s.timer = time.AfterFunc(s.timeout, func() { cancel(errStalled) })
	}
	return s
}

func (x *exchange) stallTimeout() time.Duration {
	if x.request.Route.EventGapTarget == 0 {
		return defaultStallTimeout
	}
	return max(stallFactor*x.request.Route.EventGapTarget, minStallTimeout)
}

// stallTimer ends a call after a silence; one without a timer never does.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// Reset starts the silence anew.
func (s *stallTimer) Reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

// Stop lets the call go on.
func (s *stallTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
