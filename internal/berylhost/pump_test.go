package berylhost_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	oneWay  = time.Millisecond
	domains = 3
	// frameBytes is what the wire adds to a body: the kind, its length and the status.
	frameBytes = 20
)

// node is one host on the pump.
type node struct {
	*berylhost.Table
	down   bool
	frozen bool
	queue  []func() // what arrived while frozen
	bytes  int      // sent and received
	pauses int
	buried int // how often it took another member for dead

	replaced bool
}

// pump carries the messages of tables on fake time.
type pump struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*node
	names  []string
	due    schedule
	order  int
	loss   float64
	cut    map[[2]string]bool // from, to
	loads  []berylpermit.Load
	ghost  *node // a frozen run whose name another run has taken
}

type item struct {
	at    time.Time
	order int
	run   func()
}

type schedule []item

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(item)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newPump starts that many hosts which all know of each other as candidates.
func newPump(seed uint64, count int) *pump {
	p := &pump{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, uint64(count))),
		nodes:  map[string]*node{},
		cut:    map[[2]string]bool{},
	}
	for range 6 {
		p.loads = append(p.loads, berylpermit.Load{Upstream: "ribdesk-llm-12", Slots: 16, Online: 7, Batch: 8, Waiting: 30, PredictedWait: 1200 * time.Millisecond})
	}
	for i := range count {
		p.names = append(p.names, fmt.Sprintf("mu-north-entry-%03x", i))
	}
	for i, name := range p.names {
		p.start(name, uint64(1_700_000_000_000_000_000+i))
	}
	return p
}

// start runs a host; a running one of that name is replaced.
func (p *pump) start(name string, boot uint64) *node {
	n := &node{Table: &berylhost.Table{Self: member(name, boot), Seed: p.random.Uint64()}}
	p.nodes[name] = n
	var candidates []berylhost.Member
	for _, other := range p.names {
		candidates = append(candidates, member(other, 0))
	}
	p.step(n, berylhost.Candidates{Members: candidates})
	p.tick(n, time.Duration(p.random.Int64N(int64(berylhost.TickInterval))))
	return n
}

func member(name string, boot uint64) berylhost.Member {
	domain := fmt.Sprintf("mu-north-%c", 'a'+name[len(name)-1]%domains)
	return berylhost.Member{Name: name, PeerAddress: "10.20.30.40:7443", Region: "mu-north", FailureDomain: domain, Boot: boot}
}

func (p *pump) after(wait time.Duration, run func()) {
	p.order++
	heap.Push(&p.due, item{at: p.now.Add(wait), order: p.order, run: run})
}

// run lets the time pass.
func (p *pump) run(span time.Duration) {
	end := p.now.Add(span)
	for len(p.due) > 0 && !p.due[0].at.After(end) {
		next := heap.Pop(&p.due).(item)
		p.now = next.at
		next.run()
	}
	p.now = end
}

func (p *pump) tick(n *node, wait time.Duration) {
	p.after(wait, func() {
		if n.down {
			return
		}
		p.enter(n, func() { p.step(n, berylhost.Tick{}) })
		p.tick(n, berylhost.TickInterval)
	})
}

// enter runs something at a host, at once or when it is no longer frozen.
func (p *pump) enter(n *node, run func()) {
	switch {
	case n.down:
	case n.frozen:
		n.queue = append(n.queue, run)
	default:
		run()
	}
}

// thaw lets a frozen host go on with what has queued up.
func (p *pump) thaw(n *node) {
	n.frozen = false
	queue := n.queue
	n.queue = nil
	p.step(n, berylhost.Tick{})
	for _, run := range queue {
		run()
	}
}

// send counts a message and delivers it, unless it is lost.
func (p *pump) send(from *node, to string, message any, deliver func(*node)) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	size := len(body) + frameBytes
	from.bytes += size
	n := p.nodes[to]
	if n == nil || p.cut[[2]string{from.Self.Name, to}] || p.random.Float64() < p.loss {
		return
	}
	p.after(oneWay, func() {
		p.enter(n, func() {
			n.bytes += size
			deliver(n)
		})
	})
}

// call sends a request and gives the answer, or none after the timeout, to the caller once.
func (p *pump) call(from *node, to string, timeout time.Duration, request any, handle func(*node, func(answer any)), done func(answer any)) {
	ended := false
	end := func(answer any) {
		p.enter(from, func() {
			if !ended {
				ended = true
				done(answer)
			}
		})
	}
	p.after(timeout, func() { end(nil) })
	p.send(from, to, request, func(n *node) {
		handle(n, func(answer any) {
			p.send(n, from.Self.Name, answer, func(*node) { end(answer) })
		})
	})
}

// step feeds a table and returns the first reply among its actions, having carried out the others.
func (p *pump) step(n *node, e berylhost.Event) (reply berylhost.Action) {
	actions := append([]berylhost.Action(nil), n.Step(p.now, e)...)
	for _, a := range actions {
		switch a := a.(type) {
		case berylhost.Reply, berylhost.ReplySync:
			reply = a
		case berylhost.SendProbe:
			if _, relayed := e.(berylhost.RelayAsked); relayed {
				return a
			}
			p.probe(n, a, func(berylhost.Gossip, bool) {})
		case berylhost.SendRelay:
			p.relay(n, a)
		case berylhost.SendSync:
			p.sync(n, a)
		case berylhost.Woke:
			n.pauses++
		case berylhost.Replaced:
			n.replaced = true
		case berylhost.Turned:
			if a.Member.State == berylhost.Dead {
				n.buried++
			}
		}
	}
	return reply
}

func (p *pump) probe(n *node, a berylhost.SendProbe, then func(berylhost.Gossip, bool)) {
	p.call(n, a.To.Name, a.Timeout, berylhost.Probe{Gossip: a.Gossip, Digest: p.digest()}, func(to *node, answer func(any)) {
		reply := p.step(to, berylhost.Heard{From: n.Self.Name, Gossip: a.Gossip}).(berylhost.Reply)
		answer(berylhost.Probe{Gossip: reply.Gossip, Digest: p.digest()})
	}, func(answer any) {
		if answer == nil {
			p.step(n, berylhost.Missed{Seq: a.Seq})
			then(berylhost.Gossip{}, false)
			return
		}
		gossip := answer.(berylhost.Probe).Gossip
		p.step(n, berylhost.Acked{Seq: a.Seq, From: a.To.Name, Gossip: gossip})
		then(gossip, true)
	})
}

func (p *pump) relay(n *node, a berylhost.SendRelay) {
	p.call(n, a.Via.Name, a.Timeout, berylhost.Relay{Target: a.Target}, func(via *node, answer func(any)) {
		probe := p.step(via, berylhost.RelayAsked{Target: a.Target}).(berylhost.SendProbe)
		p.probe(via, probe, func(g berylhost.Gossip, reached bool) {
			answer(berylhost.RelayReply{Reached: reached, Gossip: g})
		})
	}, func(answer any) {
		if reply, ok := answer.(berylhost.RelayReply); ok && reply.Reached {
			p.step(n, berylhost.Acked{Seq: a.Seq, From: a.Target.Name, Gossip: reply.Gossip})
			return
		}
		p.step(n, berylhost.Missed{Seq: a.Seq})
	})
}

func (p *pump) sync(n *node, a berylhost.SendSync) {
	p.call(n, a.To.Name, a.Timeout, berylhost.Sync{Self: a.Self}, func(to *node, answer func(any)) {
		reply := p.step(to, berylhost.SyncAsked{From: n.Self.Name, Self: a.Self}).(berylhost.ReplySync)
		answer(berylhost.SyncReply(reply))
	}, func(answer any) {
		reply, ok := answer.(berylhost.SyncReply)
		if !ok {
			p.step(n, berylhost.Missed{Seq: a.Seq})
			return
		}
		gossip := berylhost.Gossip{Self: reply.Members[0], News: reply.Members[1:]}
		p.step(n, berylhost.Acked{Seq: a.Seq, From: a.To.Name, Gossip: gossip})
	})
}

func (p *pump) digest() berylhost.Digest {
	return berylhost.Digest{Revision: 1234, Loads: p.loads}
}

// whole says whether every host that is up sees exactly the count.
func (p *pump) whole(count int) bool {
	for _, n := range p.nodes {
		if !n.down && len(n.Live()) != count {
			return false
		}
	}
	return true
}

// until lets the time pass until something holds and returns how long it took, at most the limit.
func (p *pump) until(limit time.Duration, holds func() bool) time.Duration {
	start := p.now
	for p.now.Sub(start) < limit && !holds() {
		p.run(berylhost.TickInterval)
	}
	return p.now.Sub(start)
}
