package berylentry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	hostPrefix = "berylroad/host/"
	// hostLeaseTTL is how long a host that has gone stays in the list; who is up is the membership's to say.
	hostLeaseTTL = time.Minute
	// hostRenewInterval is the time between two renewals of the lease.
	hostRenewInterval = 20 * time.Second
	// renewRetryDelay is the time between two tries to renew a lease, which outlasts some of them.
	renewRetryDelay = 5 * time.Second
	// registryWatchTimeout is how long one watch of the list waits. Newcomers show at once, whatever it is, and a connection that
	// has gone silent delays only their discovery.
	registryWatchTimeout = 10 * time.Second
	// registryDebounce is how long changes of the list gather before the next watch: when all hosts start together, each would
	// else be woken by each of the others.
	registryDebounce = 500 * time.Millisecond
	// registrySharedWatchTimeout is the same where one host watches for others: when that one is lost, it is how long the others may
	// miss that a third is about to stop.
	registrySharedWatchTimeout = 2 * time.Second
	// registryTimeout bounds one call.
	registryTimeout = time.Second
	// registryRetryDelay is the mean time between two tries while the store is away or too busy.
	registryRetryDelay = 300 * time.Millisecond
)

// retryDelay returns the time until the next try; it differs between hosts that start together.
func retryDelay() time.Duration {
	return registryRetryDelay/2 + rand.N(registryRetryDelay)
}

// hostRecord is how a host announces itself to the others.
type hostRecord struct {
	Member berylhost.Member `cbor:"1,keyasint"`
	// Leaving marks a host that is about to stop.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// registry lists the hosts in the store, so that they find each other.
type registry struct {
	store    berylstore.Store
	self     berylhost.Member
	log      logrus.FieldLogger
	install  func([]berylhost.Member)
	follower berylstore.Follower

	mu           sync.Mutex
	hosts        map[string]hostRecord
	leaving      bool
	lease        int64
	changeNotice chan struct{}
	announceNow  chan struct{}
}

func newRegistry(store berylstore.Store, self berylhost.Member, log logrus.FieldLogger, sharing *berylstore.WatchSharing, install func([]berylhost.Member)) *registry {
	r := &registry{
		store: store, self: self, log: log, install: install,
		hosts: make(map[string]hostRecord), changeNotice: make(chan struct{}), announceNow: make(chan struct{}, 1),
	}
	r.follower = berylstore.Follower{
		Store: store, Prefix: hostPrefix, Wait: registryWatchTimeout, SharedWait: registrySharedWatchTimeout, Debounce: registryDebounce,
		Log: log, Sharing: sharing, Reset: r.reset, Apply: r.apply,
	}
	return r
}

// run announces this host and follows the others until ctx ends.
func (r *registry) run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { r.follower.Run(ctx) })
	group.Go(func() { r.announce(ctx) })
	group.Wait()
}

func (r *registry) announce(ctx context.Context) {
	for {
		timer := time.NewTimer(r.renew(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.announceNow:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// renew keeps this host's announcement alive, and writes it where it is missing. It returns the time until the next
// renewal, or until the next try.
func (r *registry) renew(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	r.mu.Lock()
	lease, listed := r.lease, r.hosts[r.self.Name]
	leaving := r.leaving
	r.mu.Unlock()
	if lease != 0 && listed.Member.Boot == r.self.Boot && listed.Leaving == leaving {
		alive, err := r.store.KeepAlive(callCtx, lease)
		if err != nil {
			r.log.WithError(err).Warn("host list: lease not renewed")
			return renewRetryDelay
		}
		if alive {
			return hostRenewInterval
		}
		lease = 0
	}
	if !r.writeRecord(callCtx, lease, leaving) {
		return retryDelay()
	}
	return hostRenewInterval
}

func (r *registry) writeRecord(ctx context.Context, lease int64, leaving bool) bool {
	if lease == 0 {
		var err error
		if lease, err = r.store.Grant(ctx, hostLeaseTTL); err != nil {
			r.log.WithError(err).Warn("host list: no lease")
			return false
		}
	}
	value, err := cbor.Marshal(hostRecord{Member: r.self, Leaving: leaving})
	if err != nil {
		panic(err) // A plain struct always encodes.
	}
	result := r.store.Commit(ctx, berylstore.Txn{Puts: []berylstore.Put{{Key: hostPrefix + r.self.Name, Value: value, Lease: lease}}})
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Status != berylstore.Done {
		r.lease = 0
		r.log.WithField("status", result.Status.String()).WithError(result.Err).Warn("host list: not announced")
		return false
	}
	r.lease = lease
	r.hosts[r.self.Name] = hostRecord{Member: r.self, Leaving: leaving}
	r.log.WithFields(logrus.Fields{"leaving": leaving, "revision": result.Revision}).Info("host list: announced")
	return true
}

// announceLeaving announces that this host is about to stop.
func (r *registry) announceLeaving(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	lease := r.lease
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	r.writeRecord(callCtx, lease, true)
}

// remove takes this host off the list.
func (r *registry) remove(ctx context.Context) {
	result := r.store.Commit(ctx, berylstore.Txn{Deletes: []string{hostPrefix + r.self.Name}})
	r.log.WithField("status", result.Status.String()).Info("host list: left")
}

// isLeaving says whether that run of a host is about to stop.
func (r *registry) isLeaving(name string, boot uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.hosts[name]
	return record.Leaving && record.Member.Boot == boot
}

// currentLease returns the lease of this host's announcement, or zero while there is none.
func (r *registry) currentLease() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// changed returns a channel that is closed at the next change.
func (r *registry) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changeNotice
}

func (r *registry) reset(items []berylstore.Item, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.addItem(item)
	}
	r.publish()
}

// apply takes changes. A host whose entry is gone stays a candidate: the lease may have lapsed while the store was away,
// and whether it is up is for the membership to find out.
func (r *registry) apply(events []berylstore.Event, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		name := strings.TrimPrefix(e.Key, hostPrefix)
		if e.Deleted && name == r.self.Name && !r.leaving {
			r.lease = 0
			select {
			case r.announceNow <- struct{}{}:
			default:
			}
		}
		if !e.Deleted {
			r.addItem(e.Item)
		}
	}
	r.publish()
}

func (r *registry) addItem(item berylstore.Item) {
	var record hostRecord
	if err := cbor.Unmarshal(item.Value, &record); err != nil {
		r.log.WithError(err).WithField("key", item.Key).Error("host list: entry can't be read")
		return
	}
	if record.Member.Name == r.self.Name && record.Member.Boot != r.self.Boot {
		return // left behind by an earlier run of this host
	}
	r.hosts[record.Member.Name] = record
}

// publish tells of a change; the caller holds mu.
func (r *registry) publish() {
	members := make([]berylhost.Member, 0, len(r.hosts)+1)
	members = append(members, r.self)
	for name, record := range r.hosts {
		if name != r.self.Name {
			members = append(members, record.Member)
		}
	}
	r.install(members)
	close(r.changeNotice)
	r.changeNotice = make(chan struct{})
}
