package berylprocess

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitSharedByHosts checks that the rate limit of a client account applies to the sum of its requests at all hosts.
func TestLimitSharedByHosts(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 3, engines: 1, slots: 32, engineFlags: []string{"--token-time", "1ms", "--prefill-time", "1ms"}})
	const rate = 10
	f.document.Inventory.Callers[0].RequestsPerSecond = rate
	f.document.Revision = 0
	f.applyDocument()
	f.eventually("the limit is in force at every host", func() bool {
		for _, h := range f.hosts {
			if !f.exceedsLimit(h) {
				return false
			}
		}
		return true
	})
	answered := 0
	begin := time.Now()
	for n := 0; time.Since(begin) < 4*time.Second; n++ {
		r := f.chat(f.hosts[n%3], fmt.Sprint("limited ", n), 2, false)
		if r.status == http.StatusOK {
			answered++
			continue
		}
		is.Equal(r.status, http.StatusTooManyRequests)
		is.Equal(r.code(), "over-limit")
		is.True(r.header.Get("Retry-After") != "")
	}
	t.Logf("%d answered in %s", answered, time.Since(begin))
	// At most the rate over the 4 s, plus a burst of one second at the owner of the limit and at each host that it lends a share to.
	is.True(answered <= rate*4+rate*4)
	is.True(answered >= rate*4/2)
}

// exceedsLimit reports whether a burst of 40 requests at the host is refused because of the rate limit.
func (f *fleet) exceedsLimit(h *host) bool {
	for n := range 40 {
		if f.chat(h, fmt.Sprint("burst ", n), 1, false).status == http.StatusTooManyRequests {
			return true
		}
	}
	return false
}
