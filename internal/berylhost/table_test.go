package berylhost_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
)

const (
	settleTime     = 20 * time.Second
	confirmTarget  = 5 * time.Second
	trafficTarget  = 11_000 // most bytes per second and host, sent and received
	slopeTarget    = 0.1    // most relative growth of the traffic per host from 24 to 96 hosts
	trafficSeconds = 60
)

// newSettledSimulator starts count hosts, waits until they have found each other and lets the first updates expire.
func newSettledSimulator(t testing.TB, seed uint64, count int) *simulator {
	t.Helper()
	sim := newSimulator(seed, count)
	took := sim.runUntil(settleTime, func() bool { return sim.converged(count) })
	if !sim.converged(count) {
		t.Fatalf("seed %d: %d hosts had not found each other after %s", seed, count, took)
	}
	sim.run(settleTime)
	return sim
}

func TestLostHostsAreConfirmed(t *testing.T) {
	for _, test := range []struct {
		name               string
		count, lost, seeds int
	}{
		{name: "one of 6", count: 6, lost: 1, seeds: 40},
		{name: "a failure domain of 6", count: 6, seeds: 40},
		{name: "one of 24", count: 24, lost: 1, seeds: 20},
		{name: "a failure domain of 24", count: 24, seeds: 20},
		{name: "eight of 24 from all failure domains", count: 24, lost: 8, seeds: 20},
		{name: "one of 96", count: 96, lost: 1, seeds: 2},
		{name: "a failure domain of 96", count: 96, seeds: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(test.seeds) {
				sim := newSettledSimulator(t, seed, test.count)
				sim.run(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
				remaining := test.count - sim.kill(test.lost)
				worst = max(worst, sim.runUntil(time.Minute, func() bool { return sim.converged(remaining) }))
			}
			t.Logf("slowest of %d: %s", test.seeds, worst)
			is.New(t).True(worst <= confirmTarget)
		})
	}
}

// kill stops count random hosts, or one whole failure domain if count is zero, and returns how many hosts it stopped.
func (sim *simulator) kill(count int) int {
	lost := sim.random.Perm(len(sim.names))[:count]
	if count == 0 {
		domain := sim.nodes[sim.names[0]].Self.FailureDomain
		for i, name := range sim.names {
			if sim.nodes[name].Self.FailureDomain == domain {
				lost = append(lost, i)
			}
		}
	}
	for _, i := range lost {
		sim.nodes[sim.names[i]].down = true
	}
	return len(lost)
}

func TestNoLiveHostIsConfirmedDeadUnderLoss(t *testing.T) {
	for _, test := range []struct {
		name  string
		count int
		span  time.Duration
	}{
		{name: "6 hosts", count: 6, span: time.Hour},
		{name: "24 hosts", count: 24, span: 15 * time.Minute},
		{name: "96 hosts", count: 96, span: time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSettledSimulator(t, 1, test.count)
			sim.loss = 0.1
			sim.run(test.span)
			confirmedDead := 0
			for _, n := range sim.nodes {
				confirmedDead += n.confirmedDead
			}
			is.New(t).Equal(confirmedDead, 0)
		})
	}
}

// traffic returns the bytes per second and host of a settled fleet.
func traffic(sim *simulator) float64 {
	for _, n := range sim.nodes {
		n.bytes = 0
	}
	sim.run(trafficSeconds * time.Second)
	total := 0
	for _, n := range sim.nodes {
		total += n.bytes
	}
	return float64(total) / float64(len(sim.nodes)) / trafficSeconds
}

func TestTrafficIsFlat(t *testing.T) {
	is := is.New(t)
	rates := map[int]float64{}
	for _, count := range []int{6, 24, 96} {
		rates[count] = traffic(newSettledSimulator(t, 1, count))
		t.Logf("%d hosts: %.0f bytes per second and host", count, rates[count])
		is.True(rates[count] <= trafficTarget)
	}
	slope := rates[96]/rates[24] - 1
	t.Logf("growth from 24 to 96 hosts: %.3f", slope)
	is.True(slope <= slopeTarget)
}

// TestScripts runs the fault scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var sim *simulator
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				var count int
				d.ScanArgs(t, "count", &count)
				sim = newSettledSimulator(t, 1, count)
				return ""
			}
			for line := range strings.Lines(d.Input) {
				sim.command(t, strings.Fields(line))
			}
			return sim.report()
		})
	})
}

// command executes one line of a script.
func (sim *simulator) command(t *testing.T, words []string) {
	name := func(i int) string { return fmt.Sprintf("mu-north-entry-%03s", words[i]) }
	switch words[0] {
	case "run":
		span, err := time.ParseDuration(words[1])
		is.New(t).NoErr(err)
		sim.run(span)
	case "loss":
		_, err := fmt.Sscan(words[1], &sim.loss)
		is.New(t).NoErr(err)
	case "cut":
		sim.blocked[[2]string{name(1), name(2)}] = true
	case "part":
		sim.isolate(name(1))
	case "mend":
		clear(sim.blocked)
	case "kill":
		sim.nodes[name(1)].down = true
	case "restart":
		sim.nodes[name(1)].down = true
		sim.start(name(1), uint64(sim.now.UnixNano()))
	case "restart-with-clock-behind":
		sim.nodes[name(1)].down = true
		sim.start(name(1), 1)
	case "freeze":
		sim.nodes[name(1)].frozen = true
	case "thaw":
		sim.thaw(sim.nodes[name(1)])
	case "freeze-and-replace":
		sim.replacedNode = sim.nodes[name(1)]
		sim.replacedNode.frozen = true
		sim.start(name(1), uint64(sim.now.UnixNano()))
	case "thaw-replaced":
		sim.thaw(sim.replacedNode)
	case "leave":
		sim.step(sim.nodes[name(1)], berylhost.Leave{})
	case "accuse-all":
		sim.reportAllSuspect(name(1))
	default:
		t.Fatalf("unknown command: %v", words)
	}
}

// isolate blocks all messages between a host and the others, in both directions.
func (sim *simulator) isolate(name string) {
	for _, other := range sim.names {
		sim.blocked[[2]string{name, other}] = true
		sim.blocked[[2]string{other, name}] = true
	}
}

// reportAllSuspect makes a host report all others as suspect, ten times a second for a minute.
func (sim *simulator) reportAllSuspect(name string) {
	n := sim.nodes[name]
	for i := range 600 {
		sim.after(time.Duration(i)*100*time.Millisecond, func() {
			to := sim.nodes[sim.names[i%len(sim.names)]]
			gossip := berylhost.Gossip{Self: n.Self}
			for _, m := range n.Live() {
				m.State = berylhost.Suspect
				gossip.Updates = append(gossip.Updates, m)
			}
			if to != n {
				sim.step(to, berylhost.GossipReceived{From: name, Gossip: gossip})
			}
		})
	}
}

// report describes each host's view. Consecutive hosts with the same view share a line.
func (sim *simulator) report() string {
	var out strings.Builder
	for i := 0; i < len(sim.names); {
		view := sim.view(sim.names[i])
		from := i
		for i < len(sim.names) && sim.view(sim.names[i]) == view {
			i++
		}
		fmt.Fprintf(&out, "%d-%d: %s\n", from, i-1, view)
	}
	return out.String()
}

func (sim *simulator) view(name string) string {
	n := sim.nodes[name]
	if n.down {
		return "down"
	}
	view := fmt.Sprintf("%d live", len(n.Live()))
	if n.frozen {
		view += ", frozen"
	}
	if n.confirmedDead > 0 {
		view += fmt.Sprintf(", confirmed %d", n.confirmedDead)
	}
	if n.pauses > 0 {
		view += fmt.Sprintf(", paused %d times", n.pauses)
	}
	if n.replaced {
		view += ", replaced"
	}
	if sim.replacedNode != nil && sim.replacedNode.replaced && sim.replacedNode.Self.Name == name {
		view += ", the earlier run knows that it is replaced"
	}
	return view
}
