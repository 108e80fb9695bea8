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

// Scenario is one experiment: the same load under the policy and under the baselines, beside a run without what harms.
type Scenario struct {
	// Name names the scenario.
	Name string
	// Summary says what it shows.
	Summary string
	// Plan is the fleet.
	Plan berylfleet.Config
	// Duration is how long each variant's load lasts.
	Duration time.Duration
	// Variants are run one after the other; the first is the reference without what harms.
	Variants []Variant
	// MeasuredStream names the stream whose tail is compared.
	MeasuredStream string
	// MaxP99Ratio is the target: the policy's p99 of the first token over the reference's.
	MaxP99Ratio float64
}

// Variant is one run of a scenario.
type Variant struct {
	// Name names it in results.
	Name string
	// Routing is the way to choose an upstream.
	Routing berylconf.Routing
	// Streams are the online requests.
	Streams []Stream
	// Batch runs beside them.
	Batch BatchLoad
	// SlowEngines is how many engines are slow in spells.
	SlowEngines int
}

const (
	tokenTime         = 4 * time.Millisecond
	batchGrowth       = 0.03
	prefillTime       = 20 * time.Millisecond
	cachedPrefillTime = 20 * time.Millisecond
	loadModel         = "load-llm"
	slowFactor        = 10
	slowPeriod        = 1500 * time.Millisecond
	slowInterval      = 3 * time.Second
)

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{batchHarm(), headOfLine(), stragglers()}
}

// Find returns the scenario of that name, or an error that names those there are.
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

// batchAlone names the variant that shows what batch work does with every slot.
const batchAlone = "batch-alone"

func fleetConfig(engines, slots int) berylfleet.Config {
	return berylfleet.Config{
		Hosts:   3,
		Engines: engines,
		Slots:   slots,
		Model:   loadModel,
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

// variants gives the reference, then the load that harms under the policy and both baselines.
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

func batchHarm() Scenario {
	online := []Stream{{Name: "short", Rate: 130, Tokens: 20}}
	batch := BatchLoad{Jobs: 5, Tokens: 40}
	list := variants(Variant{Streams: online}, Variant{Streams: online, Batch: batch})
	return Scenario{
		Name:           "batch-harm",
		Summary:        "online tail while batch work takes every slot that is left",
		Plan:           fleetConfig(6, 8),
		Duration:       8 * time.Second,
		Variants:       append(list, Variant{Name: batchAlone, Routing: berylconf.RoutingOwner, Batch: batch}),
		MeasuredStream: "short",
		MaxP99Ratio:    1.10,
	}
}

func headOfLine() Scenario {
	short := Stream{Name: "short", Rate: 100, Tokens: 10}
	long := Stream{Name: "long", Rate: 9, Tokens: 600}
	return Scenario{
		Name:           "head-of-line",
		Summary:        "tail of short requests beside requests that run 60 times as long",
		Plan:           longRequestFleetConfig(),
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

func stragglers() Scenario {
	online := []Stream{{Name: "short", Rate: 150, Tokens: 20}}
	return Scenario{
		Name:           "stragglers",
		Summary:        "online tail while 2 of 20 engines are 10 times as slow in spells",
		Plan:           fleetConfig(20, 4),
		Duration:       11 * time.Second,
		Variants:       variants(Variant{Streams: online}, Variant{Streams: online, SlowEngines: 2}),
		MeasuredStream: "short",
		MaxP99Ratio:    1.5,
	}
}
