package berylhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLapsedWithoutATick(t *testing.T) {
	is := is.New(t)
	h := &Membership{epoch: time.Now().Add(-time.Hour)}
	is.True(h.Lapsed()) // the last tick was an hour ago
	h.lastTick.Store(int64(time.Hour))
	is.Equal(h.Lapsed(), false)
}
