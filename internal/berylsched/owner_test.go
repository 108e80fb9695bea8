package berylsched_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// TestOwner runs the scripts in testdata/owner, which list events and the actions that the Owner returns for each.
func TestOwner(t *testing.T) {
	datadriven.Walk(t, "testdata/owner", func(t *testing.T, path string) {
		s := &ownerScript{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

type ownerScript struct {
	owner berylsched.Owner
	now   time.Time
}

func (s *ownerScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "configure":
		return s.show(s.owner.Configure(s.now, s.config(t, d)))
	case "own":
		var names []string
		for _, a := range d.CmdArgs {
			names = append(names, a.Key)
		}
		return s.show(s.owner.SetOwned(s.now, names))
	case "request":
		return s.show(s.owner.Request(s.now, s.request(t, d)))
	case "withdraw":
		return s.show(s.owner.Withdraw(s.now, parseID(t, d.CmdArgs[0].Key)))
	case "release":
		return s.show(s.owner.Release(s.now, s.release(t, d)))
	case "held":
		return s.show(s.owner.ReconcileHeld(s.now, s.held(t, d)))
	case "remove-host":
		return s.show(s.owner.RemoveHost(s.now, d.CmdArgs[0].Key, 1))
	case "paused":
		return s.show(s.owner.RecoverFromPause(s.now))
	case "peers":
		return s.show(s.owner.RecordPeerLoads(s.now, s.peers(t, d)))
	case "wait":
		s.now = s.now.Add(duration(t, d.CmdArgs[0].Key))
		return s.show(s.owner.Tick(s.now))
	case "limit":
		return s.show(s.owner.ReportStatement(s.now, s.limit(t, d)))
	case "loads":
		return showLoads(s.owner.Loads())
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	}
}

// config reads "long-share=0.5 pace" and lines such as "u1 slots=2 targets=m,n leaving".
func (s *ownerScript) config(t *testing.T, d *datadriven.TestData) berylsched.Config {
	c := berylsched.Config{LongShare: 0.5}
	s.owner.AdaptivePace = s.owner.AdaptivePace || d.HasArg("pace")
	if d.HasArg("long-share") {
		var share string
		d.ScanArgs(t, "long-share", &share)
		c.LongShare, _ = strconv.ParseFloat(share, 64)
	}
	for _, line := range strings.Split(d.Input, "\n") {
		var u berylsched.Upstream
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			switch key {
			case "slots":
				u.Slots, _ = strconv.Atoi(value)
			case "targets":
				u.Targets = strings.Split(value, ",")
			case "leaving":
				u.Leaving = true
			default:
				u.Name = field
			}
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	return c
}

// request reads "h1/7 batch long queue hedge remaining=5s avoid=u1,u2 prefer=u3 target=m account=a priority=1 tokens=9".
func (s *ownerScript) request(t *testing.T, d *datadriven.TestData) berylpermit.Request {
	req := berylpermit.Request{Target: "m", Remaining: time.Minute, ID: parseID(t, d.CmdArgs[0].Key)}
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "batch":
			req.Class = berylpermit.Batch
		case "long":
			req.Long = true
		case "queue":
			req.Queue = true
		case "hedge":
			req.Hedge = true
		case "remaining":
			req.Remaining = duration(t, a.Vals[0])
		case "avoid":
			req.Avoid = a.Vals
		case "prefer":
			req.Prefer = a.Vals
		case "target":
			req.Target = a.Vals[0]
		case "account":
			req.Account = a.Vals[0]
		case "priority":
			req.Priority, _ = strconv.Atoi(a.Vals[0])
		case "tokens":
			req.Tokens, _ = strconv.Atoi(a.Vals[0])
		default:
			t.Fatalf("%s: unknown argument %q", d.Pos, a.Key)
		}
	}
	return req
}

// release reads "h1/7 busy=1s first=10ms gap=5ms fault".
func (s *ownerScript) release(t *testing.T, d *datadriven.TestData) berylpermit.Release {
	r := berylpermit.Release{ID: parseID(t, d.CmdArgs[0].Key)}
	r.Report.Kind = beryloutcome.Answered
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "busy":
			r.Report.HeldFor = duration(t, a.Vals[0])
		case "first":
			r.Report.TimeToFirstToken = duration(t, a.Vals[0])
		case "gap":
			r.Report.InterTokenLatency = duration(t, a.Vals[0])
		case "fault":
			r.Report.Kind = beryloutcome.Failed
			r.Report.Fault = true
		case "refused":
			r.Report.Kind = beryloutcome.NotRun
			r.Report.Refused = true
		}
	}
	return r
}

// held reads "h1" and lines such as "h1/7 u1 batch long age=2s account=a".
func (s *ownerScript) held(t *testing.T, d *datadriven.TestData) berylpermit.HeldReport {
	h := berylpermit.HeldReport{Host: d.CmdArgs[0].Key, Boot: 1}
	for _, line := range strings.Split(d.Input, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		p := berylpermit.HeldPermit{ID: parseID(t, fields[0]), Upstream: fields[1]}
		for _, f := range fields[2:] {
			switch {
			case f == "batch":
				p.Class = berylpermit.Batch
			case f == "long":
				p.Long = true
			case strings.HasPrefix(f, "account="):
				p.Account = f[len("account="):]
			case strings.HasPrefix(f, "age="):
				p.Age = duration(t, f[len("age="):])
			}
		}
		h.Permits = append(h.Permits, p)
	}
	return h
}

// peers reads lines such as "u4 first=10ms gap=5ms".
func (s *ownerScript) peers(t *testing.T, d *datadriven.TestData) []berylpermit.Load {
	var loads []berylpermit.Load
	for _, line := range strings.Split(d.Input, "\n") {
		var l berylpermit.Load
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			switch key {
			case "first":
				l.TimeToFirstToken = duration(t, value)
			case "gap":
				l.InterTokenLatency = duration(t, value)
			case "straggler":
				l.Straggler = true
			case "slots":
				l.Slots, _ = strconv.Atoi(value)
			case "pace":
				l.Pace, _ = strconv.Atoi(value)
				l.PaceCause = berylpace.Slow
			case "limit":
				l.Limit = parseLimit(t, value)
			default:
				l.Upstream = field
			}
		}
		loads = append(loads, l)
	}
	return loads
}

// limit reads "u1 per-second=2.5 age=100ms", where the limit is "none" for an answer that names none.
func (s *ownerScript) limit(t *testing.T, d *datadriven.TestData) berylpermit.StatementReport {
	r := berylpermit.StatementReport{Upstream: d.CmdArgs[0].Key}
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "per-second":
			r.Statement.Limit = parseLimit(t, a.Vals[0])
		case "age":
			r.SentAge = duration(t, a.Vals[0])
		}
	}
	return r
}

func parseLimit(t *testing.T, text string) berylpermit.Limit {
	if text == "none" {
		return berylpermit.Limit{Known: true}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return berylpermit.Limit{Known: true, Limited: true, PerSecond: perSecond}
}

func showLimit(l berylpermit.Limit) string {
	if !l.Limited {
		return "none"
	}
	return fmt.Sprintf("%g", l.PerSecond)
}

func (s *ownerScript) show(actions []berylsched.Action) string {
	var b strings.Builder
	for _, a := range actions {
		if a.Kind == berylsched.ActionYield {
			fmt.Fprintf(&b, "yield %s on %s\n", showID(a.Yield.ID), a.Yield.Upstream)
			continue
		}
		if a.Kind == berylsched.ActionLimit {
			fmt.Fprintf(&b, "limit of %s: %s\n", a.Limit.Upstream, showLimit(a.Limit.Limit))
			continue
		}
		if a.Kind == berylsched.ActionPace {
			fmt.Fprintf(&b, "pace of %s: %d of %d (%s)\n", a.Pace.Upstream, a.Pace.Limit, a.Pace.Slots, a.Pace.Cause)
			continue
		}
		if a.Kind == berylsched.ActionHealth {
			b.WriteString(showHealth(a.Health))
			continue
		}
		switch r := a.Reply; r.Verdict {
		case berylpermit.Granted:
			fmt.Fprintf(&b, "grant %s on %s\n", showID(r.ID), r.Upstream)
		case berylpermit.Refused:
			fmt.Fprintf(&b, "refuse %s wait=%s\n", showID(r.ID), r.PredictedWait.Round(time.Millisecond))
		case berylpermit.NotOwner:
			fmt.Fprintf(&b, "not-owner %s\n", showID(r.ID))
		}
	}
	return b.String()
}

func showHealth(c berylsched.HealthChange) string {
	if !c.Ejected {
		return fmt.Sprintf("back in use: %s\n", c.Upstream)
	}
	return fmt.Sprintf("ejected: %s for %s\n", c.Upstream, c.Cause)
}

func showLoads(loads []berylpermit.Load) string {
	var b strings.Builder
	for _, l := range loads {
		fmt.Fprintf(&b, "%s slots=%d online=%d batch=%d", l.Upstream, l.Slots, l.Online, l.Batch)
		if l.Straggler {
			b.WriteString(" straggler")
		}
		if l.Limit.Limited {
			fmt.Fprintf(&b, " limit=%g", l.Limit.PerSecond)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func parseID(t *testing.T, name string) berylpermit.ID {
	host, seq, _ := strings.Cut(name, "/")
	n, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		t.Fatalf("bad id %q", name)
	}
	return berylpermit.ID{Host: host, Boot: 1, Seq: n}
}

func showID(id berylpermit.ID) string {
	return fmt.Sprintf("%s/%d", id.Host, id.Seq)
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
