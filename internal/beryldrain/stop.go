package beryldrain

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lateFactor is how many times the expected duration of a request has to fit before the end for it to start after the notice. A late
// request that is cut could have been answered by another host, which its caller is told to ask instead.
const lateFactor = 2

// watchInterval is how often a waiting request is checked during a stop.
const watchInterval = 20 * time.Millisecond

// ErrStopping ends the wait of a request that can no longer finish before the host stops.
var ErrStopping = errors.New("the host stops before the request can finish")

// Request is what is known of a request before it starts.
type Request struct {
	// Route is the name of its route.
	Route string
	// Tokens is the expected length of its answer in tokens; zero means unknown.
	Tokens int
	// Deadline is when it ends, whether it is answered or not.
	Deadline time.Time
}

// Stop is the planned stop of a host. Its zero value is a host that has not been told to stop; a nil Stop is one that never stops.
type Stop struct {
	durations durations

	mu sync.Mutex
	// begun ends when the stop begins; it is made when first asked for.
	begun      context.Context
	markBegun  context.CancelFunc
	stopping   bool
	noticeEnds time.Time
	end        time.Time
}

// Begin begins the stop. The balancer may pass on new connections until noticeEnds; requests that still run at the end are cut. A
// second call has no effect.
func (s *Stop) Begin(noticeEnds, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping, s.noticeEnds, s.end = true, noticeEnds, end
	s.initBegun()
	s.markBegun()
}

// initBegun makes the context that ends when the stop begins; the caller holds mu.
func (s *Stop) initBegun() {
	if s.begun == nil {
		s.begun, s.markBegun = context.WithCancel(context.Background())
	}
}

// Observe records how long a request took that was answered.
func (s *Stop) Observe(r Request, took time.Duration) {
	if s != nil {
		s.durations.observe(classOf(r.Route, r.Tokens), took)
	}
}

// Admits reports whether a request may start now. Without a stop, any may. One whose deadline is before the end is never cut. Others
// start if they are expected to finish; while too little is known of their class they start until the end of the notice.
func (s *Stop) Admits(r Request, now time.Time) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	stopping, noticeEnds, end := s.stopping, s.noticeEnds, s.end
	s.mu.Unlock()
	if !stopping {
		return true
	}
	if !now.Before(end) {
		return false
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(end) {
		return true
	}
	isLate := now.After(noticeEnds)
	expected, known := s.durations.expected(classOf(r.Route, r.Tokens))
	if !known {
		return !isLate
	}
	if isLate {
		expected *= lateFactor
	}
	return !now.Add(expected).After(end)
}

// AwaitStart returns a context that ends with ErrStopping as soon as the request may no longer start. The caller must call cancel.
func (s *Stop) AwaitStart(parent context.Context, r Request) (ctx context.Context, cancel context.CancelFunc) {
	if s == nil {
		return context.WithCancel(parent)
	}
	ctx, cancelCause := context.WithCancelCause(parent)
	s.mu.Lock()
	s.initBegun()
	begun := s.begun
	s.mu.Unlock()
	detach := context.AfterFunc(begun, func() { s.watch(ctx, cancelCause, r) })
	return ctx, func() {
		detach()
		cancelCause(nil)
	}
}

// watch cancels the wait of a request as soon as it may no longer start.
func (s *Stop) watch(ctx context.Context, cancel context.CancelCauseFunc, r Request) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for s.Admits(r, time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	cancel(ErrStopping)
}
