package berylserve

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// leavingHold is how long an upstream gets no new calls after an answer has said that it leaves. The inventory doesn't tell
// when another process has taken its place, so it is tried again then; operators name it in the rules to take it out for good.
const leavingHold = time.Minute

// leavingUpstreams holds the names of the upstreams of which an answer has said that they leave. The zero value is ready to
// use.
type leavingUpstreams struct {
	mu      sync.Mutex
	until   map[string]time.Time
	changed chan struct{} // the channel that names returns; nil if it has not been called since the last change
}

// mark holds an upstream from now on and reports whether it was not held before.
func (l *leavingUpstreams) mark(now time.Time, upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[string]time.Time)
	}
	held := now.Before(l.until[upstream])
	if held {
		return false
	}
	l.until[upstream] = now.Add(leavingHold)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return true
}

// names returns the sorted names of the held upstreams, how long until the first of them is tried again (zero if none is
// held), and a channel that is closed when another one is marked.
func (l *leavingUpstreams) names(now time.Time) ([]string, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	next := time.Duration(0)
	for name, until := range l.until {
		left := until.Sub(now)
		if left <= 0 {
			delete(l.until, name)
		} else if next == 0 || left < next {
			next = left
		}
	}
	return slices.Sorted(maps.Keys(l.until)), next, l.changed
}
