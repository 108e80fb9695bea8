package berylpace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpace"
)

// rounds plays rounds of calls that use the whole limit and end one after the other, and returns the limit after each.
func rounds(p *berylpace.Pace, now *time.Time, slots, n int, call func(i int) berylpace.Call) []int {
	var limits []int
	for range n {
		inFlight, granted := p.Limit(slots), *now
		for i := range inFlight {
			c := call(i)
			c.GrantedAt, c.InFlight = granted, inFlight
			*now = now.Add(time.Millisecond)
			p.Observe(*now, slots, c)
		}
		limits = append(limits, p.Limit(slots))
	}
	return limits
}

func answered(first time.Duration) func(int) berylpace.Call {
	return func(i int) berylpace.Call {
		kind := berylpace.Latency{FirstEvent: 30 * time.Millisecond}
		return berylpace.Call{Host: string(rune('a' + i%2)), Latency: berylpace.Latency{FirstEvent: first}, Kind: kind}
	}
}

func ended(r berylpace.Result) func(int) berylpace.Call {
	return func(int) berylpace.Call { return berylpace.Call{Host: "a", Result: r} }
}

// TestRise guards against an upstream that is left idle, or loaded fully before it has shown what it can handle: for any
// number of slots a new one among proven ones has all slots after three rounds, and none at once.
func TestRise(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 8, 64} {
		is := is.New(t)
		var p berylpace.Pace
		now := time.Unix(1000, 0)
		p.Start(now, slots, 0, berylpace.New)
		is.True(p.Limit(slots) <= max(slots/8, 1))
		limits := rounds(&p, &now, slots, 4, answered(30*time.Millisecond))
		is.Equal(limits[3], slots)
		is.Equal(p.Cause(), berylpace.None)
	}
}

// TestLimits checks the limit after other starts and after signs of trouble.
func TestLimits(t *testing.T) {
	slow, fine := answered(100*time.Millisecond), answered(30*time.Millisecond)
	ofOneHost := func(int) berylpace.Call { return slow(0) }
	for _, c := range []struct {
		name  string
		slots int
		do    func(p *berylpace.Pace, now *time.Time)
		limit int
	}{
		{"all upstreams are new", 8, func(p *berylpace.Pace, now *time.Time) { p.Start(*now, 8, 1, berylpace.New) }, 8},
		{"a third is new", 9, func(p *berylpace.Pace, now *time.Time) { p.Start(*now, 9, 1.0/3, berylpace.New) }, 3},
		{"an answered probe doubles", 8, func(p *berylpace.Pace, now *time.Time) { p.Start(*now, 8, 0, berylpace.Recovered) }, 2},
		{"inherited", 8, func(p *berylpace.Pace, now *time.Time) { p.Inherit(*now, 8, 3, berylpace.Slow) }, 3},
		{"idle", 64, func(p *berylpace.Pace, now *time.Time) {
			p.Start(*now, 64, 0, berylpace.New)
			for range 100 { // one call at a time shows nothing about more
				p.Observe(*now, 64, berylpace.Call{GrantedAt: *now, InFlight: 1})
			}
		}, 8},
		{"one fault", 8, func(p *berylpace.Pace, now *time.Time) { rounds(p, now, 8, 1, ended(berylpace.Failure)) }, 8},
		{"one fault of a new one", 64, func(p *berylpace.Pace, now *time.Time) {
			p.Start(*now, 64, 0, berylpace.New)
			rounds(p, now, 64, 1, ended(berylpace.Failure))
		}, 4},
		{"slow where half of the kind's slots are missing", 64, func(p *berylpace.Pace, now *time.Time) {
			rounds(p, now, 64, 9, func(i int) berylpace.Call {
				c := slow(i)
				c.Missing = 0.5
				return c
			})
		}, 32},
		{"one call in fifty fails", 64, func(p *berylpace.Pace, now *time.Time) {
			rounds(p, now, 64, 60, func(i int) berylpace.Call {
				if i%50 == 49 {
					return ended(berylpace.Failure)(i)
				}
				return fine(i)
			})
		}, 64},
		{"one fault of one slot", 1, func(p *berylpace.Pace, now *time.Time) { p.Observe(*now, 1, ended(berylpace.Failure)(0)) }, 1},
		{"refused beside three calls", 8, func(p *berylpace.Pace, now *time.Time) {
			p.Observe(*now, 8, berylpace.Call{GrantedAt: *now, InFlight: 4, Result: berylpace.Refusal})
		}, 3},
		{"answered after a refusal", 8, func(p *berylpace.Pace, now *time.Time) {
			p.Observe(*now, 8, berylpace.Call{GrantedAt: *now, InFlight: 4, Result: berylpace.Refusal})
			rounds(p, now, 8, 1, fine) // two more for each answer, as far as three calls in flight show
		}, 7},
		{"slow, of two hosts", 8, func(p *berylpace.Pace, now *time.Time) { rounds(p, now, 8, 1, slow) }, 6},
		{"slow, of one host beside fine calls", 8, func(p *berylpace.Pace, now *time.Time) {
			rounds(p, now, 8, 8, func(i int) berylpace.Call {
				if i%3 == 0 {
					return slow(0)
				}
				return fine(1)
			})
		}, 8},
		{"slow, of the only host", 8, func(p *berylpace.Pace, now *time.Time) { rounds(p, now, 8, 1, ofOneHost) }, 6},
		{"as slow as ever", 8, func(p *berylpace.Pace, now *time.Time) {
			rounds(p, now, 8, 4, func(int) berylpace.Call { return berylpace.Call{Host: "a", Latency: slow(0).Latency} })
			rounds(p, now, 8, 4, slow)
		}, 8},
		{"flapping", 8, func(p *berylpace.Pace, now *time.Time) {
			for range 3 {
				p.Start(*now, 8, 0, berylpace.Recovered)
				rounds(p, now, 8, 1, fine)
				p.Eject(*now, 8, false)
			}
			p.Start(*now, 8, 0, berylpace.Recovered)
			rounds(p, now, 8, 2, fine) // twice, and one more for each round
		}, 4},
		{"new, with long calls only", 8, func(p *berylpace.Pace, now *time.Time) {
			p.Start(*now, 8, 0, berylpace.New)
			for range 12 {
				*now = now.Add(250 * time.Millisecond)
				p.Relax(*now, 8)
			}
		}, 4},
		{"fine after a fall", 8, func(p *berylpace.Pace, now *time.Time) {
			rounds(p, now, 8, 3, slow)
			rounds(p, now, 8, 2, fine) // one more for each round
		}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var p berylpace.Pace
			c.do(&p, &now)
			is.New(t).Equal(p.Limit(c.slots), c.limit)
		})
	}
}
