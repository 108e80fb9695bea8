package berylsched

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	benchSlots = 8
	// benchTargetSize is how many upstreams serve one target.
	benchTargetSize = 50
)

// fullOwner returns an Owner of that many upstreams with all slots taken and that many online requests waiting, the time
// and the last sequence number. A negative number of waiting requests leaves that many slots free instead.
func fullOwner(upstreams, waiting int) (*Owner, time.Time, uint64) {
	o, now := new(Owner), time.Unix(1000, 0)
	config := Config{LongShare: 0.5}
	var names []string
	for i := range upstreams {
		name := fmt.Sprintf("upstream-%03d", i)
		names = append(names, name)
		config.Upstreams = append(config.Upstreams, Upstream{Name: name, Slots: benchSlots, Targets: []string{benchTarget(i)}})
	}
	o.Configure(now, config)
	o.SetOwned(now, names)
	seq := uint64(0)
	for i := range upstreams*benchSlots + min(waiting, 0) {
		seq++
		o.Request(now, benchRequest(seq, benchTarget(i%upstreams)))
	}
	for i := range max(waiting, 0) {
		seq++
		o.Request(now, benchRequest(seq, benchTarget(i*benchTargetSize%upstreams)))
	}
	return o, now, seq
}

func benchTarget(i int) string {
	return fmt.Sprintf("model-%d", i/benchTargetSize)
}

func benchRequest(seq uint64, target string) berylpermit.Request {
	return berylpermit.Request{
		ID:        berylpermit.ID{Host: "entry-1", Boot: 1, Seq: seq},
		Target:    target,
		Queue:     true,
		Remaining: time.Hour + time.Duration(seq%1000)*time.Millisecond,
	}
}

// BenchmarkDecision measures two decisions: a release, which grants the slot to a waiting request, and a new request,
// which is queued.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{60, 600} {
		for _, waiting := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", upstreams, waiting), func(b *testing.B) {
				o, now, seq := fullOwner(upstreams, waiting)
				report := berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second, TimeToFirstToken: 10 * time.Millisecond}
				var held []berylpermit.ID
				for id := range o.permits {
					held = append(held, id)
				}
				next := 0
				b.ReportAllocs()
				for b.Loop() {
					id := held[next%len(held)]
					target := o.permits[id].upstream.targets[0].name
					actions := o.Release(now, berylpermit.Release{ID: id, Report: report})
					if len(actions) != 1 || actions[0].Reply.Verdict != berylpermit.Granted {
						b.Fatal("the slot was not granted to a waiting request")
					}
					held[next%len(held)] = actions[0].Reply.ID
					next++
					seq++
					o.Request(now, benchRequest(seq, target))
				}
			})
		}
	}
}

// BenchmarkDecisionWithAccounts is BenchmarkDecision with requests of many accounts, of which one sends every second one,
// and with a full queue.
func BenchmarkDecisionWithAccounts(b *testing.B) {
	for _, accounts := range []int{2, 86, 3700} {
		for _, waiting := range []int{100, 1000, 8000} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, waiting), func(b *testing.B) {
				o, now, seq := fullOwner(50, 0)
				request := func() {
					seq++
					req := benchRequest(seq, "model-0")
					req.Account, req.Tokens = "hot", 100+int(seq%7)*50
					if n := splitMix64(seq); n%2 == 0 {
						req.Account = fmt.Sprint("account-", n/2%uint64(accounts-1))
					}
					o.Request(now, req)
				}
				for range waiting {
					request()
				}
				report := berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second, TimeToFirstToken: 10 * time.Millisecond}
				var held []berylpermit.ID
				for id := range o.permits {
					held = append(held, id)
				}
				next := 0
				b.ReportAllocs()
				for b.Loop() {
					actions := o.Release(now, berylpermit.Release{ID: held[next%len(held)], Report: report})
					if len(actions) != 1 || actions[0].Reply.Verdict != berylpermit.Granted {
						b.Fatal("the slot was not granted to a waiting request")
					}
					held[next%len(held)] = actions[0].Reply.ID
					next++
					request()
				}
				b.ReportMetric(float64(o.targets["model-0"].onlineSharing.entries), "entries")
			})
		}
	}
}

// BenchmarkGrant measures one request that gets a slot and its release, with all upstreams half full.
func BenchmarkGrant(b *testing.B) {
	for _, upstreams := range []int{60, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			o, now, seq := fullOwner(upstreams, -upstreams*benchSlots/2)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				req := benchRequest(seq, "model-0")
				o.Request(now, req)
				o.Release(now, berylpermit.Release{ID: req.ID})
			}
		})
	}
}

// BenchmarkGrantWithLimits is BenchmarkGrant with upstreams that all name a limit, which they report again and again.
func BenchmarkGrantWithLimits(b *testing.B) {
	for _, upstreams := range []int{60, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			o, now, seq := fullOwner(upstreams, -upstreams*benchSlots/2)
			for i := range upstreams {
				o.ReportStatement(now, benchLimit(fmt.Sprintf("upstream-%03d", i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				seq++
				req := benchRequest(seq, "model-0")
				o.Request(now, req)
				o.ReportStatement(now, benchLimit("upstream-000"))
				o.Release(now, berylpermit.Release{ID: req.ID})
			}
		})
	}
}

func benchLimit(upstream string) berylpermit.StatementReport {
	return berylpermit.StatementReport{
		Upstream: upstream, Statement: berylpermit.Statement{Limit: berylpermit.Limit{Known: true, Limited: true, PerSecond: 100}},
	}
}

// BenchmarkAcquire measures Acquire and Release of a permit from the host's own Owner, through the broker and its loop.
func BenchmarkAcquire(b *testing.B) {
	for _, upstreams := range []int{60, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			var doc berylconf.Document
			for i := range upstreams {
				doc.Inventory.Upstreams = append(doc.Inventory.Upstreams, berylconf.Upstream{
					Name: fmt.Sprint("upstream-", i), Models: []string{benchTarget(i)}, Slots: benchSlots,
				})
			}
			s := New(Settings{Host: "entry-1", Boot: 1})
			s.SetConfig(doc)
			s.SetMembers([]Member{{Name: "entry-1", Boot: 1}})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { s.Run(ctx) })
			b.ReportAllocs()
			for b.Loop() {
				p, refusal := s.Acquire(ctx, berylpermit.Request{Target: "model-0", Remaining: time.Minute, PrefixHash: 7})
				if refusal != nil {
					b.Fatal(refusal)
				}
				p.Release(berylpermit.Report{Kind: beryloutcome.Answered, HeldFor: time.Second})
			}
			cancel()
			wg.Wait()
		})
	}
}

// BenchmarkWaiting reports the memory that one waiting call to Acquire takes on its own host, goroutines included.
func BenchmarkWaiting(b *testing.B) {
	few, many := waitingBytes(b, 500), waitingBytes(b, 2500)
	for b.Loop() {
	}
	b.ReportMetric(float64(many-few)/2000, "B/waiting")
	b.ReportMetric(0, "ns/op")
}

// waitingBytes returns the memory in use while that many callers wait for the one slot of an upstream.
func waitingBytes(b *testing.B, callers int) int64 {
	var doc berylconf.Document
	doc.Inventory.Upstreams = []berylconf.Upstream{{Name: "upstream-1", Models: []string{"m"}, Slots: 1}}
	s := New(Settings{Host: "entry-1", Boot: 1})
	s.SetConfig(doc)
	s.SetMembers([]Member{{Name: "entry-1", Boot: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	req := berylpermit.Request{Target: "m", Remaining: time.Hour}
	if _, refusal := s.Acquire(ctx, req); refusal != nil {
		b.Fatal(refusal)
	}
	before := memoryInUse()
	for range callers {
		wg.Go(func() { _, _ = s.Acquire(ctx, req) })
	}
	for s.counters.waiting.Load() < int64(callers) {
		time.Sleep(time.Millisecond)
	}
	used := memoryInUse() - before
	cancel()
	wg.Wait()
	return used
}

// memoryInUse returns the bytes of heap objects and goroutine stacks.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkTick measures the periodic work of an Owner, which runs forty times per second.
func BenchmarkTick(b *testing.B) {
	o, now, _ := fullOwner(600, 1000)
	b.ReportAllocs()
	for b.Loop() {
		o.Tick(now)
	}
}

// BenchmarkMemory reports the heap bytes of an Owner for each upstream with its permits, and for each waiting request.
func BenchmarkMemory(b *testing.B) {
	base := ownerHeapBytes(60, 0)
	upstream := float64(ownerHeapBytes(600, 0)-base) / 540
	for b.Loop() {
	}
	b.ReportMetric(upstream, "B/upstream")
	b.ReportMetric(float64(ownerHeapBytes(60, 10000)-ownerHeapBytes(60, 100))/9900, "B/waiting")
	b.ReportMetric(0, "ns/op")
}

// ownerHeapBytes returns the heap size of a fullOwner.
func ownerHeapBytes(upstreams, waiting int) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	o, _, _ := fullOwner(upstreams, waiting)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(o)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
