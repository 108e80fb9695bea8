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
	// claimTimeout bounds how long a claim may take, including the wait for the budget of platform calls.
	claimTimeout = 5 * time.Second
	// defaultRetention is the default of Config.Retention.
	defaultRetention = 24 * time.Hour
	// defaultMaxClaimAge is the default of Config.MaxClaimAge.
	defaultMaxClaimAge = time.Second
	// defaultMaxAnswerBytes is used if Config.MaxAnswerBytes is zero or negative.
	defaultMaxAnswerBytes = 256 << 10
	// defaultMaxPending is the default of Config.MaxPending.
	defaultMaxPending = 4096
	// defaultMaxPendingBytes is the default of Config.MaxPendingBytes.
	defaultMaxPendingBytes = 8 << 20
)

// Store is the part of the platform's key-value service that the manager uses; beryletcd.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) beryletcd.Read
	SwapSettled(ctx context.Context, key string, value []byte, expect, lease int64) beryletcd.Outcome
	Grant(ctx context.Context, ttl time.Duration) beryletcd.Lease
}

// Config configures a Manager.
type Config struct {
	// Store is the key-value service that holds the records.
	Store Store
	// Host is the name of this host.
	Host string
	// Boot identifies this run of the process, as opposed to earlier or later runs on the same host.
	Boot uint64
	// Alive reports whether the given run of a process may still be running its requests; nil means that all may.
	Alive func(host string, boot uint64) bool
	// Retention is how long a record is kept at least; zero means 24 h.
	Retention time.Duration
	// MaxClaimAge is how long after its claim was sent a never-repeat request may start without a renewal; zero means 1
	// s.
	MaxClaimAge time.Duration
	// MaxAnswerBytes is the size of the largest answer, body and content type together, that is kept for replay; zero
	// means 256 KiB. It is capped so that a record stays below the service's limit of 1 MiB.
	MaxAnswerBytes int
	// MaxPending bounds the number of final records that wait to be written; zero means 4096.
	MaxPending int
	// MaxPendingBytes bounds the bytes of answers that wait to be written; zero means 8 MiB.
	MaxPendingBytes int
	// Seed seeds the jitter of retries; zero means a random seed.
	Seed uint64
	// Metrics is where the counters are registered; nil leaves them unpublished.
	Metrics *metrics.Set
}

// Manager is the Deduplicator that keeps its records in the platform's key-value service; it is safe for concurrent
// use.
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

// New returns a manager. The caller must keep Run running, since it writes the final records that could not be written
// at once.
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

// Begin implements Deduplicator.
func (m *Manager) Begin(ctx context.Context, intent Intent) Decision {
	decision := m.begin(ctx, intent)
	m.counters.countDecision(decision)
	return decision
}

// begin makes the decision for Begin.
func (m *Manager) begin(ctx context.Context, intent Intent) Decision {
	if refusal := checkIntent(intent); refusal != nil {
		return Decision{Refusal: refusal}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := recordKey(intent.Caller, intent.Key)
	m.writePendingRecord(ctx, key)
	e, known := m.reserveEntry(key, intent)
	if e == nil {
		return known
	}
	c := claimAttempt{manager: m, entry: e, intent: intent}
	decision := c.run(ctx)
	m.finishClaim(e, decision.Run != nil)
	return decision
}

// checkIntent refuses an empty key and a key or caller name that is too long.
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
