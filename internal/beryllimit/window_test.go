package beryllimit

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// Guards against refusals of an account that keeps to its rate and burst, wherever its requests arrive.
func TestAccountWithinItsLimitInCalm(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(r, "hosts")
		rate := rapid.SampledFrom([]float64{1, 3, 20, 199}).Draw(r, "rate")
		burst := rate * rapid.SampledFrom([]float64{1, 1, 2, 5}).Draw(r, "burst")
		seed := rapid.Uint64().Draw(r, "seed")
		refused := 0
		inFleet(t, hosts, windowed(rate, burst), func(v *fleet) {
			random := rand.New(rand.NewPCG(seed, 0))
			level, last := burst, time.Now()
			for start := time.Now(); time.Since(start) < 12*time.Second; {
				// Phases of rest, of bursts and of exactly the rate, at one host, at a few or at all.
				from := 1 + random.IntN(hosts)
				speed := rate * []float64{0.3, 1, 1, 8, 100}[random.IntN(5)]
				for end := time.Now().Add(time.Duration(random.IntN(1500)) * time.Millisecond); time.Now().Before(end); {
					now := time.Now()
					level, last = min(burst, level+rate*now.Sub(last).Seconds()), now
					if level >= 1 {
						level--
						v.send(v.hosts[random.IntN(from)])
					}
					time.Sleep(time.Duration(float64(time.Second) / speed))
				}
			}
			time.Sleep(time.Second)
			refused = v.countRefused()
		})
		if refused > 0 {
			r.Fatalf("%d refused", refused)
		}
	})
}

// Guards against more runs of an account than the bound allows in any window, under faults of its hosts.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		hosts := rapid.IntRange(2, 12).Draw(r, "hosts")
		rate := rapid.SampledFrom([]float64{2, 20, 199}).Draw(r, "rate")
		burst := rate * rapid.SampledFrom([]float64{0.2, 1, 3}).Draw(r, "burst")
		factor := rapid.SampledFrom([]float64{1.2, 3, 6.8}).Draw(r, "factor")
		skew := rapid.IntRange(1, hosts).Draw(r, "skew")
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"none", "kill", "cut-one", "cut-some", "freeze", "two-owners", "restart-all"}), 3, 3).Draw(r, "faults")
		seed := rapid.Uint64().Draw(r, "seed")
		most, bound := 0, 0.0
		inFleet(t, hosts, windowed(rate, burst), func(v *fleet) {
			random := rand.New(rand.NewPCG(seed, 0))
			pick := func() string { return v.hosts[random.IntN(skew)] }
			v.load(rate*factor, time.Second, pick)
			for _, fault := range faults {
				v.fault(fault, random, rate*factor, pick)
			}
			time.Sleep(time.Second)
			most, bound = v.worst(rate, burst)
		})
		if float64(most) > bound { // Outside of the bubble, where rapid can go on.
			r.Fatalf("%d in a window, the bound is %.0f", most, bound)
		}
	})
}

// Guards against a burst after all hosts have restarted, when nobody knows what ran just before.
func TestAllHostsRestartInsideAWindow(t *testing.T) {
	is := is.NewRelaxed(t)
	const rate, burst = 199, 199
	inFleet(t, 74, windowed(rate, burst), func(v *fleet) {
		pick := func() string { return v.hosts[rand.IntN(len(v.hosts))] }
		v.load(3*rate, 3*time.Second, pick)
		for _, host := range v.hosts {
			v.kill(host)
		}
		time.Sleep(1200 * time.Millisecond)
		before := v.countAdmitted()
		for _, host := range v.hosts {
			v.start(host)
		}
		v.load(3*rate, 4*time.Second, pick)
		time.Sleep(time.Second)
		after := v.countAdmitted() - before
		most, bound := v.worst(rate, burst)
		t.Logf("%d in a window, bound %.0f; %d in the 4 s after the restart", most, bound, after)
		is.True(float64(most) <= bound)
		is.True(after >= 3*rate) // the rate is served again
	})
}

// Guards against an owner's loss that leaves its accounts without service, or with more than the bound.
func TestOwnerOfAHotAccountDies(t *testing.T) {
	is := is.NewRelaxed(t)
	const rate, burst = 199, 199
	inFleet(t, 12, windowed(rate, burst), func(v *fleet) {
		pick := func() string { return v.hosts[rand.IntN(len(v.hosts))] }
		v.load(3*rate, 3*time.Second, pick)
		v.kill(v.owner())
		time.Sleep(leaseRequestTimeout)
		before := v.countAdmitted()
		v.detect(3*rate, 4*time.Second, pick)
		time.Sleep(time.Second)
		after := v.countAdmitted() - before
		most, bound := v.worst(rate, burst)
		t.Logf("%d in a window, bound %.0f; %d in the 4 s after the loss", most, bound, after)
		is.True(float64(most) <= bound)
		// A second of shares, a second of the new owner's first rate, and two of the whole rate.
		is.True(float64(after) >= (cutOffShare+ownerRampShare+2)*rate)
	})
}

// Guards against a host that is cut off and goes on by an old, higher limit or by the whole of the new one.
func TestLowerLimitAtAHostThatIsCutOff(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 12, windowed(199, 199), func(v *fleet) {
		alone := v.hosts[0]
		if alone == v.owner() {
			alone = v.hosts[1]
		}
		pick := func() string {
			if rand.IntN(2) == 0 {
				return alone
			}
			return v.hosts[rand.IntN(len(v.hosts))]
		}
		v.load(400, 3*time.Second, pick)
		v.setCut(alone, 1)
		v.detect(400, 2*time.Second, pick)
		v.setLimit(20, 20)
		v.load(400, windowLength, pick)
		v.takeAdmitted()
		v.load(400, 10*time.Second, pick)
		most, bound := v.worst(20, 20)
		t.Logf("%d in a window, bound %.0f", most, bound)
		is.True(float64(most) <= bound)
		is.True(most >= 100)
		v.setLimit(199, 199)
		v.takeAdmitted()
		v.load(400, 10*time.Second, pick)
		raised := v.takeAdmitted()
		t.Log("admitted after the limit was raised", raised)
		is.True(raised >= 9*199)
	})
}

// Guards against a hot account that takes anything from small ones: each has its own bucket.
func TestHotAccountBesideSmallOnes(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 12, windowed(50, 50), func(v *fleet) {
		small := windowed(2, 2)
		small.Name = "small"
		refusals := 0
		for i := range 2000 {
			v.send(v.hosts[i%12])
			if i%250 == 0 {
				v.mu.Lock()
				hot := v.account
				v.account = small
				v.mu.Unlock()
				if _, refusal := v.limiters[v.hosts[i/250]].Admit(context.Background(), &small); refusal != nil {
					refusals++
				}
				v.mu.Lock()
				v.account = hot
				v.mu.Unlock()
			}
			time.Sleep(4 * time.Millisecond)
		}
		is.Equal(refusals, 0)
		is.True(v.countAdmitted() >= 400 && v.countAdmitted() <= 500) // 50 and 8 s of 50
	})
}

// Guards against an owner that was frozen and grants from what it knew before, while another one has granted since.
func TestOwnerThatWasPaused(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 6, windowed(20, 200), func(v *fleet) {
		owner := v.owner()
		others := slices.DeleteFunc(slices.Clone(v.hosts), func(h string) bool { return h == owner })
		pick := func() string { return others[rand.IntN(len(others))] }
		v.load(10, time.Second, pick)
		v.freeze(owner, true)
		v.detect(100, 20*time.Second, pick) // The other owner's bucket is filled and spent.
		v.freeze(owner, false)
		v.refresh()
		v.load(300, 4*time.Second, pick)
		time.Sleep(leaseRequestTimeout)
		most, bound := v.worst(20, 200)
		t.Logf("%d in a window, bound %.0f", most, bound)
		is.True(float64(most) <= bound)
		is.True(v.takeAdmitted() < 20*25+100)
	})
}

// Guards against an owner that was cut off without requests of its own and then grants the burst that another one has granted.
func TestOwnerThatWasCutOff(t *testing.T) {
	for _, known := range []bool{false, true} {
		is := is.NewRelaxed(t)
		inFleet(t, 12, windowed(20, 200), func(v *fleet) {
			owner := v.owner()
			others := slices.DeleteFunc(slices.Clone(v.hosts), func(h string) bool { return h == owner })
			pick := func() string { return others[rand.IntN(len(others))] }
			if known {
				v.load(10, time.Second, pick)
			}
			v.setCut(owner, 1)
			v.detect(1, 15*time.Second, pick) // The other owner's bucket is filled.
			v.takeAdmitted()
			v.load(300, 4*time.Second, pick)
			v.setCut(owner, 0)
			v.refresh()
			v.load(300, 4*time.Second, pick)
			time.Sleep(leaseRequestTimeout)
			most, bound := v.worst(20, 200)
			t.Logf("%d in a window, bound %.0f", most, bound)
			is.True(float64(most) <= bound)
		})
	}
}

// Guards against two hosts that both grant the whole limit for as long as they do not agree who the owner is.
func TestTwoOwnersForASecond(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 12, windowed(199, 199), func(v *fleet) {
		pick := func() string { return v.hosts[rand.IntN(len(v.hosts))] }
		v.load(600, 3*time.Second, pick)
		owner := v.owner()
		left := slices.DeleteFunc(slices.Clone(v.hosts), func(h string) bool { return h == owner })
		v.mu.Lock()
		for _, host := range left[:6] {
			v.setViewLocked(host, left)
		}
		v.mu.Unlock()
		v.load(600, time.Second, pick)
		v.refresh()
		v.load(600, 3*time.Second, pick)
		time.Sleep(leaseRequestTimeout)
		most, bound := v.worst(199, 199)
		t.Logf("%d in a window, bound %.0f", most, bound)
		is.True(float64(most) <= bound)
	})
}

// Guards against a Retry-After that sends callers back before they can be admitted, or much later.
func TestPredictedTimeOfARefusal(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 3, windowed(10, 10), func(v *fleet) {
		l := v.limiters[v.hosts[0]]
		var refusal *beryloutcome.Refusal
		for refusal == nil {
			_, refusal = l.Admit(context.Background(), &v.account)
		}
		t.Log("wait", refusal.RetryAfter)
		is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= 110*time.Millisecond)
		time.Sleep(refusal.RetryAfter)
		_, refusal = l.Admit(context.Background(), &v.account)
		is.True(refusal == nil)
	})
}

// Guards against refunds that are lost, retries that are refused and debts that nobody pays.
func TestRefundsAndDebts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(a *Admission)
		least int
		most  int
	}{
		{"all are refunded", func(a *Admission) { a.Refund() }, 1000, 1000},
		{"all run once", func(*Admission) {}, 140, 175},
		{"all run twice", func(a *Admission) { a.Charge() }, 70, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			inFleet(t, 4, windowed(10, 40), func(v *fleet) {
				admitted := 0
				for i := range 1000 {
					if a, refusal := v.limiters[v.hosts[i%4]].Admit(context.Background(), &v.account); refusal == nil {
						admitted++
						tc.after(a)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Log("admitted", admitted)
				is.True(admitted >= tc.least && admitted <= tc.most)
			})
		})
	}
}

// Guards against messages for accounts without a limit, and against an owner whose lost answers use up the limit.
func TestLostAndRepeatedLeases(t *testing.T) {
	is := is.NewRelaxed(t)
	now := time.Now()
	l := windowLimit{rate: 10, burst: 20}
	g := newLedger(now, now.Add(-time.Hour), l)
	req := LeaseRequest{Host: "a", Sequence: 1 << 40, Requests: 5}
	first := g.lease(now, l, req)
	is.Equal(first.Requests, 5.0)
	is.Equal(g.lease(now, l, req), first) // a repeated message
	is.Equal(g.level, 15.0)
	req.Sequence, req.Missed = req.Sequence+1, 1 // the host has not received the first grant
	is.Equal(g.lease(now, l, req).Requests, 5.0)
	is.Equal(g.level, 15.0)
	req.Missed = 0
	req.Sequence, req.Returned, req.Debt = req.Sequence+1, 4, 7
	g.lease(now, l, req)
	is.Equal(g.level, 15.0+4-7-5)
	req.Sequence += 1 << 30 // another run of the host: nothing is credited
	level := g.level
	g.lease(now, l, LeaseRequest{Host: "a", Sequence: req.Sequence, Returned: 100})
	is.Equal(g.level, level)

	inFleet(t, 2, windowed(0, 0), func(v *fleet) {
		a, refusal := v.limiters[v.hosts[0]].Admit(context.Background(), &v.account)
		is.True(a == nil && refusal == nil)
		is.Equal(v.messages, 0) // nothing runs that sends
	})
}

// Guards against an older owner, which does not know the message, that lets its accounts be admitted without bound or not at
// all, and against a log line for each refusal.
func TestOwnerThatDoesNotKnowTheMessage(t *testing.T) {
	is := is.NewRelaxed(t)
	inFleet(t, 4, windowed(40, 40), func(v *fleet) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		lines := logtest.NewLocal(log)
		account, config := v.account, v.limiters[v.hosts[0]].config
		config.Log = log
		config.Owners = func() []string { return []string{"older"} }
		config.RequestLease = func(context.Context, string, LeaseRequest) (LeaseGrant, error) {
			return LeaseGrant{}, errors.New("unknown-kind")
		}
		l := New(config)
		admitted := 0
		for range 1000 {
			if _, refusal := l.Admit(context.Background(), &account); refusal == nil {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(admitted >= 45 && admitted <= 50) // half of a quarter of 40, for 10 s
		is.True(len(lines.AllEntries()) >= 10 && len(lines.AllEntries()) <= 11*maxLinesPerSecond)
		is.Equal(lines.AllEntries()[0].Data["outcome"], "share")
		status := l.Status()
		is.Equal(len(status), 1)
		is.True(status[0].Fallback && status[0].ByShare == uint64(admitted) && status[0].Refused == uint64(1000-admitted))
		_, err := v.limiters[v.owner()].HandleLeaseRequest(context.Background(), "older", LeaseRequest{Caller: account.Name, Requests: 1})
		is.True(err != nil) // a request of the own interface gets nothing of a windowed account
	})
}

// Guards against parts of the limit that add up to more than the whole when a fleet falls apart.
func TestPartsOfTheLimit(t *testing.T) {
	is := is.NewRelaxed(t)
	for listed := range 100 {
		for live := range listed {
			both := ownerPart(live, listed) + ownerPart(listed-live, listed)
			is.True(live == 0 || both <= 1.05+math.SmallestNonzeroFloat64)
		}
	}
}
