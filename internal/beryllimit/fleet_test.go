package beryllimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fleetTrip is the time of one message between hosts of the test's fleet.
	fleetTrip = 1400 * time.Microsecond
	// fleetDetection is how long the hosts of the test's fleet take to see that another one is gone or back.
	fleetDetection = time.Second
)

// fleet runs windowed limiters in memory on fake time, with faults.
type fleet struct {
	account Account
	hosts   []string

	mu       sync.Mutex
	limiters map[string]*Limiter
	stops    map[string]func()
	thaw     map[string]chan struct{} // of frozen hosts
	cut      map[string]int           // hosts with different numbers do not reach each other
	views    map[string]*fleetView
	admitted []time.Time
	refused  []time.Time
	messages int
	running  sync.WaitGroup
}

// fleetView is what one host knows of the others.
type fleetView struct{ live, owners []string }

// inFleet runs f with n hosts and stops them. Before, all hosts have known the whole fleet for a window.
func inFleet(t *testing.T, n int, account Account, f func(v *fleet)) {
	synctest.Test(t, func(*testing.T) {
		v := &fleet{
			account: account, limiters: map[string]*Limiter{}, stops: map[string]func(){}, thaw: map[string]chan struct{}{},
			cut: map[string]int{}, views: map[string]*fleetView{},
		}
		for i := range n {
			v.hosts = append(v.hosts, fmt.Sprintf("entry-%d", i+1))
		}
		for _, host := range v.hosts {
			v.start(host)
		}
		time.Sleep(settleInterval + windowLength)
		f(v)
		for _, host := range v.hosts {
			v.freeze(host, false)
			v.kill(host)
		}
		v.running.Wait()
		time.Sleep(time.Second) // Lease requests in the background end.
	})
}

func (v *fleet) start(host string) {
	ctx, stop := context.WithCancel(context.Background())
	l := New(Config{
		Self:      host,
		Account:   func(string) (Account, bool) { v.mu.Lock(); defer v.mu.Unlock(); return v.account, true },
		LiveHosts: func() []string { return v.view(host).live },
		Owners:    func() []string { v.awaitThaw(host); return v.view(host).owners },
		Listed:    func() int { return len(v.hosts) },
		RequestLease: func(ctx context.Context, to string, req LeaseRequest) (LeaseGrant, error) {
			return v.forward(ctx, host, to, req)
		},
	})
	v.mu.Lock()
	v.limiters[host], v.stops[host] = l, stop
	v.refreshLocked()
	v.mu.Unlock()
	v.running.Go(func() { l.Run(ctx) })
}

func (v *fleet) kill(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if stop := v.stops[host]; stop != nil {
		stop()
		delete(v.limiters, host)
		delete(v.stops, host)
	}
}

func (v *fleet) freeze(host string, frozen bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if thaw := v.thaw[host]; thaw != nil && !frozen {
		close(thaw)
		delete(v.thaw, host)
	} else if thaw == nil && frozen {
		v.thaw[host] = make(chan struct{})
	}
}

func (v *fleet) awaitThaw(host string) {
	v.mu.Lock()
	thaw := v.thaw[host]
	v.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (v *fleet) reachesLocked(a, b string) bool {
	return v.limiters[a] != nil && v.limiters[b] != nil && v.thaw[a] == nil && v.thaw[b] == nil && v.cut[a] == v.cut[b]
}

// refresh gives each host that runs the view of those that it reaches now.
func (v *fleet) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshLocked()
}

func (v *fleet) refreshLocked() {
	for host := range v.limiters {
		var live []string
		for _, other := range v.hosts {
			if other == host || v.reachesLocked(host, other) {
				live = append(live, other)
			}
		}
		v.setViewLocked(host, live)
	}
}

func (v *fleet) setViewLocked(host string, live []string) {
	view := &fleetView{live: live}
	for g := range 8 {
		view.owners = append(view.owners, Owner(GroupKey(g), live))
	}
	if old := v.views[host]; old == nil || !slices.Equal(old.live, live) {
		v.views[host] = view
	}
}

func (v *fleet) view(host string) *fleetView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[host]
}

func (v *fleet) forward(ctx context.Context, from, to string, req LeaseRequest) (LeaseGrant, error) {
	time.Sleep(fleetTrip)
	v.mu.Lock()
	v.messages++
	reached := v.reachesLocked(from, to)
	l := v.limiters[to]
	v.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return LeaseGrant{}, errors.New("no answer")
	}
	grant, err := l.HandleLeaseRequest(ctx, from, req)
	time.Sleep(fleetTrip)
	return grant, err
}

func (v *fleet) owner() string {
	owners := v.view(v.hosts[0]).owners
	return owners[groupOf(v.account.Name, len(owners))]
}

// setCut puts a host into the part of the network with that number.
func (v *fleet) setCut(host string, part int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut[host] = part
}

func (v *fleet) countAdmitted() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.admitted)
}

func (v *fleet) countRefused() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.refused)
}

// takeAdmitted returns how many requests have been admitted since the last call, and forgets them.
func (v *fleet) takeAdmitted() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.admitted)
	v.admitted = nil
	return n
}

func (v *fleet) setLimit(rate, burst float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.account.RequestsPerSecond, v.account.Burst = rate, burst
}

// send sends one request to a host, if that can take it, and notes the decision.
func (v *fleet) send(host string) {
	v.mu.Lock()
	l, account := v.limiters[host], v.account
	frozen := v.thaw[host] != nil
	v.mu.Unlock()
	if l == nil || frozen {
		return
	}
	v.running.Go(func() {
		_, refusal := l.Admit(context.Background(), &account)
		v.mu.Lock()
		defer v.mu.Unlock()
		if refusal == nil {
			v.admitted = append(v.admitted, time.Now())
		} else {
			v.refused = append(v.refused, time.Now())
		}
	})
}

// load sends requests at a rate for a time, each to the host that pick names.
func (v *fleet) load(rate float64, span time.Duration, pick func() string) {
	start := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= span {
			time.Sleep(span - time.Since(start))
			return
		}
		time.Sleep(at - time.Since(start))
		v.send(pick())
	}
}

// worst returns the most admitted in any window and the bound of the requirement.
func (v *fleet) worst(rate, burst float64) (most int, bound float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	slices.SortFunc(v.admitted, func(a, b time.Time) int { return a.Compare(b) })
	first := 0
	for i, at := range v.admitted {
		for at.Sub(v.admitted[first]) >= windowLength {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, (rate*windowLength.Seconds()+burst)*1.1 + 20
}

func windowed(rate, burst float64) Account {
	return Account{Name: "kaje80", RequestsPerSecond: rate, Burst: burst, Windowed: true}
}

// fault makes one fault while the load goes on, ends it and lets the fleet settle.
func (v *fleet) fault(kind string, random *rand.Rand, rate float64, pick func() string) {
	victim := v.hosts[random.IntN(len(v.hosts))]
	if random.IntN(2) == 0 {
		victim = v.owner()
	}
	lasts := time.Duration(500+random.IntN(5000)) * time.Millisecond
	switch kind {
	case "kill":
		v.kill(victim)
		v.detect(rate, lasts, pick)
		v.start(victim)
	case "cut-one", "cut-some":
		for i, host := range v.hosts {
			if host == victim || kind == "cut-some" && i%2 == 0 {
				v.setCut(host, 1)
			}
		}
		v.detect(rate, lasts, pick)
		for _, host := range v.hosts {
			v.setCut(host, 0)
		}
	case "freeze":
		v.freeze(victim, true)
		v.detect(rate, lasts, pick)
		v.freeze(victim, false)
	case "two-owners":
		v.mu.Lock()
		for _, host := range v.hosts[:len(v.hosts)/2] {
			v.setViewLocked(host, slices.DeleteFunc(slices.Clone(v.hosts), func(h string) bool { return h == victim && h != host }))
		}
		v.mu.Unlock()
		v.load(rate, time.Duration(random.IntN(1000))*time.Millisecond, pick)
		v.refresh()
	case "restart-all":
		for _, host := range v.hosts {
			v.kill(host)
		}
		time.Sleep(time.Duration(1000+random.IntN(500)) * time.Millisecond)
		for _, host := range v.hosts {
			v.start(host)
			v.refresh()
			v.load(rate, time.Duration(random.IntN(50))*time.Millisecond, pick)
		}
	}
	v.detect(rate, 2*time.Second, pick)
}

// detect loads for a time; after fleetDetection the hosts see who is gone or back.
func (v *fleet) detect(rate float64, span time.Duration, pick func() string) {
	v.load(rate, min(span, fleetDetection), pick)
	v.refresh()
	v.load(rate, max(0, span-fleetDetection), pick)
}
