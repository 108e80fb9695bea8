package berylload

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylfleet"
)

// Scenario is an experiment that shows how well a routing policy protects online requests from interference, such as batch
// work, long requests or slow engines. It runs the same load under each policy and, as a reference, without interference.
type Scenario struct {
	// Name identifies the scenario in the argument of Find and in results.
	Name string
	// Summary describes what the scenario measures.
	Summary string
	// FleetConfig configures the new fleet on which each variant runs, apart from the routing policy.
	FleetConfig berylfleet.Config
	// Duration is how long each variant is measured.
	Duration time.Duration
	// Variants holds the runs in order; the first is the reference without interference.
	Variants []Variant
	// MeasuredStream is the name of the stream whose tail latency is compared.
	MeasuredStream string
	// MaxP99Ratio is the target: the largest allowed p99 time to the first token, divided by that of the reference.
	MaxP99Ratio float64
}

// Variant is one run of a scenario, with its own routing policy and load.
type Variant struct {
	// Name identifies the variant in results.
	Name string
	// Routing is the policy that chooses an upstream.
	Routing berylconf.Routing
	// Streams holds the streams of online requests, which run at the same time; it is empty if only batch work runs.
	Streams []Stream
	// Batch is the concurrent batch work.
	Batch BatchLoad
	// SlowEngines is the number of engines that are slow for part of the time.
	SlowEngines int
}

const (
	tokenTime         = 4 * time.Millisecond
	batchGrowth       = 0.03
	prefillTime       = 20 * time.Millisecond
	cachedPrefillTime = 20 * time.Millisecond
	modelName         = "load-llm"
	// Slow engines are slowFactor times as slow for slowPeriod in every slowInterval.
	slowFactor   = 10
	slowPeriod   = 1500 * time.Millisecond
	slowInterval = 3 * time.Second
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{batchHarm(), headOfLine(), stragglers()}
}

// Find returns the scenario with the name. Its error lists the names of all scenarios.
func Find(name string) (Scenario, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i >= 0 {
		return all[i], nil
	}
	var names []string
	for _, s := range all {
		names = append(names, s.Name)
	}
	return Scenario{}, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(names, ", "))
}

// batchAlone is the name of the variant that measures batch work without online requests.
const batchAlone = "batch-alone"

func fleetConfig(engines, slots int) berylfleet.Config {
	return berylfleet.Config{
		Hosts:   3,
		Engines: engines,
		Slots:   slots,
		Model:   modelName,
		Engine: berylfake.EngineOptions{
			TokenTime:         tokenTime,
			BatchGrowth:       batchGrowth,
			PrefillTime:       prefillTime,
			CachedPrefillTime: cachedPrefillTime,
			MaxRunning:        slots,
			Resume:            true,
		},
	}
}

// variants returns the reference variant, followed by the loaded variant under the owner policy and under both baselines,
// round robin and local least load.
func variants(reference, loaded Variant) []Variant {
	reference.Name = "reference"
	reference.Routing = berylconf.RoutingOwner
	list := []Variant{reference}
	for _, routing := range []berylconf.Routing{berylconf.RoutingOwner, berylconf.RoutingRoundRobin, berylconf.RoutingLocalLeast} {
		loaded.Name = string(routing)
		loaded.Routing = routing
		list = append(list, loaded)
	}
	return list
}

// batchHarm measures online latency while batch work takes all slots that online requests leave free.
func batchHarm() Scenario {
	online := []Stream{{Name: "short", Rate: 130, Tokens: 20}}
	batch := BatchLoad{Jobs: 5, Tokens: 40}
	list := variants(Variant{Streams: online}, Variant{Streams: online, Batch: batch})
	return Scenario{
		Name:           "batch-harm",
		Summary:        "tail latency of online requests while batch work takes all free slots",
		FleetConfig:    fleetConfig(6, 8),
		Duration:       8 * time.Second,
		Variants:       append(list, Variant{Name: batchAlone, Routing: berylconf.RoutingOwner, Batch: batch}),
		MeasuredStream: "short",
		MaxP99Ratio:    1.10,
	}
}

// headOfLine measures the latency of short requests that compete with long ones.
func headOfLine() Scenario {
	short := Stream{Name: "short", Rate: 100, Tokens: 10}
	long := Stream{Name: "long", Rate: 9, Tokens: 600}
	return Scenario{
		Name:           "head-of-line",
		Summary:        "tail latency of short requests beside requests that run 60 times as long",
		FleetConfig:    longRequestFleetConfig(),
		Duration:       11 * time.Second,
		Variants:       variants(Variant{Streams: []Stream{short}}, Variant{Streams: []Stream{short, long}}),
		MeasuredStream: "short",
		MaxP99Ratio:    1.2,
	}
}

func longRequestFleetConfig() berylfleet.Config {
	p := fleetConfig(6, 8)
	p.Rules.LongTokens = 200
	return p
}

// stragglers measures online latency while some engines are slow for part of the time.
func stragglers() Scenario {
	online := []Stream{{Name: "short", Rate: 150, Tokens: 20}}
	return Scenario{
		Name:           "stragglers",
		Summary:        "tail latency of online requests while 2 of 20 engines are periodically 10 times as slow",
		FleetConfig:    fleetConfig(20, 4),
		Duration:       11 * time.Second,
		Variants:       variants(Variant{Streams: online}, Variant{Streams: online, SlowEngines: 2}),
		MeasuredStream: "short",
		MaxP99Ratio:    1.5,
	}
}
