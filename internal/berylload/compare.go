package berylload

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylfleet"
)

const (
	fleetReadyTimeout = time.Minute
	// warmUp is how long the load runs before the measurement starts.
	warmUp = 2500 * time.Millisecond
)

// Comparison is the result of a scenario.
type Comparison struct {
	// Scenario is the Scenario.Name of the scenario that was run.
	Scenario string `json:"scenario"`
	// Seed is the seed of the random arrival times.
	Seed uint64 `json:"seed"`
	// MaxP99Ratio is the largest VariantResult.P99Ratio that meets the target.
	MaxP99Ratio float64 `json:"target-ratio"`
	// Runs holds the results of the variants in the order in which they ran.
	Runs []VariantResult `json:"runs"`
}

// VariantResult is the result of one variant.
type VariantResult struct {
	// Variant is the Variant.Name of the variant that was run.
	Variant string `json:"variant"`
	// Streams holds the results of the online requests by stream.
	Streams []StreamStats `json:"streams"`
	// P99Ratio is the p99 time to the first token of the measured stream, divided by that of the reference variant. It is
	// negative if either is unknown.
	P99Ratio float64 `json:"p99-ratio"`
	// BatchRate is the number of batch items completed per second.
	BatchRate float64 `json:"batch-items-per-second"`
	// BatchShare is BatchRate divided by the rate that batch work alone reaches with the slots that online work leaves free.
	// It is zero if the scenario does not measure batch work alone.
	BatchShare float64 `json:"batch-share"`
	// ExtraCalls is the number of upstream calls beyond one per request, divided by the number of requests.
	ExtraCalls float64 `json:"extra-calls"`
}

// Compare runs the variants of a scenario one after the other, each on a new fleet.
func Compare(ctx context.Context, s Scenario, seed uint64) (*Comparison, error) {
	c := &Comparison{Scenario: s.Name, Seed: seed, MaxP99Ratio: s.MaxP99Ratio}
	for _, v := range s.Variants {
		result, err := runVariant(ctx, &s, v, seed)
		if err != nil {
			return nil, errors.Wrap(err, v.Name)
		}
		c.Runs = append(c.Runs, *result)
	}
	reference := c.Runs[0].p99(s.MeasuredStream)
	for i := range c.Runs {
		c.Runs[i].P99Ratio = ratio(c.Runs[i].p99(s.MeasuredStream), reference)
	}
	c.computeBatchShares(s)
	return c, nil
}

// p99 returns the p99 time to the first token of a stream in milliseconds, or -1 if the variant does not run that stream.
func (o *VariantResult) p99(stream string) float64 {
	for _, f := range o.Streams {
		if f.Name == stream {
			return f.FirstTokenP99
		}
	}
	return -1
}

func ratio(value, reference float64) float64 {
	if value <= 0 || reference <= 0 {
		return -1
	}
	return value / reference
}

func runVariant(ctx context.Context, s *Scenario, v Variant, seed uint64) (*VariantResult, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := s.FleetConfig
	config.Log = log
	config.Rules.Routing = v.Routing
	fleet, err := berylfleet.Start(config)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return nil, errors.CombineErrors(err, fleet.Stop())
	}
	result, err := measure(ctx, s, v, seed, fleet)
	return result, errors.CombineErrors(err, fleet.Stop())
}

// measure starts the batch jobs and the slowdowns of engines, warms the fleet up, and then measures for the scenario's duration.
func measure(ctx context.Context, s *Scenario, v Variant, seed uint64, fleet *berylfleet.Fleet) (*VariantResult, error) {
	target := &Target{Addresses: fleet.Addresses(), Key: fleet.APIKey, Model: s.FleetConfig.Model}
	interference, stopInterference := context.WithCancel(ctx)
	var slowdowns conc.WaitGroup
	defer slowdowns.Wait()
	defer stopInterference()
	slowdowns.Go(func() { slowPeriodically(interference, fleet.Engines[:v.SlowEngines]) })
	jobs, err := v.Batch.submit(ctx, target)
	if err != nil {
		return nil, err
	}
	warmUpEnd := time.Now().Add(warmUp)
	Run(ctx, target, v.Streams, seed+1, warmUp)
	sleepUntil(ctx, warmUpEnd)
	started := startedCalls(fleet)
	before, err := jobs.completed(ctx)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	result := &VariantResult{Variant: v.Name, Streams: Run(ctx, target, v.Streams, seed, s.Duration)}
	sleepUntil(ctx, begin.Add(s.Duration))
	span := time.Since(begin)
	after, err := jobs.completed(ctx)
	if err != nil {
		return nil, err
	}
	result.BatchRate = float64(after-before) / span.Seconds()
	if v.Batch.Jobs == 0 {
		result.ExtraCalls = extraCalls(result.Streams, startedCalls(fleet)-started)
	}
	return result, jobs.cancel()
}

// slowPeriodically slows the engines down for slowPeriod in every slowInterval until ctx ends.
func slowPeriodically(ctx context.Context, engines []*berylfake.Engine) {
	if len(engines) == 0 {
		return
	}
	slow := berylfake.UpstreamFault{Mode: berylfake.FaultSlow, Factor: slowFactor, Duration: berylconf.Duration(slowPeriod)}
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, engine := range engines {
			_ = engine.SetFault(slow) // cannot fail, because the engine's listening socket is always open
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func startedCalls(fleet *berylfleet.Fleet) int {
	total := 0
	for _, engine := range fleet.Engines {
		total += engine.Counts().Started
	}
	return total
}

// extraCalls computes VariantResult.ExtraCalls from the number of calls that the engines started.
func extraCalls(streams []StreamStats, started int) float64 {
	sent := 0
	for _, f := range streams {
		sent += f.Sent
	}
	if sent == 0 {
		return 0
	}
	return float64(started)/float64(sent) - 1
}

// computeBatchShares sets the BatchShare of every variant if the last variant measured batch work alone. The slots that online
// work keeps busy are estimated from its rate and mean time in the reference variant (Little's law).
func (c *Comparison) computeBatchShares(s Scenario) {
	last := c.Runs[len(c.Runs)-1]
	if last.Variant != batchAlone || last.BatchRate == 0 {
		return
	}
	slots := float64(s.FleetConfig.Engines * s.FleetConfig.Slots)
	freeSlots := slots
	for _, f := range c.Runs[0].Streams {
		freeSlots -= float64(f.Complete) / s.Duration.Seconds() * f.TotalMean / 1000
	}
	for i := range c.Runs {
		c.Runs[i].BatchShare = c.Runs[i].BatchRate / (last.BatchRate * freeSlots / slots)
	}
	c.Runs[len(c.Runs)-1].BatchShare = 0
}
