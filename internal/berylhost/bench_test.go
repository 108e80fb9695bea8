package berylhost_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"berylroad.example/berylroad/internal/berylhost"
)

// BenchmarkConfirm kills one host of a fleet, a new one in each round, whose hosts have found each other. It reports the
// time until all others have confirmed the host dead.
func BenchmarkConfirm(b *testing.B) {
	for _, count := range []int{6, 24, 96, 420} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				sim := newSettledSimulator(b, uint64(len(took)), count)
				sim.run(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
				sim.kill(1)
				took = append(took, sim.runUntil(time.Minute, func() bool { return sim.converged(count - 1) }))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "worst-ms")
		})
	}
}

// BenchmarkMinute simulates a fleet for a minute after its hosts have found each other, including the encoding of its
// messages.
func BenchmarkMinute(b *testing.B) {
	for _, count := range []int{6, 24, 96, 420} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			sim := newSettledSimulator(b, 1, count)
			var rate float64
			for b.Loop() {
				rate = traffic(sim)
			}
			b.ReportMetric(rate, "bytes/s/host")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count*trafficSeconds), "cpu-us/s/host")
		})
	}
}

// BenchmarkFirst measures First, which chooses the owner of an upstream.
func BenchmarkFirst(b *testing.B) {
	for _, count := range []int{6, 420} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			live := newSimulator(1, count).nodes["mu-north-entry-000"].Live()
			for i := range count {
				live = append(live, member(fmt.Sprintf("mu-north-entry-%03x", i), 1))
			}
			b.ReportAllocs()
			for b.Loop() {
				berylhost.First("ribdesk-llm-12", live, "mu-north")
			}
		})
	}
}
