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
	trafficTarget  = 11_000 // bytes a second, sent and received
	slopeTarget    = 0.1    // growth of the traffic from 24 to 96 hosts
	trafficSeconds = 60
)

// settled starts hosts and lets their first news die down.
func settled(t testing.TB, seed uint64, count int) *pump {
	t.Helper()
	p := newPump(seed, count)
	took := p.until(settleTime, func() bool { return p.whole(count) })
	if !p.whole(count) {
		t.Fatalf("seed %d: %d hosts have not found each other after %s", seed, count, took)
	}
	p.run(settleTime)
	return p
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
				p := settled(t, seed, test.count)
				p.run(time.Duration(p.random.Int64N(int64(5 * time.Second))))
				left := test.count - p.lose(test.lost)
				worst = max(worst, p.until(time.Minute, func() bool { return p.whole(left) }))
			}
			t.Logf("slowest of %d: %s", test.seeds, worst)
			is.New(t).True(worst <= confirmTarget)
		})
	}
}

// lose kills that many random hosts, or for zero one failure domain, and returns how many.
func (p *pump) lose(count int) int {
	lost := p.random.Perm(len(p.names))[:count]
	if count == 0 {
		domain := p.nodes[p.names[0]].Self.FailureDomain
		for i, name := range p.names {
			if p.nodes[name].Self.FailureDomain == domain {
				lost = append(lost, i)
			}
		}
	}
	for _, i := range lost {
		p.nodes[p.names[i]].down = true
	}
	return len(lost)
}

func TestNoLiveHostIsBuriedUnderLoss(t *testing.T) {
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
			p := settled(t, 1, test.count)
			p.loss = 0.1
			p.run(test.span)
			buried := 0
			for _, n := range p.nodes {
				buried += n.buried
			}
			is.New(t).Equal(buried, 0)
		})
	}
}

// traffic returns the bytes a second and host of a settled fleet.
func traffic(p *pump) float64 {
	for _, n := range p.nodes {
		n.bytes = 0
	}
	p.run(trafficSeconds * time.Second)
	total := 0
	for _, n := range p.nodes {
		total += n.bytes
	}
	return float64(total) / float64(len(p.nodes)) / trafficSeconds
}

func TestTrafficIsFlat(t *testing.T) {
	is := is.New(t)
	rates := map[int]float64{}
	for _, count := range []int{6, 24, 96} {
		rates[count] = traffic(settled(t, 1, count))
		t.Logf("%d hosts: %.0f bytes a second and host", count, rates[count])
		is.True(rates[count] <= trafficTarget)
	}
	slope := rates[96]/rates[24] - 1
	t.Logf("growth from 24 to 96 hosts: %.3f", slope)
	is.True(slope <= slopeTarget)
}

// TestScripts runs the faults written down in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *pump
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				var count int
				d.ScanArgs(t, "count", &count)
				p = settled(t, 1, count)
				return ""
			}
			for line := range strings.Lines(d.Input) {
				p.command(t, strings.Fields(line))
			}
			return p.report()
		})
	})
}

// command carries out one line of a script.
func (p *pump) command(t *testing.T, words []string) {
	name := func(i int) string { return fmt.Sprintf("mu-north-entry-%03s", words[i]) }
	switch words[0] {
	case "run":
		span, err := time.ParseDuration(words[1])
		is.New(t).NoErr(err)
		p.run(span)
	case "loss":
		_, err := fmt.Sscan(words[1], &p.loss)
		is.New(t).NoErr(err)
	case "cut":
		p.cut[[2]string{name(1), name(2)}] = true
	case "part":
		p.part(name(1))
	case "mend":
		clear(p.cut)
	case "kill":
		p.nodes[name(1)].down = true
	case "restart":
		p.nodes[name(1)].down = true
		p.start(name(1), uint64(p.now.UnixNano()))
	case "restart-with-clock-behind":
		p.nodes[name(1)].down = true
		p.start(name(1), 1)
	case "freeze":
		p.nodes[name(1)].frozen = true
	case "thaw":
		p.thaw(p.nodes[name(1)])
	case "freeze-and-replace":
		p.ghost = p.nodes[name(1)]
		p.ghost.frozen = true
		p.start(name(1), uint64(p.now.UnixNano()))
	case "thaw-replaced":
		p.thaw(p.ghost)
	case "leave":
		p.step(p.nodes[name(1)], berylhost.Leave{})
	case "accuse-all":
		p.accuse(name(1))
	default:
		t.Fatalf("no such command: %v", words)
	}
}

// part cuts a host off from all others, both ways.
func (p *pump) part(name string) {
	for _, other := range p.names {
		p.cut[[2]string{name, other}] = true
		p.cut[[2]string{other, name}] = true
	}
}

// accuse has a host tell its peers, ten times a second for a minute, that all others are suspect.
func (p *pump) accuse(name string) {
	n := p.nodes[name]
	for i := range 600 {
		p.after(time.Duration(i)*100*time.Millisecond, func() {
			to := p.nodes[p.names[i%len(p.names)]]
			gossip := berylhost.Gossip{Self: n.Self}
			for _, m := range n.Live() {
				m.State = berylhost.Suspect
				gossip.News = append(gossip.News, m)
			}
			if to != n {
				p.step(to, berylhost.Heard{From: name, Gossip: gossip})
			}
		})
	}
}

// report says what each host sees, hosts that see the same on one line, and what the scripts look for besides.
func (p *pump) report() string {
	var out strings.Builder
	for i := 0; i < len(p.names); {
		view := p.view(p.names[i])
		from := i
		for i < len(p.names) && p.view(p.names[i]) == view {
			i++
		}
		fmt.Fprintf(&out, "%d-%d: %s\n", from, i-1, view)
	}
	return out.String()
}

func (p *pump) view(name string) string {
	n := p.nodes[name]
	if n.down {
		return "down"
	}
	view := fmt.Sprintf("%d live", len(n.Live()))
	if n.frozen {
		view += ", frozen"
	}
	if n.buried > 0 {
		view += fmt.Sprintf(", confirmed %d", n.buried)
	}
	if n.pauses > 0 {
		view += fmt.Sprintf(", paused %d times", n.pauses)
	}
	if n.replaced {
		view += ", replaced"
	}
	if p.ghost != nil && p.ghost.replaced && p.ghost.Self.Name == name {
		view += ", the earlier run knows that it is replaced"
	}
	return view
}
