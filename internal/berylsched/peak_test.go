package berylsched_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// peakLoad runs a fleet of hosts in five regions, where each upstream has an owner in its own region, under online load
// that the load balancer spreads unevenly.
type peakLoad struct {
	hosts, upstreams, slots int
	// load is the offered online load as a share of all slots.
	load float64
	// batch is the number of batch items that each host tries to run at any time.
	batch int

	answered, refused, late, yielded atomic.Int64
	// batchTime is the total time that items have run since settledAt, in nanoseconds.
	batchTime atomic.Int64
	settledAt time.Time
}

const (
	peakCallTime = 500 * time.Millisecond
	// peakMaxQueueWait is the MaxQueueWait of online requests; a longer wait for a permit counts as late.
	peakMaxQueueWait = 150 * time.Millisecond
	peakItemTime     = 2 * time.Second
	// peakSettleTime is the time after which newly started owners grant batch work.
	peakSettleTime = 2 * time.Second
)

func (p *peakLoad) document() (berylconf.Document, []string) {
	var doc berylconf.Document
	var names []string
	doc.Revision = 1
	for i := range p.hosts {
		names = append(names, fmt.Sprintf("host-%d", i))
		doc.Inventory.Hosts = append(doc.Inventory.Hosts, berylconf.Host{Name: names[i], Region: fmt.Sprintf("r-%d", i%5)})
	}
	for i := range p.upstreams {
		doc.Inventory.Upstreams = append(doc.Inventory.Upstreams, berylconf.Upstream{
			Name: fmt.Sprintf("u-%d", i), Region: fmt.Sprintf("r-%d", i%5), Models: []string{"m"}, Slots: p.slots,
		})
	}
	return doc, names
}

func (p *peakLoad) run(span time.Duration) {
	doc, names := p.document()
	p.settledAt = time.Now().Add(peakSettleTime)
	f := newFleet(doc, names...)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var wg sync.WaitGroup
	perSecond := p.load * float64(p.upstreams*p.slots) / peakCallTime.Seconds()
	for i, name := range names {
		s := f.hosts[name]
		random := rand.New(rand.NewPCG(uint64(i), 7))
		// The load balancer's hashing gives a host between a third and five thirds of its share.
		rate := perSecond / float64(p.hosts) * (0.33 + 1.34*random.Float64())
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				busy := time.Duration((0.5 + random.Float64()) * float64(peakCallTime))
				wg.Go(func() { p.runOnline(s, busy) })
			}
		})
		for range p.batch {
			wg.Go(func() {
				for ctx.Err() == nil {
					p.runItem(ctx, s)
				}
			})
		}
	}
	wg.Wait()
	f.stop()
}

type acquirer interface {
	Acquire(ctx context.Context, req berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal)
}

func (p *peakLoad) runOnline(s acquirer, busy time.Duration) {
	began := time.Now()
	permit, _ := s.Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: 5 * time.Second, Queue: true, MaxQueueWait: peakMaxQueueWait})
	if permit == nil {
		p.refused.Add(1)
		return
	}
	if time.Since(began) > peakMaxQueueWait {
		p.late.Add(1)
	}
	p.answered.Add(1)
	time.Sleep(busy)
	permit.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: busy, TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, Tokens: 20})
}

// runItem runs one item to its end and resumes it after each yield.
func (p *peakLoad) runItem(ctx context.Context, s acquirer) {
	remaining := peakItemTime
	for remaining > 0 {
		permit, _ := s.Acquire(ctx, berylpermit.Request{Target: "m", Class: berylpermit.Batch, Remaining: 30 * time.Second, Queue: true})
		if permit == nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		began := time.Now()
		kind := beryloutcome.Answered
		select {
		case <-permit.Yield:
			kind = beryloutcome.Yielded
			p.yielded.Add(1)
		case <-time.After(remaining):
		}
		remaining -= time.Since(began)
		if began.Before(p.settledAt) {
			began = p.settledAt
		}
		p.batchTime.Add(int64(max(time.Since(began), 0)))
		permit.Release(berylpermit.Report{Kind: kind, HeldFor: time.Since(began)})
	}
}

// TestUnevenHashOverSmallOwners checks that a request finds a free slot anywhere in the fleet. Each owner has just one or
// two upstreams, and load balancing by hash gives hosts unequal load, so that the local slots are often all taken.
func TestUnevenHashOverSmallOwners(t *testing.T) {
	for _, tt := range []struct {
		load    float64
		refused float64
		late    float64
	}{
		{0.6, 0.001, 0.001},
		{0.75, 0.005, 0.005},
		{0.9, 0.03, 0.03},
	} {
		t.Run(fmt.Sprint(tt.load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := peakLoad{hosts: 30, upstreams: 30, slots: 7, load: tt.load}
				p.run(10 * time.Second)
				all := float64(p.answered.Load() + p.refused.Load())
				t.Logf("%.0f requests, refused %.4f, late %.4f", all, float64(p.refused.Load())/all, float64(p.late.Load())/all)
				is.True(float64(p.refused.Load()) <= tt.refused*all)
				is.True(float64(p.late.Load()) <= tt.late*all)
			})
		})
	}
}

// TestCounterPeakBesideBatch checks that batch work uses the slots that online work leaves idle, and that online work does
// not wait for it.
func TestCounterPeakBesideBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := peakLoad{hosts: 30, upstreams: 30, slots: 7, load: 0.5, batch: 10}
		p.run(10 * time.Second)
		all := float64(p.answered.Load() + p.refused.Load())
		// Slot time that online work leaves idle. Batch work can't use all of it: each yield costs a round trip to an owner.
		idleTime := 0.5 * 30 * 7 * (10 - peakSettleTime.Seconds())
		usedTime := time.Duration(p.batchTime.Load()).Seconds()
		t.Logf("%.0f requests, refused %.4f, late %.4f; items ran %.0f of %.0f s, yielded %d", all, float64(p.refused.Load())/all, float64(p.late.Load())/all, usedTime, idleTime, p.yielded.Load())
		is.True(float64(p.refused.Load()) <= 0.001*all)
		is.True(float64(p.late.Load()) <= 0.005*all)
		is.True(usedTime >= 0.9*idleTime)
	})
}
