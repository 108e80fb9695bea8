package berylserve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an upstream that is kept out for ever after another process has taken its place, or tried again too soon.
func TestLeavingUpstreamsAreTriedAgain(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var l leavingUpstreams
	names, next, changed := l.names(start)
	is.Equal(len(names), 0)
	is.Equal(next, time.Duration(0))
	is.True(l.mark(start, "b"))
	<-changed
	is.True(!l.mark(start.Add(time.Second), "b")) // held already
	is.True(l.mark(start.Add(time.Second), "a"))
	names, next, _ = l.names(start.Add(time.Second))
	is.Equal(names, []string{"a", "b"})
	is.Equal(next, leavingHold-time.Second)
	names, next, _ = l.names(start.Add(leavingHold))
	is.Equal(names, []string{"a"})
	is.Equal(next, time.Second)
	is.True(l.mark(start.Add(leavingHold), "b"))
}
