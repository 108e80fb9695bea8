package berylversion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// keepers is the number of other hosts that are told where a stream began; askedHosts is how many are asked, since the
	// list of hosts may have changed in between.
	keepers    = 2
	askedHosts = 4
	// tellTimeout bounds a message that tells of a stream, askTimeout one that asks for it.
	tellTimeout = 500 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
	// maxCopyWait is how long a take-up waits for a current copy of the announcements, copyPollInterval how often it looks.
	maxCopyWait      = 700 * time.Millisecond
	copyPollInterval = 20 * time.Millisecond
	// maxTells bounds the messages under way that tell of streams.
	maxTells = 256
	// streamAgeMargin is added to the longest timeout of a stream for the time until a caller's last attempt.
	streamAgeMargin = 3 * time.Second
)

// ErrUnknownOrigin means that it is not known which version began a stream. ErrNoVersion means that no version may begin
// streams yet.
var (
	ErrUnknownOrigin = errors.New("it is not known which version began the stream")
	ErrNoVersion     = errors.New("no version in service may begin streams yet")
)

// Source is how the origin of a stream was found.
type Source string

// The sources of an origin.
const (
	SourceMemory  Source = "memory"
	SourcePeer    Source = "peer"
	SourceOnly    Source = "only-version"
	SourceUnknown Source = "unknown"
)

// Peers reaches the other hosts.
type Peers interface {
	// Keepers returns up to n other live hosts for a stream, of different failure domains first. All hosts with the same
	// list of live hosts get the same ones, but for themselves.
	Keepers(id string, n int) []string
	// Exchange sends a message to a host and waits for its reply.
	Exchange(ctx context.Context, host string, message Message) (Reply, error)
}

// Message tells a host where a stream began, or asks it.
type Message struct {
	// IDs are the attempts of the stream whose origin is told.
	IDs []string `cbor:"1,keyasint,omitempty"`
	// Origin is where the stream began.
	Origin Origin `cbor:"2,keyasint,omitzero"`
	// Ask is the attempt whose origin is asked for.
	Ask string `cbor:"3,keyasint,omitempty"`
}

// Reply answers a Message.
type Reply struct {
	// Known says that the host knows the origin of the attempt that was asked for.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Origin is that origin.
	Origin Origin `cbor:"2,keyasint,omitzero"`
}

// Config configures Versions. All fields must be set, except where a comment says otherwise.
type Config struct {
	// Store keeps the record of each service's versions.
	Store berylstore.Store
	// Upstreams holds the announced upstreams.
	Upstreams *berylroute.Registry
	// CopiedAt returns when this host's copy of the announcements was last current.
	CopiedAt func() time.Time
	// StoreAway reports whether the store did not answer this host's last call.
	StoreAway func() bool
	// Routes holds the configuration.
	Routes *berylroute.CurrentConfig
	// Peers reaches the other hosts.
	Peers Peers
	// Rank returns the number of live hosts that come before this one for a key.
	Rank func(key string) int
	// Sharing lets hosts follow the store for each other; it may be nil.
	Sharing *berylstore.WatchSharing
	// Log receives a line for each change of a record.
	Log logrus.FieldLogger
	// Metrics receives counts; nil records none.
	Metrics *metrics.Set
}

// Versions keeps streams at the version that began them. A nil *Versions lets every stream go on anywhere.
type Versions struct {
	Config
	follower berylstore.Follower
	pauses   pauseDetector

	mu      sync.Mutex
	table   Table
	origins origins
	records map[string]int64 // revisions of the records by service
	// proposedAt is when this host first saw that a record has to be changed, by service.
	proposedAt map[string]time.Time

	tells chan struct{}
}

// New returns Versions that know no version. Run brings in the records of the store.
func New(config Config) *Versions {
	v := &Versions{
		Config: config, records: make(map[string]int64), proposedAt: make(map[string]time.Time), tells: make(chan struct{}, maxTells),
	}
	v.table.StartedAt = time.Now()
	v.follower = berylstore.Follower{
		Store: config.Store, Prefix: Prefix, SharedWait: sharedWait, Log: config.Log, Sharing: config.Sharing, Reset: v.reset, Apply: v.apply,
	}
	return v
}

// Run follows the records in the store and changes them until ctx ends.
func (v *Versions) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { v.pauses.run(ctx) })
	group.Go(func() { v.follower.Run(ctx) })
	group.Go(func() { v.persist(ctx) })
	group.Wait()
}

// Follower returns the follower of the records in the store.
func (v *Versions) Follower() *berylstore.Follower {
	return &v.follower
}

// see brings the table up to date with the announcements of a service. The caller holds mu.
func (v *Versions) see(now time.Time, service string) {
	v.table.See(now, service, v.Upstreams.Versions(service))
}

// MayBegin reports whether a version of a service may begin streams.
func (v *Versions) MayBegin(service, version string) bool {
	if v == nil {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.see(now, service)
	return v.table.MayBegin(now, service, version, v.StoreAway())
}

// Choose returns the version at which a new stream of a service begins, in proportion to the slots of the versions that
// may begin streams. It also reports whether the service's upstreams are of that version alone.
func (v *Versions) Choose(service string) (version string, only bool, err error) {
	slots := v.Upstreams.VersionSlots(service)
	total := 0
	for name, n := range slots {
		if v.MayBegin(service, name) {
			total += n
		} else {
			slots[name] = 0
		}
	}
	if total == 0 {
		return "", false, ErrNoVersion
	}
	at := rand.IntN(total)
	for name, n := range slots {
		if at < n {
			return name, len(slots) == 1, nil
		}
		at -= n
	}
	return "", false, errors.AssertionFailedf("the slots of the versions do not add up to %d", total)
}

// Record notes where a stream began, by the IDs of its attempts, and tells other hosts. It does not wait for them.
func (v *Versions) Record(origin Origin, ids ...string) {
	if v == nil {
		return
	}
	v.mu.Lock()
	for _, id := range ids {
		v.origins.add(time.Now(), id, origin)
	}
	v.mu.Unlock()
	for _, host := range v.Peers.Keepers(ids[0], keepers) {
		select {
		case v.tells <- struct{}{}:
		default:
			v.count("tells_dropped_total")
			continue
		}
		go func() {
			defer func() { <-v.tells }()
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			if _, err := v.Peers.Exchange(ctx, host, Message{IDs: ids, Origin: origin}); err != nil {
				v.count("tells_failed_total")
			}
		}()
	}
}

// Resolve returns where the stream began that a caller takes up, and how that is known. services are those that may have
// begun it, firstAttempt the attempt that brought its first event, or empty if the caller does not name it.
func (v *Versions) Resolve(ctx context.Context, services []string, firstAttempt string) (Origin, Source) {
	origin, source := v.resolve(ctx, services, firstAttempt)
	v.count(fmt.Sprintf("origins_total{source=%q}", source))
	return origin, source
}

func (v *Versions) resolve(ctx context.Context, services []string, firstAttempt string) (Origin, Source) {
	if origin, known := v.remembered(firstAttempt); known {
		return origin, SourceMemory
	}
	// Peers that were told know best: this host may be out of step with the others and not know it.
	if origin, known := v.askPeers(ctx, firstAttempt); known {
		return origin, SourcePeer
	}
	if v.awaitCopy(ctx) {
		if origin, known := v.onlyOrigin(services); known {
			return origin, SourceOnly
		}
	}
	return Origin{}, SourceUnknown
}

func (v *Versions) remembered(id string) (Origin, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.origins.get(time.Now(), id)
}

// onlyOrigin returns the origin of all streams that callers can still take up, if there is only one. It returns false if
// this host's copy of the announcements is too old to tell.
func (v *Versions) onlyOrigin(services []string) (Origin, bool) {
	if !v.isCopyCurrent() || v.follower.LastCurrent().IsZero() {
		return Origin{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	var found []Origin
	for _, service := range services {
		v.see(now, service)
		for _, version := range v.table.Candidates(now, service, v.streamAge()) {
			found = append(found, Origin{Service: service, Version: version})
		}
	}
	if len(found) != 1 {
		return Origin{}, false
	}
	return found[0], true
}

// isCopyCurrent reports whether this host's copy of the announcements is at most maxCopyAge old. For so long after a pause of the
// process it is not known: the copy may come from an answer that had waited to be read.
func (v *Versions) isCopyCurrent() bool {
	return !v.pauses.pausedWithin(time.Now(), maxCopyAge) && time.Since(v.CopiedAt()) <= maxCopyAge
}

// streamAge returns the longest time from the beginning of a stream until a caller takes it up. While newer routes may be in force
// than this host knows, it is the longest that is allowed for.
func (v *Versions) streamAge() time.Duration {
	config := v.Routes.Copy()
	if config.Outdated() {
		return retention
	}
	longest := time.Duration(0)
	for i := range config.Config.Routes {
		if r := &config.Config.Routes[i]; r.MayResume() {
			longest = max(longest, r.Timeout)
		}
	}
	return min(longest+streamAgeMargin, retention)
}

// askPeers asks the hosts that may have been told of an attempt.
func (v *Versions) askPeers(ctx context.Context, id string) (Origin, bool) {
	if id == "" {
		return Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := v.Peers.Keepers(id, askedHosts)
	replies := make(chan Reply, len(hosts))
	for _, host := range hosts {
		go func() {
			reply, err := v.Peers.Exchange(ctx, host, Message{Ask: id})
			if err != nil {
				v.count("asks_failed_total")
			}
			replies <- reply
		}()
	}
	for range hosts {
		if reply := <-replies; reply.Known {
			return reply.Origin, true
		}
	}
	return Origin{}, false
}

// awaitCopy waits until this host's copy of the announcements is current, and reports whether it is.
func (v *Versions) awaitCopy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxCopyWait)
	defer cancel()
	for !v.isCopyCurrent() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(copyPollInterval):
		}
	}
	return true
}

// HandleMessage takes in or answers the message of another host.
func (v *Versions) HandleMessage(_ context.Context, _ string, message Message) (Reply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, id := range message.IDs {
		v.origins.add(now, id, message.Origin)
	}
	if message.Ask == "" {
		return Reply{}, nil
	}
	origin, known := v.origins.get(now, message.Ask)
	return Reply{Known: known, Origin: origin}, nil
}

func (v *Versions) count(name string) {
	if v.Metrics != nil {
		v.Metrics.GetOrCreateCounter("berylroad_version_" + name).Inc()
	}
}

// serviceOf returns the service of a record's key.
func serviceOf(key string) string {
	return strings.TrimPrefix(key, Prefix)
}

// describe lists the versions of a record for the log.
func describe(listed []Listed) string {
	names := make([]string, len(listed))
	for i, l := range listed {
		names[i] = l.Version
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
