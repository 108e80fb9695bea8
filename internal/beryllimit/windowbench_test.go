package beryllimit

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// leaseFleet runs the state machines of a fleet on a clock of its own, without network, and counts messages.
type leaseFleet struct {
	hosts    []string
	owners   []string
	holdings map[[2]int]*holding
	ledgers  map[int]*ledger
	now      time.Time
	sent     []int // by host
	received []int
	bytes    int
	messages int
	refused  int
	spent    time.Duration // in the state machines
}

// request is one request of an account at a host.
func (f *leaseFleet) request(b *testing.B, host, account int, l windowLimit) {
	began := time.Now()
	h := f.holdings[[2]int{host, account}]
	if h == nil {
		h = newHolding(f.now)
		f.holdings[[2]int{host, account}] = h
	}
	d := h.admit(f.now, l, len(f.hosts))
	f.spent += time.Since(began)
	if d.ask {
		f.ask(b, h, host, account, l, 1)
		d = h.admit(f.now, l, len(f.hosts))
	}
	if d.renew {
		f.ask(b, h, host, account, l, 0)
	}
	if d.admitted == fromNothing {
		f.refused++
	}
}

func (f *leaseFleet) ask(b *testing.B, h *holding, host, account int, l windowLimit, waiting int) {
	owner := slices.Index(f.hosts, f.owners[groupOf(fmt.Sprint(account), len(f.owners))])
	began := time.Now()
	req := h.request(f.now, waiting)
	req.Caller, req.Host = fmt.Sprint("account-", account), f.hosts[host] // as the owner's peer names it
	g := f.ledgers[account]
	if g == nil {
		g = newLedger(f.now, f.now.Add(-time.Hour), l)
		f.ledgers[account] = g
	}
	grant := g.lease(f.now, l, req)
	h.record(f.now, req, grant)
	f.spent += time.Since(began)
	if owner == host {
		return
	}
	req.Host = ""
	for _, m := range []any{req, grant} {
		data, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		f.bytes += len(data)
	}
	f.messages++
	f.sent[host]++
	f.received[owner]++
}

// BenchmarkFleetOfLeases reports what limits cost a host: 10 s of a fleet's requests, on the machine's own time only for
// the state machines. The accounts' rates are twice what they use on average. The bytes are those of the encoded messages, sent and
// received, without the headers of their transport.
func BenchmarkFleetOfLeases(b *testing.B) {
	for _, tc := range []struct {
		name            string
		hosts, accounts int
		perS            float64
		skew            float64 // of the accounts' sizes: the i-th has a weight of i^-skew
		hot             float64 // factor for the three largest
	}{
		{"hosts=420/accounts=3700", 420, 3700, 5700, 0.8, 1},
		{"hosts=74/accounts=86", 74, 86, 266, 1.2, 1},
		{"hosts=74/accounts=86/hot", 74, 86, 266, 1.2, 6.8},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				benchLeases(b, tc.hosts, tc.accounts, tc.perS, tc.skew, tc.hot)
			}
		})
	}
}

func benchLeases(b *testing.B, hosts, accounts int, perS, skew, hot float64) {
	const seconds = 10
	random := rand.New(rand.NewPCG(1, 2))
	f := &leaseFleet{
		holdings: map[[2]int]*holding{}, ledgers: map[int]*ledger{}, now: time.Now(), sent: make([]int, hosts), received: make([]int, hosts),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, fmt.Sprintf("entry-%d", i))
	}
	groups := 16
	if hosts > 256 {
		groups = 64
	}
	for g := range groups {
		f.owners = append(f.owners, Owner(GroupKey(g), f.hosts))
	}
	sum, base := 0.0, 0.0
	weights, sums := make([]float64, accounts), make([]float64, accounts)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		base += weights[i]
	}
	limits := make([]windowLimit, accounts)
	for i := range weights {
		rate := max(1, math.Round(2*perS*weights[i]/base))
		limits[i] = windowLimit{rate: rate, burst: rate}
		if i < 3 {
			weights[i] *= hot
		}
		sum += weights[i]
		sums[i] = sum
	}
	total := int(perS * sum / base * seconds)
	for range total {
		f.now = f.now.Add(time.Duration(float64(seconds*time.Second) / float64(total)))
		account, _ := slices.BinarySearch(sums, random.Float64()*sum)
		f.request(b, random.IntN(hosts), account, limits[account])
	}
	perHost := func(n float64) float64 { return n / seconds / float64(hosts) }
	busiest := 0
	for i := range f.sent {
		busiest = max(busiest, f.sent[i]+f.received[i])
	}
	b.ReportMetric(perHost(float64(total)), "requests/host/s")
	b.ReportMetric(perHost(float64(f.messages)), "asks/host/s")
	b.ReportMetric(float64(busiest)/seconds, "asks-and-answers/busiest/s")
	b.ReportMetric(2*perHost(float64(f.bytes)), "B/host/s")
	b.ReportMetric(float64(f.bytes)/float64(f.messages), "B/ask")
	b.ReportMetric(perHost(f.spent.Seconds()*1e6), "us/host/s")
	b.ReportMetric(100*float64(f.refused)/float64(total), "refused-%")
}

func benchWindowed(rate float64) *Limiter {
	account := windowed(rate, rate)
	hosts := []string{"entry-1"}
	return New(Config{
		Self: "entry-1", Account: func(string) (Account, bool) { return account, true }, LiveHosts: func() []string { return hosts },
		Owners: func() []string { return hosts }, Listed: func() int { return 1 },
	})
}

// BenchmarkAdmit reports what a request of an account pays on its path, with leases from this host as the owner.
func BenchmarkAdmit(b *testing.B) {
	for name, rate := range map[string]float64{"limited": 1e9, "unlimited": 0, "refused": 1e-9} {
		b.Run(name, func(b *testing.B) {
			limiter, account := benchWindowed(rate), windowed(rate, rate)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = limiter.Admit(context.Background(), &account)
			}
		})
	}
}

// BenchmarkLedger reports the time of one lease request at an owner, by the number of hosts that hold leases.
func BenchmarkLedger(b *testing.B) {
	for _, hosts := range []int{6, 74, 420} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			now, l := time.Now(), windowLimit{rate: 1e6, burst: 1e6}
			g := newLedger(now, now.Add(-time.Hour), l)
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprint("entry-", i)
			}
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond / 4)
				g.lease(now, l, LeaseRequest{Host: names[i%hosts], Sequence: uint64(i/hosts + 1), Requests: 1, Ahead: 2})
			}
		})
	}
}

// BenchmarkWindowedMemory reports the heap bytes that one account takes on a host that is also its owner.
func BenchmarkWindowedMemory(b *testing.B) {
	var each float64
	for b.Loop() {
		limiter := benchWindowed(100)
		before := heap()
		for i := range 3700 {
			account := windowed(100, 100)
			account.Name = fmt.Sprint("account-", i)
			_, _ = limiter.Admit(context.Background(), &account)
		}
		each = (float64(heap()) - float64(before)) / 3700
		runtime.KeepAlive(limiter)
	}
	b.ReportMetric(each, "B/account")
}
