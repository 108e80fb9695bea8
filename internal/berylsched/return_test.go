package berylsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Guards against sound upstreams being flooded when all hosts start at the same moment under full load: each host owns all
// upstreams until it knows the others.
func TestAllHostsReturnAtThePeak(t *testing.T) {
	const hosts, upstreams, slots, engineQueue = 58, 44, 8, 24
	// In flight at the peak: 390 requests a second of 0.45 s.
	const inFlight = 175
	now := time.Unix(1_700_000_000, 0)
	var config Config
	var names []string
	for i := range upstreams {
		names = append(names, fmt.Sprintf("u-%02d", i))
		config.Upstreams = append(config.Upstreams, Upstream{Name: names[i], Slots: slots, Targets: []string{"m"}})
	}
	owners := make([]Owner, hosts)
	for i := range owners {
		owners[i].Host = fmt.Sprintf("host-%d", i)
		owners[i].Configure(now, config)
		owners[i].SetOwned(now, names)
	}
	calls := make(map[string]int)
	for i := range inFlight {
		host := i % hosts
		id := berylpermit.ID{Host: owners[host].Host, Boot: 1, Seq: uint64(i)}
		for _, a := range owners[host].Request(now, berylpermit.Request{ID: id, Target: "m", Remaining: 5 * time.Second}) {
			calls[a.Reply.Upstream]++
		}
	}
	for name, n := range calls {
		if n > slots+engineQueue/2 {
			t.Errorf("%s gets %d of %d requests, with %d slots and a queue of %d", name, n, inFlight, slots, engineQueue)
		}
	}
}

// Guards against an owner ejecting sound upstreams after a takeover for refusals and latencies that other owners caused.
func TestEvidenceOfAnUnsettledOwner(t *testing.T) {
	refused := berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true}
	slow := berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 2 * time.Second}
	fault := berylpermit.Report{Kind: beryloutcome.Unknown, Fault: true}
	for _, tt := range []struct {
		name    string
		report  berylpermit.Report
		owned   time.Duration // how long the host has owned the upstreams
		ejected bool
	}{
		{"refusals after a takeover", refused, 0, false},
		{"refusals later", refused, takeoverGrace, true},
		{"slow answers after a takeover", slow, 0, false},
		{"slow answers later", slow, takeoverGrace, true},
		{"faults after a takeover", fault, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			o := &Owner{Host: "h"}
			var config Config
			var names []string
			for i := range 4 {
				names = append(names, fmt.Sprintf("u-%d", i))
				config.Upstreams = append(config.Upstreams, Upstream{Name: names[i], Slots: 4, Targets: []string{"m"}})
			}
			o.Configure(now, config)
			o.SetOwned(now, names)
			now = now.Add(tt.owned)
			for i := range 4 * maxConsecutiveRefusals {
				id := berylpermit.ID{Host: "h", Boot: 1, Seq: uint64(i)}
				replies := o.Request(now, berylpermit.Request{ID: id, Target: "m", Remaining: 5 * time.Second, Prefer: names[i%4 : i%4+1]})
				is.Equal(replies[0].Reply.Verdict, berylpermit.Granted)
				name, report := replies[0].Reply.Upstream, berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 20 * time.Millisecond}
				if name == "u-0" {
					report = tt.report
				}
				o.Release(now, berylpermit.Release{ID: id, Upstream: name, Report: report})
				now = now.Add(10 * time.Millisecond)
			}
			o.Tick(now.Add(evaluateInterval))
			is.Equal(o.upstreams["u-0"].health.ejected, tt.ejected)
		})
	}
}
