package berylpath

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// goodCarrierTime is how long a host that has carried a connection is asked before others.
	goodCarrierTime = 5 * time.Second
	// badCarrierTime is how long a host that has not carried a connection is not asked.
	badCarrierTime = 2 * time.Second
)

// carrierChoice chooses which hosts are asked to carry a connection. The zero value is ready to use.
type carrierChoice struct {
	mu sync.Mutex
	// goodUntil and badUntil hold what is known of hosts, by name.
	goodUntil, badUntil map[string]time.Time
}

func (c *carrierChoice) succeeded(now time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goodUntil == nil {
		c.goodUntil = make(map[string]time.Time)
	}
	c.goodUntil[host] = now.Add(goodCarrierTime)
	delete(c.badUntil, host)
}

func (c *carrierChoice) failed(now time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.badUntil == nil {
		c.badUntil = make(map[string]time.Time)
	}
	c.badUntil[host] = now.Add(badCarrierTime)
	delete(c.goodUntil, host)
}

// order returns up to maxCarrierTries of the hosts in the order in which they are asked: those that have carried connections
// lately, first in the upstream's failure domain, so that the bytes cross no further boundary; then one of each failure domain
// in turn, since the hosts of one are often isolated together. Otherwise the order is random, which spreads the load.
func (c *carrierChoice) order(now time.Time, hosts []Carrier, domain string) []Carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	var near, far []Carrier
	var domains []string
	untried := make(map[string][]Carrier)
	for _, i := range rand.Perm(len(hosts)) {
		h := hosts[i]
		switch {
		case now.Before(c.badUntil[h.Host]):
		case now.Before(c.goodUntil[h.Host]) && h.FailureDomain == domain:
			near = append(near, h)
		case now.Before(c.goodUntil[h.Host]):
			far = append(far, h)
		default:
			if untried[h.FailureDomain] == nil {
				domains = append(domains, h.FailureDomain)
			}
			untried[h.FailureDomain] = append(untried[h.FailureDomain], h)
		}
	}
	order := append(near, far...)
	for i, d := range domains {
		if d == domain {
			domains[0], domains[i] = domains[i], domains[0]
		}
	}
	for len(order) < maxCarrierTries && len(untried) > 0 {
		for _, d := range domains {
			if list := untried[d]; len(list) > 0 {
				order = append(order, list[0])
				untried[d] = list[1:]
			} else {
				delete(untried, d)
			}
		}
	}
	return order[:min(len(order), maxCarrierTries)]
}

// expire forgets what is out of date. The caller holds mu.
func (c *carrierChoice) expire(now time.Time) {
	for _, m := range []map[string]time.Time{c.goodUntil, c.badUntil} {
		for host, until := range m {
			if !now.Before(until) {
				delete(m, host)
			}
		}
	}
}
