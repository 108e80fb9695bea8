package berylsched_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

const (
	compareUpstreams = 20
	compareSlots     = 8
	compareTime      = 40 * time.Second
	compareWarmup    = 10 * time.Second
	firstToken       = 20 * time.Millisecond
	shortCallTime    = 200 * time.Millisecond
	longCallTime     = 5 * time.Second
)

// comparisonLoad is the load of one comparison: short and long online arrivals per second, batch calls kept in flight and
// the number of upstreams that are slow at times.
type comparisonLoad struct {
	name         string
	short, long  float64
	batch        int
	slowUpstream int
}

// engine simulates an upstream: it runs as many calls as it has slots and queues the rest in order, without priorities.
type engine struct {
	slots chan struct{}
	slow  func() float64
}

// call runs for a time, or until stop is closed. It returns the time to the first token and whether the call has
// finished.
func (e *engine) call(busy time.Duration, stop <-chan struct{}) (time.Duration, bool) {
	start := time.Now()
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	factor := e.slow()
	first := time.Since(start) + time.Duration(factor*float64(firstToken))
	select {
	case <-time.After(time.Duration(factor * float64(busy))):
		return first, true
	case <-stop:
		time.Sleep(hop)
		return first, false
	}
}

// routingTrial runs one load under one routing and records the first-token times of short calls.
type routingTrial struct {
	fleet   *fleet
	engines map[string]*engine
	start   time.Time

	mu      sync.Mutex
	short   *hdrhistogram.Histogram
	batch   int
	yields  int
	refused int
}

func newTrial(routing berylconf.Routing, l comparisonLoad) *routingTrial {
	doc := document(compareUpstreams, compareSlots)
	doc.Rules.Routing = routing
	r := &routingTrial{fleet: newFleet(doc, hostNames...), engines: map[string]*engine{}, start: time.Now()}
	r.short = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i, u := range doc.Inventory.Upstreams {
		slow := func() float64 { return 1 }
		if i < l.slowUpstream {
			slow = func() float64 {
				if time.Since(r.start)/(5*time.Second)%2 == 1 {
					return 10
				}
				return 1
			}
		}
		r.engines[u.Name] = &engine{slots: make(chan struct{}, compareSlots), slow: slow}
	}
	return r
}

func (r *routingTrial) runCall(s *berylsched.Scheduler, class berylpermit.Class, long bool, busy time.Duration) {
	req := berylpermit.Request{Target: "m", Class: class, Long: long, Remaining: time.Minute}
	start := time.Now()
	p, refusal := s.Acquire(context.Background(), req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal != nil {
		r.refused++
		return
	}
	wait := time.Since(start)
	r.mu.Unlock()
	first, finished := r.engines[p.Upstream].call(busy, p.Yield)
	report := berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: first, HeldFor: time.Since(start) - wait}
	if !finished {
		report.Kind = beryloutcome.Yielded
	}
	p.Release(report)
	r.mu.Lock()
	switch {
	case start.Sub(r.start) < compareWarmup:
	case class == berylpermit.Batch && finished:
		r.batch++
	case class == berylpermit.Batch:
		r.yields++
	case !long:
		_ = r.short.RecordValue(int64((wait + first) / time.Microsecond))
	}
}

// startArrivals starts online calls at random times until the trial ends.
func (r *routingTrial) startArrivals(wg *sync.WaitGroup, seed uint64, perSecond float64, long bool, busy time.Duration) {
	if perSecond == 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 1))
	wg.Go(func() {
		for time.Since(r.start) < compareTime {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			host := hostNames[random.IntN(len(hostNames))]
			callTime := time.Duration((0.5 + random.Float64()) * float64(busy))
			wg.Go(func() { r.runCall(r.fleet.hosts[host], berylpermit.Online, long, callTime) })
		}
	})
}

func (r *routingTrial) run(l comparisonLoad) {
	defer r.fleet.stop()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	r.startArrivals(&wg, 1, l.short, false, shortCallTime)
	r.startArrivals(&wg, 2, l.long, true, longCallTime)
	for i := range l.batch {
		wg.Go(func() {
			for time.Since(r.start) < compareTime {
				r.runCall(r.fleet.hosts[hostNames[i%len(hostNames)]], berylpermit.Batch, false, 2*time.Second)
			}
		})
	}
	wg.Wait()
}

// TestCompareRouting prints, with -v, the latency of short online calls under each routing, with 160 slots and several
// loads. Under owner routing it must stay low under every load.
func TestCompareRouting(t *testing.T) {
	loads := []comparisonLoad{
		{name: "short alone", short: 200},
		{name: "short and batch", short: 200, batch: 120},
		{name: "short and long", short: 200, long: 30},
		{name: "short, long and batch", short: 200, long: 8, batch: 120},
		{name: "two slow upstreams", short: 200, slowUpstream: 2},
	}
	for _, l := range loads {
		p99 := make(map[berylconf.Routing]time.Duration)
		for _, routing := range []berylconf.Routing{berylconf.RoutingOwner, berylconf.RoutingLocalLeast, berylconf.RoutingRoundRobin} {
			t.Run(fmt.Sprintf("%s/%s", l.name, routing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newTrial(routing, l)
					r.run(l)
					at := func(q float64) time.Duration {
						return time.Duration(r.short.ValueAtQuantile(q)) * time.Microsecond
					}
					p99[routing] = at(99)
					t.Logf("short first token p50 %v p99 %v max %v of %d; batch %.1f/s, %d yields, %d refused",
						at(50), at(99), at(100), r.short.TotalCount(),
						float64(r.batch)/(compareTime-compareWarmup).Seconds(), r.yields, r.refused)
				})
			})
		}
		is := is.New(t)
		is.True(p99[berylconf.RoutingOwner] <= 2*firstToken) // short calls don't wait for batch, long or slow work
	}
}
