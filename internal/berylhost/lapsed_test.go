package berylhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLapsedWithoutATick(t *testing.T) {
	is := is.New(t)
	m := &Membership{startedAt: time.Now().Add(-time.Hour)}
	is.True(m.Lapsed()) // no tick has run since the start an hour ago
	m.lastTick.Store(int64(time.Hour))
	is.Equal(m.Lapsed(), false)
}
