package berylstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// listTimeout bounds one page of a listing; a store that answers in milliseconds is away after it.
	listTimeout = time.Second
	// watchSlack is how much longer than asked for a watch may take to answer.
	watchSlack = 600 * time.Millisecond
	// retryInterval is the mean time between two tries at a store that is away: short beside the seconds within which a
	// change has to be known again.
	retryInterval = 250 * time.Millisecond
	// unavailablePause is the time between two rounds of a follower that leaves the look at the store to others.
	unavailablePause = 400 * time.Millisecond
	// maxBusyDoublings is how often that time doubles, at the most, while the store refuses calls because too many are made:
	// hundreds of hosts that start together would else keep it busy with refusals.
	maxBusyDoublings = 3
	// maxReadAttempts is how often one page of a listing is asked for before the listing begins anew.
	maxReadAttempts = 3
	// defaultWatchWait is how long a watch waits for a change. A connection that has gone silent is found after it.
	defaultWatchWait = 2 * time.Second
)

// Follower keeps its host's copy of the items under one prefix up to date.
type Follower struct {
	// Store is read.
	Store Store
	// Prefix selects the items.
	Prefix string
	// Wait is how long one watch waits; zero is 2 s.
	Wait time.Duration
	// SharedWait is how long a watch waits that is made for other hosts too, and how long those wait for its answer; with it
	// grows how old what they know can be. Zero is 0.5 s.
	SharedWait time.Duration
	// Debounce is how long to wait after a change before the next watch, so that changes in quick succession cost one call.
	Debounce time.Duration
	// Reset takes all items, at the start and after a gap in the history.
	Reset func(items []Item, asOf int64)
	// Apply takes changes in order.
	Apply func(events []Event, asOf int64)
	// Log takes a line when the store is lost and when it is regained.
	Log logrus.FieldLogger
	// Sharing lets hosts watch for each other; nil watches for this host alone.
	Sharing *WatchSharing

	history eventHistory
	// busyRefusals counts the calls in a row that the store was too busy for, and listCurrent marks that listings must be
	// current, since stale ones were older than the history; only Run's goroutine uses them.
	busyRefusals       int
	requireCurrentList bool
	// unavailableSince is when the store was lost; only Run's goroutine uses it.
	unavailableSince time.Time
	// sourceUnanswered marks that the host which watches for this one had no answer the last time; only Run's goroutine uses it.
	sourceUnanswered bool

	// The times are kept whole, since steps of the clock must not change their distance.
	lastCurrent   atomic.Pointer[time.Time] // when the copy was last known to be current
	reconnectedAt atomic.Pointer[time.Time] // when the store answered again after it had been away
	unavailable   atomic.Bool
	hops          atomic.Int64 // how many hosts what is known has come over; zero is from the store itself
}

// LastCurrent returns when the copy was last known to hold all changes; zero means never.
func (f *Follower) LastCurrent() time.Time {
	if at := f.lastCurrent.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReconnectedAt returns when the store answered again after it had last been away; zero means that it never was.
func (f *Follower) ReconnectedAt() time.Time {
	if at := f.reconnectedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Unavailable says that the last try at the store failed.
func (f *Follower) Unavailable() bool {
	return f.unavailable.Load()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := f.list(ctx)
		if err == nil {
			err = f.watch(ctx, asOf)
		}
		if errors.Is(err, ErrCompacted) {
			f.Log.WithField("prefix", f.Prefix).Info("store: history dropped, listing anew")
			continue
		}
		if ctx.Err() == nil {
			f.recordFailure(ctx, err)
		}
	}
}

// recordFailure notes a recordFailure call and waits a moment. A store that is too busy is not away.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if errors.Is(err, ErrBusy) {
		f.busyRefusals = min(f.busyRefusals+1, maxBusyDoublings)
	} else if f.unavailable.CompareAndSwap(false, true) {
		f.unavailableSince = time.Now()
		f.Log.WithError(err).WithField("prefix", f.Prefix).Warn("store: lost")
	}
	pause := retryInterval << max(f.busyRefusals-1, 0)
	sleep(ctx, pause/2+rand.N(pause))
}

// sleep waits for that long or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// recordSuccess notes a call that the store has recordSuccess, or the answer of another host as old as that one's copy.
func (f *Follower) recordSuccess(age time.Duration, steps int) {
	now := time.Now()
	f.busyRefusals = 0
	f.hops.Store(int64(steps))
	if f.unavailable.CompareAndSwap(true, false) {
		f.reconnectedAt.Store(&now)
		f.Log.WithFields(logrus.Fields{"prefix": f.Prefix, "age-ms": now.Sub(f.LastCurrent()).Milliseconds()}).Info("store: regained")
	}
	asOf := now.Add(-age)
	f.lastCurrent.Store(&asOf)
}

// list takes all items and returns the revision as of which they stand. The pages may be stale; the changes since then
// make them current before anybody sees them, so that what has gone is not shown again.
func (f *Follower) list(ctx context.Context) (int64, error) {
	items, asOf, stale, err := f.listPages(ctx)
	if err != nil {
		return 0, err
	}
	if stale {
		var events []Event
		first := asOf
		err := f.readWithRetry(ctx, func(ctx context.Context) (err error) {
			events, asOf, err = f.Store.Watch(ctx, f.Prefix, first, 0)
			return err
		})
		if err != nil {
			f.requireCurrentList = errors.Is(err, ErrCompacted)
			return 0, err
		}
		items = bringUpToDate(items, events)
	}
	f.requireCurrentList = false
	f.recordSuccess(0, 0)
	f.history.reset(asOf)
	f.Reset(items, asOf)
	return asOf, nil
}

// listPages returns all listPages of a listing and the lowest of their revisions, since they are no snapshot. While the store is
// away from this host its listPages are current, since they come by way of others and the changes since then can't be asked
// for.
func (f *Follower) listPages(ctx context.Context) (items []Item, first int64, stale bool, err error) {
	after := ""
	for {
		var page Page
		err := f.readWithRetry(ctx, func(ctx context.Context) (err error) {
			list := f.Store.List
			if !f.requireCurrentList && !f.Unavailable() {
				list, stale = f.Store.ListStale, true
			}
			page, err = list(ctx, f.Prefix, after)
			return err
		})
		if err != nil {
			return nil, 0, false, err
		}
		if first == 0 || page.AsOf < first {
			first = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, first, stale, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readWithRetry makes a read again when it fails, some times, and as long as it takes at a store that is too busy: hosts that list
// together would else begin anew again and again.
func (f *Follower) readWithRetry(ctx context.Context, read func(ctx context.Context) error) error {
	for try := 1; ; {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		err := read(bounded)
		cancel()
		if err == nil {
			f.busyRefusals = 0
			return nil
		}
		if errors.Is(err, ErrCompacted) || try == maxReadAttempts || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, ErrBusy) {
			try++
		}
		f.recordFailure(ctx, err)
	}
}

// bringUpToDate applies changes to listed items.
func bringUpToDate(items []Item, events []Event) []Item {
	if len(events) == 0 {
		return items
	}
	byKey := make(map[string]Event, len(items)+len(events))
	for _, item := range items {
		byKey[item.Key] = Event{Item: item}
	}
	for _, e := range events {
		if known, ok := byKey[e.Key]; !ok || e.Revision > known.Revision {
			byKey[e.Key] = e
		}
	}
	current := make([]Item, 0, len(byKey))
	for _, e := range byKey {
		if !e.Deleted {
			current = append(current, e.Item)
		}
	}
	slices.SortFunc(current, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return current
}

// watch applies changes until the history is gone or ctx ends.
func (f *Follower) watch(ctx context.Context, above int64) error {
	for {
		events, asOf, err := f.nextChanges(ctx, above)
		if errors.Is(err, ErrCompacted) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errProbeNotDue) {
			sleep(ctx, unavailablePause)
			continue
		}
		if err != nil {
			f.recordFailure(ctx, err)
			reply, ok := f.Sharing.askFallbackHosts(ctx, f.Prefix, above)
			if !ok {
				continue
			}
			events, asOf = reply.Events, reply.AsOf
		}
		f.history.add(events, asOf)
		if len(events) > 0 {
			f.Apply(events, asOf)
		}
		above = max(above, asOf)
		if len(events) > 0 && f.Debounce > 0 {
			sleep(ctx, f.Debounce)
		}
	}
}

// nextChanges waits for changes, at the host that watches for this one or at the store.
func (f *Follower) nextChanges(ctx context.Context, above int64) ([]Event, int64, error) {
	span := f.Wait
	if span == 0 {
		span = defaultWatchWait
	}
	if f.Unavailable() && f.Sharing != nil {
		return f.probe(ctx, above)
	}
	if f.Sharing != nil {
		source, serving := f.Sharing.Source()
		if source != "" {
			request := WatchRequest{Prefix: f.Prefix, AfterRevision: above, Wait: f.sharedWait()}
			reply, err := f.Sharing.request(ctx, source, request)
			if err == nil && reply.fresh(f.sharedWait()) {
				f.sourceUnanswered = false
				f.recordSuccess(reply.Age, reply.Hops+1)
				return reply.Events, reply.AsOf, nil
			}
			if !f.sourceUnanswered {
				// The other host may have lost the store as all have: a look tells, a whole watch would take seconds.
				f.sourceUnanswered = true
				span = 0
			}
		}
		if serving {
			span = min(span, f.sharedWait())
		}
	}
	return f.watchStore(ctx, above, span, span+watchSlack)
}

// watchStore asks the store itself.
func (f *Follower) watchStore(ctx context.Context, above int64, wait, timeout time.Duration) ([]Event, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events, asOf, err := f.Store.Watch(bounded, f.Prefix, above, wait)
	if err == nil {
		f.recordSuccess(0, 0)
	}
	return events, asOf, err
}

// errProbeNotDue says that the store was away and that it is not time to look again.
var errProbeNotDue = errors.New("the store was away a moment ago")

// probe asks whether the store is back, first the host that watches for this one. One follower looks for all of its host;
// what has changed comes from other hosts meanwhile.
func (f *Follower) probe(ctx context.Context, above int64) ([]Event, int64, error) {
	every := probeInterval
	if source, _ := f.Sharing.Source(); source != "" {
		reply, err := f.Sharing.request(ctx, source, WatchRequest{Prefix: f.Prefix, AfterRevision: above, Wait: f.sharedWait()})
		if err == nil && reply.fresh(f.sharedWait()) {
			f.recordSuccess(reply.Age, reply.Hops+1)
			return reply.Events, reply.AsOf, nil
		}
		if err == nil && reply.HistoryMissing && reply.Age <= maxAge(reply.Hops, f.sharedWait()) {
			return nil, 0, ErrCompacted // the store is back, but that host does not reach back to what this one knows
		}
		if err == nil {
			every = relyingProbeInterval
		}
	}
	if !f.Sharing.mayProbe(time.Now(), f.unavailableSince, every) {
		return nil, 0, errProbeNotDue
	}
	events, asOf, err := f.watchStore(ctx, above, 0, probeTimeout)
	if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrBusy) {
		f.Sharing.recordAvailable(time.Now())
	}
	return events, asOf, err
}

// sharedWait returns how long a watch waits that is made for other hosts too.
func (f *Follower) sharedWait() time.Duration {
	if f.SharedWait == 0 {
		return defaultSharedWait
	}
	return f.SharedWait
}
