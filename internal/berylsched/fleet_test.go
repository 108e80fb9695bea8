package berylsched_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// hop is the one-way network latency between two hosts of the test fleet.
const hop = time.Millisecond

var errHostDown = errors.New("host is down")

// fleet connects several Schedulers in memory. It must be created and used in a synctest bubble.
type fleet struct {
	mu     sync.Mutex
	hosts  map[string]*berylsched.Scheduler
	down   map[string]bool
	frozen map[string]bool
	// loss and duplication are the shares of messages that the network loses or delivers twice, drawn from random.
	loss, duplication float64
	random            *rand.Rand
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

func newFleet(doc berylconf.Document, names ...string) *fleet {
	f := &fleet{hosts: map[string]*berylsched.Scheduler{}, down: map[string]bool{}, frozen: map[string]bool{}}
	f.random = rand.New(rand.NewPCG(1, 2))
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range names {
		s := berylsched.New(berylsched.Settings{Host: name, Boot: 1, Transport: fleetTransport{f, name}, Log: log})
		f.hosts[name] = s
		s.SetConfig(doc)
		f.wg.Go(func() { s.Run(ctx) })
	}
	f.setMembers(names...)
	return f
}

func (f *fleet) setMembers(names ...string) {
	var members []berylsched.Member
	for _, name := range names {
		members = append(members, berylsched.Member{Name: name, Boot: 1})
	}
	for _, s := range f.hosts {
		s.SetMembers(members)
	}
}

func (f *fleet) setFaults(loss, duplication float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss, f.duplication = loss, duplication
}

// drawCopies draws how many times a message that is not lost arrives.
func (f *fleet) drawCopies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.duplication {
		return 2
	}
	return 1
}

// deliver delivers a message that needs no answer to a host, at times twice.
func (f *fleet) deliver(ctx context.Context, from, to string, take func(*berylsched.Scheduler) error) error {
	var last error
	for range f.drawCopies() {
		s, err := f.reach(ctx, from, to)
		if err != nil {
			return err
		}
		last = take(s)
	}
	return last
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
	time.Sleep(time.Second) // requests to unresponsive hosts run until their timeout, after their callers have ended
}

func (f *fleet) stopHost(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[name] = true
}

// freeze makes a host accept messages without answering them or, if frozen is false, answer again.
func (f *fleet) freeze(name string, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[name] = frozen
}

func (f *fleet) isUnreachable(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[name] || f.frozen[name]
}

// reach returns the host that a message arrives at, or the error that the network would give.
func (f *fleet) reach(ctx context.Context, from, to string) (*berylsched.Scheduler, error) {
	time.Sleep(hop)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[to] || f.down[from] || f.random.Float64() < f.loss {
		return nil, errHostDown
	}
	if f.frozen[to] {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ctx.Err()
	}
	return f.hosts[to], nil
}

// fleetTransport is the Transport of one host of the fleet.
type fleetTransport struct {
	fleet *fleet
	from  string
}

func (l fleetTransport) RequestPermit(ctx context.Context, host string, req berylpermit.Request) (berylpermit.Reply, error) {
	s, err := l.fleet.reach(ctx, l.from, host)
	if err != nil {
		return berylpermit.Reply{}, err
	}
	var reply berylpermit.Reply
	for range l.fleet.drawCopies() {
		if reply, err = s.HandlePermitRequest(ctx, l.from, req); err != nil {
			return reply, err
		}
	}
	_, err = l.fleet.reach(ctx, host, l.from)
	return reply, err
}

func (l fleetTransport) Withdraw(ctx context.Context, host string, m berylpermit.Withdraw) error {
	return l.fleet.deliver(ctx, l.from, host, func(s *berylsched.Scheduler) error { return s.HandleWithdraw(l.from, m) })
}

func (l fleetTransport) Release(ctx context.Context, host string, m berylpermit.Release) error {
	return l.fleet.deliver(ctx, l.from, host, func(s *berylsched.Scheduler) error { return s.HandleRelease(l.from, m) })
}

func (l fleetTransport) SendYield(ctx context.Context, host string, m berylpermit.Yield) error {
	return l.fleet.deliver(ctx, l.from, host, func(s *berylsched.Scheduler) error { return s.HandleYield(l.from, m) })
}

func (l fleetTransport) SendHeldReport(ctx context.Context, host string, m berylpermit.HeldReport) error {
	return l.fleet.deliver(ctx, l.from, host, func(s *berylsched.Scheduler) error { return s.HandleHeldReport(l.from, m) })
}

func (l fleetTransport) SendStatement(ctx context.Context, host string, m berylpermit.StatementReport) error {
	return l.fleet.deliver(ctx, l.from, host, func(s *berylsched.Scheduler) error { return s.HandleStatement(l.from, m) })
}

// document returns a configuration with that many upstreams, all of which serve the target "m".
func document(upstreams, slots int) berylconf.Document {
	var doc berylconf.Document
	doc.Revision = 1
	for i := range upstreams {
		doc.Inventory.Upstreams = append(doc.Inventory.Upstreams, berylconf.Upstream{
			Name:   fmt.Sprintf("u%d", i+1),
			Models: []string{"m"},
			Slots:  slots,
		})
	}
	return doc
}
