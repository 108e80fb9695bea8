package berylfleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfleet"
)

// TestIdleHostsLeaveThePlatformAlone checks that idle hosts make at most 10 calls to the platform per minute and host.
func TestIdleHostsLeaveThePlatformAlone(t *testing.T) {
	is := is.New(t)
	const (
		hosts          = 3
		span           = 18 * time.Second
		callsPerMinute = 10
		maxCalls       = callsPerMinute * hosts * int(span/time.Second) / 60
		settleTime     = 2 * time.Second
	)
	fleet := startFleet(t, berylfleet.Config{Hosts: hosts, Engines: 1, Slots: 1})
	time.Sleep(settleTime)
	before := fleet.Platform.Calls()
	time.Sleep(span)
	after := fleet.Platform.Calls()
	t.Logf("%+v, then %+v", before, after)
	is.True(after.Total()-before.Total() <= maxCalls)
}
