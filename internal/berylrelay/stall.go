package berylrelay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
)

// stallTimeout returns how long the upstream may be silent.
func (x *exchange) stallTimeout() time.Duration {
	if x.request.Route.EventGapTarget == 0 {
		return defaultStallTimeout
	}
	return max(stallFactor*x.request.Route.EventGapTarget, minStallTimeout)
}

// mayRunAgain reports whether another upstream may run the request, from its start or after the last event, if as many as runs may
// have run it.
func (x *exchange) mayRunAgain(runs int) bool {
	if x.started && !x.hasEvent {
		return false
	}
	return x.request.Route.Repeatable() && runs < x.request.Route.Attempts() && x.sends < maxSends
}

// watchStall starts a timer that ends the call if its upstream is silent for too long. The last call that may run the request gets
// none, and no call is ended while no other upstream is left that could run it: the upstream may go on until the deadline.
func (x *exchange) watchStall(last bool, cancel context.CancelCauseFunc) *stallTimer {
	if last {
		return nil
	}
	s := &stallTimer{timeout: x.stallTimeout(), cancel: cancel}
	s.hasOther = x.otherUpstreams(&s.progressed)
	s.start()
	return s
}

// otherUpstreams returns a function that reports whether there is an upstream that could run the request after the call that
// begins now. begun says whether the caller has got new events of this call, which other versions do not continue. The function may
// be called from any goroutine.
func (x *exchange) otherUpstreams(begun *atomic.Bool) func() bool {
	registry, versions, service := x.Upstreams, x.Versions, x.service
	keepsVersion, hasOrigin, version := x.keepsVersion(), x.hasOrigin, x.calledUpstream.Version
	if hasOrigin {
		version = x.origin.Version
	}
	tried := slices.Clone(x.triedUpstreams)
	return func() bool {
		return hasUntried(registry, service, tried, func(u *berylroute.Upstream) bool {
			return !keepsVersion || u.Version == version || !hasOrigin && !begun.Load() && versions.MayBegin(u.Service, u.Version)
		})
	}
}

// hasUntried reports whether the registry has an upstream of the service that may get new work, is not among the tried ones and is
// accepted.
func hasUntried(registry *berylroute.Registry, service string, tried []string, accepts func(*berylroute.Upstream) bool) bool {
	for id, u := range registry.All() {
		if u.Service == service && !u.Leaving && !slices.Contains(tried, id) && accepts(&u) {
			return true
		}
	}
	return false
}

// stallTimer measures the silence of the upstream during one call and ends the call if it lasts too long. A nil timer never does.
type stallTimer struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// hasOther reports whether another upstream could run the request.
	hasOther func() bool
	// progressed is set once the call has brought new events.
	progressed atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// endsAt is when the period of silence ends; the zero time means that there is none.
	endsAt time.Time
}

// start begins a new period of silence.
func (s *stallTimer) start() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = time.Now().Add(s.timeout)
	if s.timer == nil {
		s.timer = time.AfterFunc(s.timeout, s.expire)
		return
	}
	s.timer.Reset(s.timeout)
}

// pauseForEvent ends the period of silence while a new event is passed on.
func (s *stallTimer) pauseForEvent() {
	if s != nil {
		s.progressed.Store(true)
		s.stop()
	}
}

// stop ends the period of silence.
func (s *stallTimer) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = time.Time{}
	if s.timer != nil {
		s.timer.Stop()
	}
}

// expire ends the call, or begins another period if no other upstream could run the request now. It does neither if the timer was
// stopped or started anew since it has fired.
func (s *stallTimer) expire() {
	hasOther := s.hasOther()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch now := time.Now(); {
	case s.endsAt.IsZero() || now.Before(s.endsAt):
	case hasOther:
		s.cancel(errStalled)
	default:
		s.endsAt = now.Add(s.timeout)
		s.timer.Reset(s.timeout)
	}
}
