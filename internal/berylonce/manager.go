package berylonce

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// claimTimeout bounds the time for which a claim waits for the platform and for its budget.
	claimTimeout = 5 * time.Second
	// defaultRetention is how long records are kept where the settings give no time.
	defaultRetention = 24 * time.Hour
	// defaultMaxClaimAge is how long a claim stays fresh where the settings give no time.
	defaultMaxClaimAge = time.Second
	// defaultMaxAnswerBytes is the largest answer that is kept where the settings give no size.
	defaultMaxAnswerBytes = 256 << 10
	// defaultMaxPending is the most unwritten ends that are kept where the settings give no number.
	defaultMaxPending = 4096
	// defaultMaxPendingBytes is the most bytes of unwritten answers that are kept where the settings give no number.
	defaultMaxPendingBytes = 8 << 20
)

// Store is the part of the platform's key-value service that keyed requests use; beryletcd.Client is one.
type Store interface {
	Get(ctx context.Context, key string) beryletcd.Read
	SwapSettled(ctx context.Context, key string, value []byte, expect, lease int64) beryletcd.Outcome
	Grant(ctx context.Context, ttl time.Duration) beryletcd.Lease
}

// Config is what a Manager is made from.
type Config struct {
	// Store holds the records.
	Store Store
	// Host names this host.
	Host string
	// Boot tells this run of the process from others on the host.
	Boot uint64
	// Alive reports whether that run of a process may still be running its requests; nil takes all for alive.
	Alive func(host string, boot uint64) bool
	// Retention is how long a record is kept at least; zero means 24 h.
	Retention time.Duration
	// MaxClaimAge is how long after its record a never-repeat request may start without a renewal; zero means 1 s.
	MaxClaimAge time.Duration
	// MaxAnswerBytes is the largest answer body kept for replay, in bytes; zero means 256 KiB, and a record holds less than 1 MiB.
	MaxAnswerBytes int
	// MaxPending is the most ends of runs that wait for the platform; zero means 4096.
	MaxPending int
	// MaxPendingBytes is the most answer bytes that wait for the platform; zero means 8 MiB.
	MaxPendingBytes int
	// Seed seeds the jitter; zero takes a random seed.
	Seed uint64
	// Metrics takes the counters; nil keeps them to the manager.
	Metrics *metrics.Set
}

// Manager decides what to do with keyed requests; it is safe for concurrent use.
type Manager struct {
	config   Config
	leases   *leaseProvider
	counters *counters

	mu           sync.Mutex
	random       *rand.Rand
	entries      map[string]*entry
	queue        []string
	writing      int
	pendingBytes int
	wake         chan struct{}
}

var _ Deduplicator = (*Manager)(nil)

// New returns a manager; its Run must be running for ends that could not be written at once.
func New(config Config) *Manager {
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	if config.MaxClaimAge <= 0 {
		config.MaxClaimAge = defaultMaxClaimAge
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	config.MaxAnswerBytes = min(config.MaxAnswerBytes, beryletcd.MaxValueBytes-maxRecordOverheadBytes)
	if config.MaxPending <= 0 {
		config.MaxPending = defaultMaxPending
	}
	if config.MaxPendingBytes <= 0 {
		config.MaxPendingBytes = defaultMaxPendingBytes
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	m := &Manager{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, config.Boot)),
		leases:  &leaseProvider{store: config.Store, retention: config.Retention},
		entries: map[string]*entry{},
		wake:    make(chan struct{}, 1),
	}
	m.counters = newCounters(config.Metrics, m.Pending)
	return m
}

// Begin records the intent, or says why the request is not run by this host.
func (m *Manager) Begin(ctx context.Context, intent Intent) Decision {
	decision := m.begin(ctx, intent)
	m.counters.countDecision(decision)
	return decision
}

// begin is Begin without the counting.
func (m *Manager) begin(ctx context.Context, intent Intent) Decision {
	if refusal := checkIntent(intent); refusal != nil {
		return Decision{Refusal: refusal}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := recordKey(intent.Caller, intent.Key)
	m.writePendingEnd(ctx, key)
	e, answer := m.reserveEntry(key, intent)
	if e == nil {
		return answer
	}
	c := claimAttempt{manager: m, entry: e, intent: intent}
	decision := c.run(ctx)
	m.finishClaim(e, decision.Run != nil)
	return decision
}

// checkIntent bounds what comes from the caller.
func checkIntent(intent Intent) *beryloutcome.Refusal {
	switch {
	case intent.Key == "":
		return refuseBadKey("the idempotency key is empty; give one of up to 255 bytes")
	case len(intent.Key) > maxKeyBytes:
		return refuseBadKey("the idempotency key is longer than 255 bytes; give a shorter one")
	case len(intent.Caller) > maxCallerBytes:
		return refuseBadKey("the caller name is longer than 255 bytes")
	default:
		return nil
	}
}
