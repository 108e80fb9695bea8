package berylsched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	paceUpstreams = 16
	paceSlots     = 8
	paceCapacity  = paceUpstreams * paceSlots / 0.7 // requests per second
	stepPeriod    = 5200 * time.Millisecond
)

// paceTrial is a fairTrial of one account with upstreams that are replaced.
type paceTrial struct {
	*fairTrial
	names   []string
	started map[string]time.Time
}

func newPaceTrial(adaptive bool) *paceTrial {
	p := &paceTrial{fairTrial: newFairTrial(1, 0, 0), started: make(map[string]time.Time)}
	p.owners[0].AdaptivePace = adaptive
	for i := range paceUpstreams {
		p.names = append(p.names, fmt.Sprint("u", i))
	}
	p.configure(p.names, paceSlots)
	return p
}

// replace replaces the upstream at an index by a new one.
func (p *paceTrial) replace(indexes ...int) {
	for _, i := range indexes {
		p.names[i] += "'"
		p.started[p.names[i]] = p.now
	}
	p.configure(p.names, paceSlots)
}

// good runs a load and returns the share of the requests that were answered with a first event in time.
func (p *paceTrial) good(rate func(time.Duration) float64, warmup, length time.Duration) float64 {
	p.run([]accountLoad{{tokens: 100, perSecond: rate}}, warmup, length)
	r := p.results[""]
	return float64(r.inTime) / float64(r.sent)
}

// isCold reports whether an upstream has started less than warmFor ago.
func (p *paceTrial) isCold(upstream string, warmFor time.Duration) bool {
	at, ok := p.started[upstream]
	return ok && p.now.Sub(at) < warmFor
}

// thrash is an upstream that can run two calls at full speed; with more, all become slower.
func thrash(inFlight int, held time.Duration) berylpermit.Report {
	factor := time.Duration(max(inFlight/2, 1))
	return berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 30 * time.Millisecond * factor * factor * factor, HeldFor: held * factor}
}

func steps(at time.Duration) float64 {
	if at%stepPeriod < 2200*time.Millisecond {
		return 1.85 * paceCapacity
	}
	return 0.378 * paceCapacity
}

// compare runs a trial without and with the adaptive pace and returns both results.
func compare(t *testing.T, trial func(p *paceTrial) float64) (before, after float64) {
	before, after = trial(newPaceTrial(false)), trial(newPaceTrial(true))
	t.Logf("answered in time: %.4f without, %.4f with adaptive pace", before, after)
	return before, after
}

// TestReleaseUnderStepLoad guards against new upstreams that get all their slots while they are cold: seven of sixteen are
// replaced, one a second, under a load that rises five times within a second, and thrash for their first 3 s.
func TestReleaseUnderStepLoad(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		p.behave = func(upstream string, inFlight int, held time.Duration) berylpermit.Report {
			if p.isCold(upstream, 3*time.Second) {
				return thrash(inFlight, held)
			}
			return behaveSound(upstream, inFlight, held)
		}
		p.step = func(at time.Duration) {
			if n := int(at/time.Second) - 5; at%time.Second == 0 && n >= 0 && n < 7 {
				p.replace(n)
			}
		}
		return p.good(steps, 4*time.Second, 4*stepPeriod)
	})
	is.New(t).True(after > before+0.01)
}

// TestDomainReturnsAtOnce guards against requests refused out of caution: a third of the upstreams returns at once under
// full load and is sound.
func TestDomainReturnsAtOnce(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		all := p.names
		p.step = func(at time.Duration) {
			switch at {
			case 3 * time.Second:
				p.names = all[:11]
				p.configure(p.names, paceSlots)
			case 6 * time.Second:
				p.names = all
				p.replace(11, 12, 13, 14, 15)
			}
		}
		return p.good(steady(0.95*paceCapacity), 6*time.Second, 12*time.Second)
	})
	is.New(t).True(after > before-0.01)
}

// TestSlowStarterBesideSoundOnes guards against an upstream that is slow for its first 10 s and gets a full share of the
// requests meanwhile.
func TestSlowStarterBesideSoundOnes(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		p.behave = func(upstream string, inFlight int, held time.Duration) berylpermit.Report {
			if p.isCold(upstream, 10*time.Second) {
				return berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 400 * time.Millisecond, HeldFor: held}
			}
			return behaveSound(upstream, inFlight, held)
		}
		p.step = func(at time.Duration) {
			if at == 3*time.Second {
				p.replace(0, 1, 2)
			}
		}
		return p.good(steady(0.7*paceCapacity), 3*time.Second, 6*time.Second)
	})
	is.New(t).True(after > before+0.01)
}

// TestReadyButFailing guards against upstreams that report ready, fail all calls and get one for each of their slots.
func TestReadyButFailing(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		p.behave = func(upstream string, inFlight int, held time.Duration) berylpermit.Report {
			if at, ok := p.started[upstream]; ok && p.now.Sub(at) > 0 {
				return berylpermit.Report{Kind: beryloutcome.Failed, Fault: true, HeldFor: 200 * time.Millisecond}
			}
			return behaveSound(upstream, inFlight, held)
		}
		p.step = func(at time.Duration) {
			if at%(2*time.Second) == 0 && at >= 4*time.Second {
				p.replace(int(at/(2*time.Second)) % paceUpstreams)
			}
		}
		return p.good(steady(0.7*paceCapacity), 3*time.Second, 20*time.Second)
	})
	is.New(t).True(after > before)
}

// TestAllUpstreamsNew guards against caution where nothing else could serve: all upstreams are new and full load arrives at
// once. The decisions are those without the adaptive pace.
func TestAllUpstreamsNew(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		return p.good(steady(0.95*paceCapacity), 0, 3*time.Second)
	})
	is.New(t).Equal(after, before)
}

// TestFullOfRunsOfLostHosts guards against sending to upstreams that refuse because they still run calls of hosts that were
// lost: at first each has room for two calls, and 1.5 s later for all.
func TestFullOfRunsOfLostHosts(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		p.behave = func(upstream string, inFlight int, held time.Duration) berylpermit.Report {
			at := p.now.Sub(time.Unix(1000, 0))
			if at < 1500*time.Millisecond && inFlight > 2+int(at/(300*time.Millisecond)) {
				return berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true, HeldFor: 2 * time.Millisecond}
			}
			return behaveSound(upstream, inFlight, held)
		}
		return p.good(steady(0.95*paceCapacity), 0, 12*time.Second)
	})
	is.New(t).True(after >= before)
	is.New(t).True(after > 0.96)
}

// TestScatteredFaults guards against caution for faults that have nothing to do with the number of calls: 3 in 100 calls fail.
func TestScatteredFaults(t *testing.T) {
	before, after := compare(t, func(p *paceTrial) float64 {
		p.behave = func(upstream string, inFlight int, held time.Duration) berylpermit.Report {
			if p.random.IntN(33) == 0 {
				return berylpermit.Report{Kind: beryloutcome.Failed, Fault: true, HeldFor: held}
			}
			return behaveSound(upstream, inFlight, held)
		}
		return p.good(steady(0.95*paceCapacity), 0, 12*time.Second)
	})
	is.New(t).True(after > before-0.01)
}
