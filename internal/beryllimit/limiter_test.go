package beryllimit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// cluster connects several limiters in memory, with faults that a test can switch on; it runs on fake time.
type cluster struct {
	hosts    []string
	limiters map[string]*Limiter
	caller   *Account

	mu     sync.Mutex
	live   map[string][]string
	frozen map[string]bool
}

// inCluster runs f with n limiters and one client account.
func inCluster(n int, caller Account, f func(c *cluster)) {
	c := &cluster{
		limiters: map[string]*Limiter{},
		caller:   &caller,
		live:     map[string][]string{},
		frozen:   map[string]bool{},
	}
	for i := range n {
		c.hosts = append(c.hosts, fmt.Sprintf("entry-%d", i+1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, host := range c.hosts {
		limiter := New(Config{
			Self:      host,
			LiveHosts: func() []string { return c.liveFor(host) },
			Account:   func(name string) (Account, bool) { return caller, name == caller.Name },
			RequestLease: func(ctx context.Context, to string, req LeaseRequest) (LeaseGrant, error) {
				return c.forward(ctx, host, to, req)
			},
		})
		c.limiters[host] = limiter
		background.Go(func() { limiter.Run(ctx) })
	}
	f(c)
}

func (c *cluster) liveFor(host string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if live := c.live[host]; live != nil {
		return live
	}
	return c.hosts
}

func (c *cluster) forward(ctx context.Context, from, to string, req LeaseRequest) (LeaseGrant, error) {
	c.mu.Lock()
	frozen := c.frozen[to] || c.frozen[from]
	c.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return LeaseGrant{}, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	return c.limiters[to].HandleLeaseRequest(ctx, from, req)
}

func (c *cluster) owner() string {
	return Owner(c.caller.Name, c.hosts)
}

// others returns all hosts but the account's owner.
func (c *cluster) others() []string {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(h string) bool { return h == c.owner() })
}

func (c *cluster) freeze(host string, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen[host] = frozen
}

// setLive sets the list of live hosts that one host sees.
func (c *cluster) setLive(host string, live []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live[host] = live
}

// sendRequests sends a request every gap to the host that pick returns, and counts those admitted and refused.
func (c *cluster) sendRequests(span, gap time.Duration, tokens int, pick func(i int) string) (admitted, refused int) {
	start := time.Now()
	for i := 0; time.Since(start) < span; i++ {
		release, refusal := c.limiters[pick(i)].Take(context.Background(), c.caller, tokens)
		if refusal == nil {
			admitted++
			release()
		} else {
			refused++
		}
		time.Sleep(gap)
	}
	return admitted, refused
}

// roundRobin spreads requests over the hosts that are not frozen.
func (c *cluster) roundRobin(i int) string {
	running := slices.DeleteFunc(slices.Clone(c.hosts), func(h string) bool { return c.frozen[h] })
	return running[i%len(running)]
}

func TestRatesHoldOverHosts(t *testing.T) {
	requests := Account{Name: "counter", RequestsPerSecond: 20}
	tokens := Account{Name: "counter", TokensPerMinute: 12000}
	for _, tc := range []struct {
		name   string
		caller Account
		tokens int
		skew   int
		fault  func(c *cluster)
		least  int
		most   int
	}{
		{name: "even", caller: requests, skew: 1, least: 200, most: 235},
		{name: "one host gets all", caller: requests, skew: 1 << 30, least: 200, most: 235},
		{name: "one host gets most", caller: requests, skew: 7, least: 200, most: 235},
		{name: "tokens, even", caller: tokens, tokens: 100, skew: 1, least: 120, most: 145},
		{name: "tokens, one host gets all", caller: tokens, tokens: 100, skew: 1 << 30, least: 120, most: 145},
		{
			name: "frozen owner, even", caller: requests, skew: 1,
			fault: func(c *cluster) { c.freeze(c.owner(), true) },
			least: 160, most: 185,
		},
		{
			name: "owner lost", caller: requests, skew: 1,
			fault: func(c *cluster) {
				c.freeze(c.owner(), true)
				for _, host := range c.others() {
					c.setLive(host, c.others())
				}
			},
			least: 200, most: 240,
		},
		{
			name: "two owners", caller: requests, skew: 1,
			fault: func(c *cluster) {
				for _, host := range c.others()[:3] {
					c.setLive(host, c.others())
				}
			},
			least: 400, most: 440,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				inCluster(6, tc.caller, func(c *cluster) {
					if tc.fault != nil {
						tc.fault(c)
					}
					pick := func(i int) string { return c.roundRobin(i / tc.skew) }
					admitted, _ := c.sendRequests(10*time.Second, 3*time.Millisecond, tc.tokens, pick)
					t.Log("admitted", admitted)
					is.True(admitted >= tc.least)
					is.True(admitted <= tc.most)
				})
			})
		})
	}
}

func TestCallerWithinItsLimitsIsNeverRefused(t *testing.T) {
	for _, caller := range []Account{
		{Name: "slow", RequestsPerSecond: 1},
		{Name: "single", Concurrent: 1},
		{Name: "tokens", TokensPerMinute: 6000},
	} {
		t.Run(caller.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				inCluster(6, caller, func(c *cluster) {
					admitted, refused := c.sendRequests(100*time.Second, 1010*time.Millisecond, 90, c.roundRobin)
					is.True(admitted > 90)
					is.Equal(refused, 0)
				})
			})
		})
	}
}

func TestSequentialCallerKeepsItsOneSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(6, Account{Name: "single", Concurrent: 1}, func(c *cluster) {
			for i := range 300 { // Each request follows the last one at once, on another host.
				release, refusal := c.limiters[c.roundRobin(i)].Take(context.Background(), c.caller, 0)
				is.True(refusal == nil)
				release()
			}
		})
	})
}

func TestConcurrencyHoldsOverHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(6, Account{Name: "counter", Concurrent: 5}, func(c *cluster) {
			var mu sync.Mutex
			var inFlight, most, admitted int
			var requests sync.WaitGroup
			for i := range 3000 {
				requests.Go(func() {
					release, refusal := c.limiters[c.roundRobin(i*i)].Take(context.Background(), c.caller, 0)
					if refusal != nil {
						return
					}
					mu.Lock()
					inFlight++
					admitted++
					most = max(most, inFlight)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					mu.Lock()
					inFlight--
					mu.Unlock()
					release()
				})
				time.Sleep(2 * time.Millisecond)
			}
			requests.Wait()
			t.Log("most in flight", most, "admitted", admitted)
			is.True(most <= 5)
			is.True(admitted >= 400) // 5 slots over 6 s can run 600 requests of 50 ms each.
		})
	})
}

func TestLostHostFreesItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(3, Account{Name: "counter", Concurrent: 1}, func(c *cluster) {
			lost := c.hosts[0]
			other := c.hosts[1]
			if lost == c.owner() {
				lost = c.hosts[2]
			}
			_, refusal := c.limiters[lost].Take(context.Background(), c.caller, 0)
			is.True(refusal == nil)
			c.freeze(lost, true)
			_, refusal = c.limiters[other].Take(context.Background(), c.caller, 0)
			is.Equal(refusal.Code, beryloutcome.CodeOverLimit)
			time.Sleep(2 * leaseDuration)
			_, refusal = c.limiters[other].Take(context.Background(), c.caller, 0)
			is.True(refusal == nil)
		})
	})
}

func TestFrozenOwnerDelaysOnlyTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(3, Account{Name: "counter", RequestsPerSecond: 60}, func(c *cluster) {
			c.freeze(c.owner(), true)
			host := c.hosts[0]
			if host == c.owner() {
				host = c.hosts[1]
			}
			for i := range 10 {
				start := time.Now()
				_, refusal := c.limiters[host].Take(context.Background(), c.caller, 0)
				is.True(refusal == nil)
				is.Equal(time.Since(start) > 0, i == 0)
				is.True(time.Since(start) <= leaseRequestTimeout)
			}
		})
	})
}

func TestRetryAfterIsSufficient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(2, Account{Name: "counter", TokensPerMinute: 600}, func(c *cluster) {
			limiter := c.limiters[c.hosts[0]]
			_, refusal := limiter.Take(context.Background(), c.caller, 600)
			is.True(refusal == nil)
			_, refusal = limiter.Take(context.Background(), c.caller, 300)
			is.Equal(refusal.RetryAfter.Round(time.Second), 30*time.Second)
			time.Sleep(refusal.RetryAfter / 3)
			_, smaller := limiter.Take(context.Background(), c.caller, 50)
			is.True(smaller == nil) // A large request that was refused does not block a small one.
			time.Sleep(refusal.RetryAfter)
			_, refusal = limiter.Take(context.Background(), c.caller, 300)
			is.True(refusal == nil)
			_, refusal = limiter.Take(context.Background(), c.caller, 601)
			is.Equal(refusal.RetryAfter, time.Duration(0)) // A retry can't succeed: the request is over the burst.
		})
	})
}

func TestIdleCallersAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inCluster(1, Account{Name: "counter", RequestsPerSecond: 5}, func(c *cluster) {
			limiter := c.limiters[c.hosts[0]]
			_, refusal := limiter.Take(context.Background(), c.caller, 0)
			is.True(refusal == nil)
			limiter.evictIdle(time.Now().Add(idleRetention))
			is.Equal(len(limiter.accounts), 1)
			limiter.release(limiter.quotas["counter"], c.caller, &limits{})
			limiter.evictIdle(time.Now().Add(idleRetention + time.Second))
			is.Equal(len(limiter.quotas), 0)
			is.Equal(len(limiter.accounts), 0)
		})
	})
}

// TestRatesHoldUnderRandomFaults freezes random hosts while random traffic runs, and bounds what is admitted.
func TestRatesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(r, "hosts")
		rate := rapid.IntRange(1, 50).Draw(r, "rate")
		picks := rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 30).Draw(r, "picks")
		faults := rapid.SliceOfN(rapid.IntRange(-1, n-1), 20, 20).Draw(r, "faults")
		synctest.Test(t, func(*testing.T) {
			inCluster(n, Account{Name: "counter", RequestsPerSecond: float64(rate)}, func(c *cluster) {
				admitted := 0
				start := time.Now()
				for _, fault := range faults {
					if fault >= 0 {
						c.freeze(c.hosts[fault], true)
					}
					stepAdmitted, _ := c.sendRequests(500*time.Millisecond, 5*time.Millisecond, 0, func(i int) string { return c.hosts[picks[i%len(picks)]] })
					admitted += stepAdmitted
					if fault >= 0 {
						c.freeze(c.hosts[fault], false)
					}
				}
				// What the owner leases and the shares of hosts that can't reach it each stay within the rate.
				seconds := time.Since(start).Seconds()
				most := 2*float64(rate)*seconds + 2*float64(rate) + 2*float64(n)
				if float64(admitted) > most {
					r.Fatalf("admitted %d in %.1f s, more than %.0f", admitted, seconds, most)
				}
			})
		})
	})
}
