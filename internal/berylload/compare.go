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
	// warmUp is how long the load runs before it counts.
	warmUp = 2500 * time.Millisecond
)

// Comparison is what a scenario has shown.
type Comparison struct {
	// Scenario is its name.
	Scenario string `json:"scenario"`
	// Seed made the arrivals.
	Seed uint64 `json:"seed"`
	// MaxP99Ratio is the largest ratio that counts as met.
	MaxP99Ratio float64 `json:"target-ratio"`
	// Runs are the variants in the order in which they ran.
	Runs []VariantResult `json:"runs"`
}

// VariantResult is what one variant has shown.
type VariantResult struct {
	// Variant is its name.
	Variant string `json:"variant"`
	// Streams are the online figures.
	Streams []StreamStats `json:"streams"`
	// P99Ratio is the measured stream's p99 of the first token over the reference's, or negative when either is not known.
	P99Ratio float64 `json:"p99-ratio"`
	// BatchRate is the committed batch items a second.
	BatchRate float64 `json:"batch-items-per-second"`
	// BatchShare is BatchRate over what batch work alone does with as many slots as online work leaves, or zero.
	BatchShare float64 `json:"batch-share"`
	// ExtraCalls is the share of upstream calls beyond one for each request.
	ExtraCalls float64 `json:"extra-calls"`
}

// Compare runs a scenario's variants one after the other, each on a fleet of its own.
func Compare(ctx context.Context, s Scenario, seed uint64) (*Comparison, error) {
	c := &Comparison{Scenario: s.Name, Seed: seed, MaxP99Ratio: s.MaxP99Ratio}
	for _, v := range s.Variants {
		outcome, err := runVariant(ctx, &s, v, seed)
		if err != nil {
			return nil, errors.Wrap(err, v.Name)
		}
		c.Runs = append(c.Runs, *outcome)
	}
	reference := c.Runs[0].p99(s.MeasuredStream)
	for i := range c.Runs {
		c.Runs[i].P99Ratio = ratio(c.Runs[i].p99(s.MeasuredStream), reference)
	}
	c.computeBatchShares(s)
	return c, nil
}

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
	plan := s.Plan
	plan.Log = log
	plan.Rules.Routing = v.Routing
	fleet, err := berylfleet.Start(plan)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return nil, errors.CombineErrors(err, fleet.Stop())
	}
	outcome, err := measure(ctx, s, v, seed, fleet)
	return outcome, errors.CombineErrors(err, fleet.Stop())
}

// measure warms the fleet up, starts what harms and then counts.
func measure(ctx context.Context, s *Scenario, v Variant, seed uint64, fleet *berylfleet.Fleet) (*VariantResult, error) {
	target := &Target{Addresses: fleet.Addresses(), Key: fleet.APIKey, Model: s.Plan.Model}
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
	outcome := &VariantResult{Variant: v.Name, Streams: Run(ctx, target, v.Streams, seed, s.Duration)}
	sleepUntil(ctx, begin.Add(s.Duration))
	span := time.Since(begin)
	after, err := jobs.completed(ctx)
	if err != nil {
		return nil, err
	}
	outcome.BatchRate = float64(after-before) / span.Seconds()
	if v.Batch.Jobs == 0 {
		outcome.ExtraCalls = extraCalls(outcome.Streams, startedCalls(fleet)-started)
	}
	return outcome, jobs.cancel()
}

// slowPeriodically makes engines slow and well in turn until ctx ends.
func slowPeriodically(ctx context.Context, engines []*berylfake.Engine) {
	if len(engines) == 0 {
		return
	}
	slow := berylfake.UpstreamFault{Mode: berylfake.FaultSlow, Factor: slowFactor, For: berylconf.Duration(slowPeriod)}
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, engine := range engines {
			_ = engine.SetFault(slow) // Only a fault that refuses connections can fail to be set.
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

// computeBatchShares compares the batch rates with what batch work did alone, less the slots that online work keeps busy in the
// reference run.
func (c *Comparison) computeBatchShares(s Scenario) {
	last := c.Runs[len(c.Runs)-1]
	if last.Variant != batchAlone || last.BatchRate == 0 {
		return
	}
	slots := float64(s.Plan.Engines * s.Plan.Slots)
	freeSlots := slots
	for _, f := range c.Runs[0].Streams {
		freeSlots -= float64(f.Complete) / s.Duration.Seconds() * f.TotalMean / 1000
	}
	for i := range c.Runs {
		c.Runs[i].BatchShare = c.Runs[i].BatchRate / (last.BatchRate * freeSlots / slots)
	}
	c.Runs[len(c.Runs)-1].BatchShare = 0
}
