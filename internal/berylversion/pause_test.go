package berylversion

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a host that trusts what it read before it stood still.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	var d pauseDetector
	at := time.Now()
	for range 100 {
		is.True(!d.pausedWithin(at, time.Second))
		at = at.Add(100 * time.Millisecond)
	}
	at = at.Add(200 * time.Millisecond)
	is.True(d.pausedWithin(at, time.Second))
	for range 9 {
		at = at.Add(100 * time.Millisecond)
		is.True(d.pausedWithin(at, time.Second))
	}
	at = at.Add(100 * time.Millisecond)
	is.True(!d.pausedWithin(at, time.Second))
}

// Guards against a suspended machine, whose monotonic clock has not advanced.
func TestPauseDetectorAfterSuspension(t *testing.T) {
	is := is.New(t)
	before := time.Unix(1000, 0)
	var d pauseDetector
	is.True(!d.pausedWithin(before, time.Second))
	is.True(d.pausedWithin(before.Add(3*time.Second), time.Second))
}
