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
	// frameBytes is the size that the wire format adds to a body: the kind, its length and the status.
	frameBytes = 20
)

// node is one simulated host.
type node struct {
	*berylhost.Table
	down          bool
	frozen        bool
	queue         []func() // calls to make when the host is no longer frozen
	bytes         int      // bytes sent and received
	pauses        int
	confirmedDead int // how often it declared another member dead

	replaced bool
}

// simulator runs tables on simulated time and carries their messages.
type simulator struct {
	now          time.Time
	random       *rand.Rand
	nodes        map[string]*node
	names        []string
	scheduled    callQueue
	order        int
	loss         float64
	blocked      map[[2]string]bool // pairs of sender and receiver whose messages are lost
	loads        []berylpermit.Load
	replacedNode *node // a frozen run whose name a later run has taken
}

type scheduledCall struct {
	at    time.Time
	order int
	run   func()
}

type callQueue []scheduledCall

func (s callQueue) Len() int { return len(s) }
func (s callQueue) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s callQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *callQueue) Push(x any)   { *s = append(*s, x.(scheduledCall)) }
func (s *callQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulator starts count hosts that know each other as candidates.
func newSimulator(seed uint64, count int) *simulator {
	sim := &simulator{
		now:     time.Unix(1_700_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, uint64(count))),
		nodes:   map[string]*node{},
		blocked: map[[2]string]bool{},
	}
	for range 6 {
		sim.loads = append(sim.loads, berylpermit.Load{Upstream: "ribdesk-llm-12", Slots: 16, Online: 7, Batch: 8, Waiting: 30, PredictedWait: 1200 * time.Millisecond})
	}
	for i := range count {
		sim.names = append(sim.names, fmt.Sprintf("mu-north-entry-%03x", i))
	}
	for i, name := range sim.names {
		sim.start(name, uint64(1_700_000_000_000_000_000+i))
	}
	return sim
}

// start runs a host, which replaces a running host of the same name.
func (sim *simulator) start(name string, boot uint64) *node {
	n := &node{Table: &berylhost.Table{Self: member(name, boot), Seed: sim.random.Uint64()}}
	sim.nodes[name] = n
	var candidates []berylhost.Member
	for _, other := range sim.names {
		candidates = append(candidates, member(other, 0))
	}
	sim.step(n, berylhost.Candidates{Members: candidates})
	sim.tick(n, time.Duration(sim.random.Int64N(int64(berylhost.TickInterval))))
	return n
}

func member(name string, boot uint64) berylhost.Member {
	domain := fmt.Sprintf("mu-north-%c", 'a'+name[len(name)-1]%domains)
	return berylhost.Member{Name: name, PeerAddress: "10.20.30.40:7443", Region: "mu-north", FailureDomain: domain, Boot: boot}
}

func (sim *simulator) after(wait time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.scheduled, scheduledCall{at: sim.now.Add(wait), order: sim.order, run: run})
}

// run advances the time by span and makes the calls that fall due.
func (sim *simulator) run(span time.Duration) {
	end := sim.now.Add(span)
	for len(sim.scheduled) > 0 && !sim.scheduled[0].at.After(end) {
		next := heap.Pop(&sim.scheduled).(scheduledCall)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulator) tick(n *node, wait time.Duration) {
	sim.after(wait, func() {
		if n.down {
			return
		}
		sim.runAt(n, func() { sim.step(n, berylhost.Tick{}) })
		sim.tick(n, berylhost.TickInterval)
	})
}

// runAt calls run on behalf of a host, at once or, if the host is frozen, when it resumes. It does nothing if the host
// is down.
func (sim *simulator) runAt(n *node, run func()) {
	switch {
	case n.down:
	case n.frozen:
		n.queue = append(n.queue, run)
	default:
		run()
	}
}

// thaw resumes a frozen host and makes the calls that queued up meanwhile.
func (sim *simulator) thaw(n *node) {
	n.frozen = false
	queue := n.queue
	n.queue = nil
	sim.step(n, berylhost.Tick{})
	for _, run := range queue {
		run()
	}
}

// send counts a message and delivers it, unless it is lost.
func (sim *simulator) send(from *node, to string, message any, deliver func(*node)) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	size := len(body) + frameBytes
	from.bytes += size
	n := sim.nodes[to]
	if n == nil || sim.blocked[[2]string{from.Self.Name, to}] || sim.random.Float64() < sim.loss {
		return
	}
	sim.after(oneWay, func() {
		sim.runAt(n, func() {
			n.bytes += size
			deliver(n)
		})
	})
}

// call sends a request and calls done once, with the answer or, after the timeout, with nil.
func (sim *simulator) call(from *node, to string, timeout time.Duration, request any, handle func(*node, func(answer any)), done func(answer any)) {
	ended := false
	end := func(answer any) {
		sim.runAt(from, func() {
			if !ended {
				ended = true
				done(answer)
			}
		})
	}
	sim.after(timeout, func() { end(nil) })
	sim.send(from, to, request, func(n *node) {
		handle(n, func(answer any) {
			sim.send(n, from.Self.Name, answer, func(*node) { end(answer) })
		})
	})
}

// step applies an event to a table and returns the first reply among its actions, having carried out the others.
func (sim *simulator) step(n *node, e berylhost.Event) (reply berylhost.Action) {
	actions := append([]berylhost.Action(nil), n.Step(sim.now, e)...)
	for _, a := range actions {
		switch a := a.(type) {
		case berylhost.Reply, berylhost.ReplySync:
			reply = a
		case berylhost.SendProbe:
			if _, relayed := e.(berylhost.RelayRequested); relayed {
				return a
			}
			sim.probe(n, a, func(berylhost.Gossip, bool) {})
		case berylhost.SendRelay:
			sim.relay(n, a)
		case berylhost.SendSync:
			sim.sync(n, a)
		case berylhost.PauseDetected:
			n.pauses++
		case berylhost.Replaced:
			n.replaced = true
		case berylhost.StateChanged:
			if a.Member.State == berylhost.Dead {
				n.confirmedDead++
			}
		}
	}
	return reply
}

func (sim *simulator) probe(n *node, a berylhost.SendProbe, done func(berylhost.Gossip, bool)) {
	sim.call(n, a.To.Name, a.Timeout, berylhost.Probe{Gossip: a.Gossip, Digest: sim.digest()}, func(to *node, answer func(any)) {
		reply := sim.step(to, berylhost.GossipReceived{From: n.Self.Name, Gossip: a.Gossip}).(berylhost.Reply)
		answer(berylhost.Probe{Gossip: reply.Gossip, Digest: sim.digest()})
	}, func(answer any) {
		if answer == nil {
			sim.step(n, berylhost.NoReply{Seq: a.Seq})
			done(berylhost.Gossip{}, false)
			return
		}
		gossip := answer.(berylhost.Probe).Gossip
		sim.step(n, berylhost.Acked{Seq: a.Seq, From: a.To.Name, Gossip: gossip})
		done(gossip, true)
	})
}

func (sim *simulator) relay(n *node, a berylhost.SendRelay) {
	sim.call(n, a.Via.Name, a.Timeout, berylhost.Relay{Target: a.Target}, func(via *node, answer func(any)) {
		probe := sim.step(via, berylhost.RelayRequested{Target: a.Target}).(berylhost.SendProbe)
		sim.probe(via, probe, func(g berylhost.Gossip, reached bool) {
			answer(berylhost.RelayReply{Reached: reached, Gossip: g})
		})
	}, func(answer any) {
		if reply, ok := answer.(berylhost.RelayReply); ok && reply.Reached {
			sim.step(n, berylhost.Acked{Seq: a.Seq, From: a.Target.Name, Gossip: reply.Gossip})
			return
		}
		sim.step(n, berylhost.NoReply{Seq: a.Seq})
	})
}

func (sim *simulator) sync(n *node, a berylhost.SendSync) {
	sim.call(n, a.To.Name, a.Timeout, berylhost.Sync{Self: a.Self}, func(to *node, answer func(any)) {
		reply := sim.step(to, berylhost.SyncRequested{From: n.Self.Name, Self: a.Self}).(berylhost.ReplySync)
		answer(berylhost.SyncReply(reply))
	}, func(answer any) {
		reply, ok := answer.(berylhost.SyncReply)
		if !ok {
			sim.step(n, berylhost.NoReply{Seq: a.Seq})
			return
		}
		gossip := berylhost.Gossip{Self: reply.Members[0], Updates: reply.Members[1:]}
		sim.step(n, berylhost.Acked{Seq: a.Seq, From: a.To.Name, Gossip: gossip})
	})
}

func (sim *simulator) digest() berylhost.Digest {
	return berylhost.Digest{Revision: 1234, Loads: sim.loads}
}

// converged reports whether every host that is up sees exactly count live members.
func (sim *simulator) converged(count int) bool {
	for _, n := range sim.nodes {
		if !n.down && len(n.Live()) != count {
			return false
		}
	}
	return true
}

// runUntil advances the time until condition returns true, and returns how long that took, at most the limit.
func (sim *simulator) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := sim.now
	for sim.now.Sub(start) < limit && !condition() {
		sim.run(berylhost.TickInterval)
	}
	return sim.now.Sub(start)
}
