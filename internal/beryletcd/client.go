package beryletcd

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = 2 * time.Second
	// defaultWatchIdleTimeout is the default of Config.WatchIdleTimeout.
	defaultWatchIdleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Endpoints are base URLs of the service, such as "http://10.0.0.5:2379"; the next one is used when one fails.
	Endpoints []string
	// Timeout bounds one call to one endpoint; zero means 2 s.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may receive nothing before its stream is reopened; zero means 30 s.
	WatchIdleTimeout time.Duration
	// TLS configures connections to https endpoints.
	TLS *tls.Config
	// Seed seeds the jitter and the choice of lease IDs; zero means a random seed.
	Seed uint64
	// Metrics is where the counters are registered; nil means a private set.
	Metrics *metrics.Set
	// Log receives a line when an endpoint stops answering and when it answers again; nil discards them.
	Log logrus.FieldLogger
}

// Client calls the platform's key-value service; it is safe for concurrent use.
type Client struct {
	config    Config
	endpoints []*endpoint
	budget    callBudget
	counters  *counters
	// preferred is the index of the endpoint that is tried first.
	preferred atomic.Int64
	mu        sync.Mutex
	random    *rand.Rand
	seen      seenRevision
}

// New returns a client without making a call. It fails when no endpoint is given or one is not a base URL.
func New(config Config) (*Client, error) {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.WatchIdleTimeout <= 0 {
		config.WatchIdleTimeout = defaultWatchIdleTimeout
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Log == nil {
		config.Log = &logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}, Level: logrus.PanicLevel}
	}
	if len(config.Endpoints) == 0 {
		return nil, errors.New("no platform endpoint configured")
	}
	c := &Client{
		config:   config,
		budget:   newBudget(),
		counters: newCounters(config.Metrics),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	for _, base := range config.Endpoints {
		e, err := newEndpoint(base, config)
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, e)
	}
	return c, nil
}

// SetRateLimit limits the calls per second of this process; zero means no limit, which is the initial state.
func (c *Client) SetRateLimit(callsPerSecond float64) {
	c.budget.setRate(callsPerSecond)
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, e := range c.endpoints {
		e.http.CloseIdleConnections()
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) Read {
	page, err := c.readPage(ctx, callGet, wireRange{Key: []byte(key)})
	if err != nil {
		return Read{Status: Unavailable, Err: err}
	}
	read := Read{Status: Done, Revision: page.Header.Revision}
	if len(page.Kvs) > 0 {
		read.Record = page.Kvs[0].record()
	}
	return read
}

// List reads up to limit keys with the prefix, starting at the key from; a limit of zero or below means MaxPage.
func (c *Client) List(ctx context.Context, prefix string, limit int, from string) Listing {
	return c.listAt(ctx, prefix, limit, from, 0)
}

// listAt is List at an earlier revision, or at the current one if revision is zero. It halves the page until the answer
// fits maxAnswerBytes.
func (c *Client) listAt(ctx context.Context, prefix string, limit int, from string, revision int64) Listing {
	if limit <= 0 || limit > MaxPage {
		limit = MaxPage
	}
	request := wireRange{Key: []byte(max(prefix, from)), RangeEnd: prefixEnd(prefix), Limit: int64(limit), Revision: revision}
	page, err := c.readPage(ctx, callList, request)
	for errors.Is(err, errAnswerTooLarge) && request.Limit > 1 {
		request.Limit /= 2
		page, err = c.readPage(ctx, callList, request)
	}
	if err != nil {
		return Listing{Status: Unavailable, Err: err}
	}
	listing := Listing{Status: Done, Revision: page.Header.Revision}
	for _, w := range page.Kvs {
		listing.Records = append(listing.Records, w.record())
	}
	if n := len(listing.Records); page.More && n > 0 {
		listing.Next = listing.Records[n-1].Key + "\x00"
	}
	return listing
}

// readPage reads a range of keys. It fails with ErrStale when the answer is from an older revision than the client had
// seen before the call.
func (c *Client) readPage(ctx context.Context, name callName, request wireRange) (wirePage, error) {
	if len(request.Key) > MaxKeyBytes {
		return wirePage{}, ErrTooLarge
	}
	before := c.seen.highest()
	var page wirePage
	delivery, err := c.call(ctx, name, "/v3/kv/range", request, &page)
	if delivery == deliveryAnswered && !c.seen.observe(page.Header, before) {
		c.counters.stale.Inc()
		delivery, err = deliveryUnknown, ErrStale
	}
	if delivery != deliveryAnswered {
		c.counters.count(name, Unavailable)
		return wirePage{}, errors.Mark(err, readErrorMark(delivery))
	}
	c.counters.count(name, Done)
	return page, nil
}

// readErrorMark returns the berylstore error to mark a failed read with. It says whether the service may have executed
// the read.
func readErrorMark(delivery delivery) error {
	if delivery == deliveryUnknown {
		return berylstore.ErrUnknown
	}
	return berylstore.ErrNotDone
}

// Swap is a compare-and-set: it writes the value if the key's revision is expect, where zero means that the key must be
// absent. The record expires with the lease, if one is given. The write is sent once; one that ends Unknown is not
// retried.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expect, lease int64) Outcome {
	if len(value) > MaxValueBytes || len(key) > MaxKeyBytes {
		c.counters.count(callSwap, Unavailable)
		return Outcome{Status: Unavailable, Err: ErrTooLarge}
	}
	put := wireOp{Put: &wirePut{Key: []byte(key), Value: value, Lease: lease}}
	return c.compareAndSet(ctx, callSwap, key, expect, put)
}

// Remove deletes the key if its revision is expect. The request is sent once.
func (c *Client) Remove(ctx context.Context, key string, expect int64) Outcome {
	return c.compareAndSet(ctx, callRemove, key, expect, wireOp{Delete: &wireRange{Key: []byte(key)}})
}

// compareAndSet runs a transaction that applies op if the key's revision is expect and reads the key otherwise.
func (c *Client) compareAndSet(ctx context.Context, name callName, key string, expect int64, op wireOp) Outcome {
	request := wireTxn{
		Compare: []wireCompare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: expect}},
		Success: []wireOp{op},
		Failure: []wireOp{{Range: &wireRange{Key: []byte(key)}}},
	}
	answer, delivery, err := c.transact(ctx, name, request)
	outcome := writeOutcome(delivery, err, answer)
	c.counters.count(name, outcome.Status)
	return outcome
}

// transact runs a transaction. The request is sent once.
func (c *Client) transact(ctx context.Context, name callName, request wireTxn) (wireTxnAnswer, delivery, error) {
	answer := wireTxnAnswer{request: &request}
	delivery, err := c.call(ctx, name, "/v3/kv/txn", request, &answer)
	if delivery == deliveryAnswered {
		c.seen.observe(answer.Header, clusterRevision{})
	}
	return answer, delivery, err
}

// writeOutcome converts the result of a transaction to the outcome of a write.
func writeOutcome(delivery delivery, err error, answer wireTxnAnswer) Outcome {
	switch delivery {
	case deliveryUnsent, deliveryRejected:
		return Outcome{Status: Unavailable, Err: err}
	case deliveryUnknown:
		return Outcome{Status: Unknown, Err: err}
	}
	if answer.Succeeded {
		return Outcome{Status: Done, Revision: answer.Header.Revision}
	}
	outcome := Outcome{Status: Conflict}
	if found := answer.Responses[0].Range.Kvs; len(found) > 0 {
		outcome.Current = found[0].record()
	}
	return outcome
}

// SwapSettled is Swap, but when the answer is lost it reads the key once to find out what happened: if the key has a
// higher revision than expect, the outcome is Done if it holds the value and Conflict if not; otherwise it stays
// Unknown, since the write may still take effect.
//
// The value must hold something that no other writer writes, such as a nonce. A Conflict after a lost answer can also
// mean that the write took effect and was overwritten since.
func (c *Client) SwapSettled(ctx context.Context, key string, value []byte, expect, lease int64) Outcome {
	outcome := c.Swap(ctx, key, value, expect, lease)
	if outcome.Status != Unknown {
		return outcome
	}
	read := c.Get(ctx, key)
	settled := confirmWrite(outcome, read, value, expect)
	c.counters.settled[settled.Status].Inc()
	return settled
}

// confirmWrite returns the outcome of a write whose answer was lost, given a later read of the key.
func confirmWrite(lost Outcome, read Read, value []byte, expect int64) Outcome {
	found := read.Record
	switch {
	case read.Status != Done || found.Revision <= expect:
		return lost
	case bytes.Equal(found.Value, value):
		return Outcome{Status: Done, Revision: found.Revision}
	default:
		return Outcome{Status: Conflict, Current: found}
	}
}

// jitter returns a number in [0, 1).
func (c *Client) jitter() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}
