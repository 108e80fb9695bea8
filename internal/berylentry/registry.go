package berylentry

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// hostLeaseTTL is how long a host that has crashed stays in the host list. Whether a host is up is decided by the
	// membership, not by the list.
	hostLeaseTTL = time.Minute
	// hostRenewInterval is the time between two renewals of the lease.
	hostRenewInterval = 20 * time.Second
	// renewRetryDelay is the time between two attempts to renew a lease. The lease outlasts several of them.
	renewRetryDelay = 5 * time.Second
	// registryWatchTimeout is how long one watch of the host list waits. A new host is reported at once regardless of
	// it; a connection that has gone silent only delays its discovery.
	registryWatchTimeout = 10 * time.Second
	// registryDebounce is how long a host waits after a change of the list before its next watch. Without it, each host
	// of a fleet that starts together would be woken by each of the others.
	registryDebounce = 500 * time.Millisecond
	// registrySharedWatchTimeout is how long a watch of the host list waits that a host makes for others too. If that
	// host is lost, the others may not notice for this long that a third host is about to stop.
	registrySharedWatchTimeout = 2 * time.Second
	// registryTimeout bounds one call to the store.
	registryTimeout = time.Second
	// registryRetryDelay is the mean time between two attempts while the store is unreachable or busy.
	registryRetryDelay = 300 * time.Millisecond
)

// retryDelay returns the jittered time until the next attempt, so that hosts that start together do not retry together.
func retryDelay() time.Duration {
	return registryRetryDelay/2 + rand.N(registryRetryDelay)
}

// hostRecord is the entry of a host in the host list.
type hostRecord struct {
	Member berylhost.Member `cbor:"1,keyasint"`
	// Leaving is true when the host is about to stop.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// registry maintains this host's entry in the host list in the store and follows the entries of the others, so that the
// hosts find each other.
type registry struct {
	store    berylstore.Store
	self     berylhost.Member
	log      logrus.FieldLogger
	install  func([]berylhost.Member)
	follower berylstore.Follower

	mu           sync.Mutex
	hosts        map[string]hostRecord
	deleted      map[string]bool // hosts whose entry is deleted
	leaving      bool
	lease        int64
	changeNotice chan struct{}
	announceNow  chan struct{}
}

func newRegistry(store berylstore.Store, self berylhost.Member, log logrus.FieldLogger, sharing *berylstore.WatchSharing, install func([]berylhost.Member)) *registry {
	r := &registry{
		store: store, self: self, log: log, install: install,
		hosts: make(map[string]hostRecord), deleted: make(map[string]bool), changeNotice: make(chan struct{}), announceNow: make(chan struct{}, 1),
	}
	r.follower = berylstore.Follower{
		Store: store, Prefix: hostPrefix, Wait: registryWatchTimeout, SharedWait: registrySharedWatchTimeout, Debounce: registryDebounce,
		Log: log, Sharing: sharing, Reset: r.reset, Apply: r.apply,
	}
	return r
}

// run maintains this host's entry and follows the others until ctx ends.
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

// renew renews the lease of this host's entry, or writes the entry if it is missing or out of date. It returns the time
// until the next renewal or, after a failure, until the next attempt.
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
		panic(err) // The encoding cannot fail, because hostRecord contains only strings, integers and booleans.
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

// announceLeaving marks this host's entry as about to stop.
func (r *registry) announceLeaving(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	lease := r.lease
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	r.writeRecord(callCtx, lease, true)
}

// remove deletes this host's entry from the list.
func (r *registry) remove(ctx context.Context) {
	result := r.store.Commit(ctx, berylstore.Txn{Deletes: []string{hostPrefix + r.self.Name}})
	r.log.WithField("status", result.Status.String()).Info("host list: left")
}

// isLeaving reports whether the given run of a host is about to stop.
func (r *registry) isLeaving(name string, boot uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.hosts[name]
	return record.Leaving && record.Member.Boot == boot
}

// currentLease returns the lease of this host's entry, or zero while there is none.
func (r *registry) currentLease() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// changed returns a channel that is closed at the next change of the list.
func (r *registry) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changeNotice
}

func (r *registry) reset(items []berylstore.Item, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.hosts {
		r.deleted[name] = true
	}
	for _, item := range items {
		r.addItem(item)
	}
	r.publish()
}

// apply applies changes of the list. A host whose entry is deleted stays a candidate: its lease may have expired while
// the store was unreachable, and the membership decides whether the host is up.
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
		if e.Deleted {
			r.deleted[name] = true
			continue
		}
		r.addItem(e.Item)
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
		return // the entry belongs to another run of this host, usually an earlier one
	}
	r.hosts[record.Member.Name] = record
	delete(r.deleted, record.Member.Name)
}

// listed returns the hosts that have an entry in the list, this one included.
func (r *registry) listed() []berylhost.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []berylhost.Member{r.self}
	for name, record := range r.hosts {
		if name != r.self.Name && !r.deleted[name] {
			members = append(members, record.Member)
		}
	}
	return members
}

// countListed returns the number of hosts in the list, this one included. A host whose entry was deleted counts only while it is
// live: its lease may have expired while it could not reach the store.
func (r *registry) countListed(live []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for name := range r.hosts {
		if name != r.self.Name && (!r.deleted[name] || slices.Contains(live, name)) {
			n++
		}
	}
	return n
}

// publish installs the current list as candidates and wakes those who wait for a change. The caller must hold mu.
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
