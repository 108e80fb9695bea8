package berylversion

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseTick is the time between two looks at the clocks, pauseThreshold the gap from which on the process has stood still.
	pauseTick      = 50 * time.Millisecond
	pauseThreshold = 250 * time.Millisecond
)

// pauseDetector notices that the process has stood still. Answers that arrived meanwhile look current when they are read
// afterwards. The zero value is ready to use.
type pauseDetector struct {
	mu sync.Mutex
	// lastLook is when the clocks were last looked at, endedAt when the last pause was noticed.
	lastLook, endedAt time.Time
}

// pausedWithin looks at the clocks and reports whether the process has stood still within the given time. The time of day counts
// as well, since the monotonic clock stops while the machine is suspended.
func (d *pauseDetector) pausedWithin(now time.Time, span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := max(now.Sub(d.lastLook), now.Round(0).Sub(d.lastLook.Round(0))); gap > pauseThreshold && !d.lastLook.IsZero() {
		d.endedAt = now
	}
	d.lastLook = now
	return !d.endedAt.IsZero() && now.Sub(d.endedAt) < span
}

// run looks at the clocks until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pausedWithin(time.Now(), 0)
		}
	}
}
