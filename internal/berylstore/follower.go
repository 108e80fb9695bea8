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
	// listTimeout bounds one page of a listing. The store answers in milliseconds, so one that takes longer counts as
	// unavailable.
	listTimeout = time.Second
	// watchSlack is how much longer than the requested wait the answer to a watch may take.
	watchSlack = 600 * time.Millisecond
	// retryInterval is the mean time between two attempts while the store is unavailable. It is short compared to the
	// seconds within which a change must be known again.
	retryInterval = 250 * time.Millisecond
	// cutWatchJitter is the longest pause before a cut watch is renewed, so that hosts whose watches were cut together do not
	// call the store at the same moment. A watch that had waited for less than retryInterval is renewed after the usual pause.
	cutWatchJitter = 50 * time.Millisecond
	// unavailablePause is the pause of a follower that leaves the probe of the store to another follower of its host.
	unavailablePause = 400 * time.Millisecond
	// maxBusyRefusals is the number of consecutive refusals of a store that receives too many calls up to which the
	// pause grows: it is retryInterval after the first and doubles with each further one, up to 1 s. Without the longer
	// pauses, hundreds of hosts that start together would keep the store busy with refusals.
	maxBusyRefusals = 3
	// maxReadAttempts is how often one page of a listing is requested before the listing is restarted.
	maxReadAttempts = 3
	// defaultWatchWait is the default of Follower.Wait. It is also the time after which a connection that has gone
	// silent is detected.
	defaultWatchWait = 2 * time.Second
)

// Follower keeps a host's copy of the items under one prefix up to date.
type Follower struct {
	// Store is the store to follow.
	Store Store
	// Prefix selects the items.
	Prefix string
	// Wait is how long one watch waits for a change; zero means 2 s.
	Wait time.Duration
	// SharedWait is how long a watch waits if it also serves other hosts, and how long those hosts wait for its reply.
	// The longer it is, the older their copies can become. Zero means 0.5 s.
	SharedWait time.Duration
	// Debounce is how long to wait after a change before the next watch, so that several changes in quick succession
	// cost one call.
	Debounce time.Duration
	// Reset is called with all items at the start and after a gap in the history.
	Reset func(items []Item, asOf int64)
	// Apply is called with changes in order.
	Apply func(events []Event, asOf int64)
	// Log receives a line when the store becomes unavailable and when it is available again.
	Log logrus.FieldLogger
	// Sharing lets hosts watch the store for each other; nil means that this host always watches for itself.
	Sharing *WatchSharing

	history eventHistory
	// busyRefusals counts the consecutive calls that the store was too busy for, up to maxBusyRefusals.
	// requireCurrentList is set after a stale listing that was older than the store's history; the next listing is then
	// a current one. Both are used only by Run's goroutine.
	busyRefusals       int
	requireCurrentList bool
	// answeredAt is when the last answer was current; used only by Run's goroutine.
	answeredAt time.Time
	// sourceUnanswered is set while the host that watches for this one does not reply usably; used only by Run's
	// goroutine.
	sourceUnanswered bool

	// The times are stored as time.Time with their monotonic readings, so that clock steps do not change the differences.
	lastCurrent atomic.Pointer[time.Time] // when the copy was last known to be current
	confirmed   atomic.Pointer[time.Time] // when the store, or a host in reach of it, last confirmed the copy
	through     atomic.Int64              // revision up to which the copy holds all changes
	contact     atomic.Pointer[contact]   // written only by Run's goroutine; nil means the zero value
	hops        atomic.Int64              // number of hosts that the copy passed through; zero if it came from the store itself
}

// LastCurrent returns when the copy was last known to hold all changes; the zero time means never.
func (f *Follower) LastCurrent() time.Time {
	if at := f.lastCurrent.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReconnectedAt returns when the last outage of the store ended; the zero time means that there was none.
func (f *Follower) ReconnectedAt() time.Time {
	return f.loadContact().reconnectedAt
}

// UnsteadySince returns when the first outage ended of the last series, in which the store was never in reach for steadyTime; the
// zero time means that there was none.
func (f *Follower) UnsteadySince() time.Time {
	return f.loadContact().unsteadySince
}

// Unavailable reports whether the store is lost: the last call was refused or not answered in time. A watch that was cut does not
// count if the next call is answered.
func (f *Follower) Unavailable() bool {
	return !f.loadContact().lostAt.IsZero()
}

// Cuts returns how many watches were cut while they waited.
func (f *Follower) Cuts() int {
	return f.loadContact().cuts
}

// Outages returns how often the store was lost.
func (f *Follower) Outages() int {
	return f.loadContact().outages
}

func (f *Follower) loadContact() contact {
	if c := f.contact.Load(); c != nil {
		return *c
	}
	return contact{}
}

// recordOutcome updates the contact and returns the one before.
func (f *Follower) recordOutcome(outcome callOutcome) (before contact) {
	before = f.loadContact()
	if next := before.after(time.Now(), outcome); next != before {
		f.contact.Store(&next)
	}
	return before
}

// Run follows the prefix until ctx ends.
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

// recordFailure records a failed call and pauses before the next one. A store that is too busy does not count as
// unavailable.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if errors.Is(err, ErrBusy) {
		f.busyRefusals = min(f.busyRefusals+1, maxBusyRefusals)
	} else if before := f.recordOutcome(callFailed); before.lostAt.IsZero() {
		f.Log.WithError(err).WithField("prefix", f.Prefix).Warn("store: lost")
	}
	pause := retryInterval << max(f.busyRefusals-1, 0)
	sleep(ctx, pause/2+rand.N(pause))
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// recordSuccess records that the copy was current the given age ago. The age and the number of hops are zero after an
// answer of the store. After the reply of another host, the age is that of its copy, and hops counts that host too.
func (f *Follower) recordSuccess(age time.Duration, hops int) {
	now := time.Now()
	f.busyRefusals = 0
	f.hops.Store(int64(hops))
	if before := f.recordOutcome(callAnswered); !before.lostAt.IsZero() {
		f.Log.WithFields(logrus.Fields{
			"prefix": f.Prefix, "age-ms": now.Sub(f.LastCurrent()).Milliseconds(), "lost-ms": now.Sub(before.lostAt).Milliseconds(),
		}).Info("store: regained")
	}
	asOf := now.Add(-age)
	f.lastCurrent.Store(&asOf)
	f.answeredAt = asOf
}

// list lists all items and returns their revision. The pages may be stale, so the changes since then are applied before
// the items are passed to Reset; an item that was deleted meanwhile is never shown again.
func (f *Follower) list(ctx context.Context) (int64, error) {
	items, asOf, stale, err := f.listPages(ctx)
	if err != nil {
		return 0, err
	}
	if stale {
		var events []Event
		listedAt := asOf
		err := f.readWithRetry(ctx, func(ctx context.Context) (err error) {
			events, asOf, err = f.Store.Watch(ctx, f.Prefix, listedAt, 0)
			return err
		})
		if err != nil {
			f.requireCurrentList = errors.Is(err, ErrCompacted)
			return 0, err
		}
		items = applyEvents(items, events)
	}
	f.requireCurrentList = false
	f.recordSuccess(0, 0)
	f.history.reset(asOf)
	f.Reset(items, asOf)
	f.confirm(asOf)
	return asOf, nil
}

// listPages returns all pages of a listing and the lowest of their revisions, since the pages are not one snapshot.
// While this host can't reach the store, it requests current pages: they come through other hosts, and the changes
// since a stale listing can't be watched.
func (f *Follower) listPages(ctx context.Context) (items []Item, lowest int64, stale bool, err error) {
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
		if lowest == 0 || page.AsOf < lowest {
			lowest = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, lowest, stale, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readWithRetry makes a read and repeats it after failures, up to maxReadAttempts attempts in total. Refusals of a store
// that is too busy count only on the last attempt, which any failure ends: hosts that list at the same time would
// otherwise restart their listings over and over.
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

// applyEvents applies changes to listed items.
func applyEvents(items []Item, events []Event) []Item {
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

// watch applies changes until the store no longer has the history that is needed or ctx ends.
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
			f.answeredAt = time.Now().Add(-reply.Age)
		}
		f.history.add(events, asOf)
		if len(events) > 0 {
			f.Apply(events, asOf)
		}
		above = max(above, asOf)
		f.confirm(above)
		if len(events) > 0 && f.Debounce > 0 {
			sleep(ctx, f.Debounce)
		}
	}
}

// nextChanges waits for changes, from the host that watches for this one or from the store.
func (f *Follower) nextChanges(ctx context.Context, above int64) ([]Event, int64, error) {
	wait := f.wait()
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
				// The store may be unavailable to all hosts. A watch with no wait shows that at once; one with the full wait
				// would take seconds.
				f.sourceUnanswered = true
				wait = 0
			}
		}
		if serving {
			wait = min(wait, f.sharedWait())
		}
	}
	return f.watchStore(ctx, above, wait, wait+watchSlack)
}

// watchStore watches the store itself. A watch that is cut while it waits is renewed.
func (f *Follower) watchStore(ctx context.Context, above int64, wait, timeout time.Duration) ([]Event, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	events, asOf, err := f.Store.Watch(bounded, f.Prefix, above, wait)
	switch {
	case err == nil:
		f.recordSuccess(0, 0)
	case wait > 0 && bounded.Err() == nil && isCut(err):
		return f.renewWatch(ctx, above, time.Since(began), err)
	}
	return events, asOf, err
}

// isCut reports whether a watch failed because its connection ended, which is neither an answer nor silence.
func isCut(err error) bool {
	var timeout interface{ Timeout() bool }
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	return !isTimeout && !errors.Is(err, ErrCompacted) && !errors.Is(err, ErrBusy)
}

// renewWatch reads the changes since a watch that was cut after it had waited for a time. The call does not wait for changes, so
// that its end shows whether the store is in reach.
func (f *Follower) renewWatch(ctx context.Context, above int64, waited time.Duration, cause error) ([]Event, int64, error) {
	f.recordOutcome(watchCut)
	f.Log.WithError(cause).WithFields(logrus.Fields{"prefix": f.Prefix, "waited-ms": waited.Milliseconds()}).Info("store: watch cut")
	if waited < retryInterval {
		sleep(ctx, retryInterval/2+rand.N(retryInterval))
	} else {
		sleep(ctx, rand.N(cutWatchJitter))
	}
	events, asOf, err := f.watchStore(ctx, above, 0, probeTimeout)
	if errors.Is(err, ErrCompacted) {
		f.requireCurrentList = true // a stale listing may be older than the history that the store has dropped
	}
	return events, asOf, err
}

// errProbeNotDue means that the store was unavailable and that it is too early for another probe.
var errProbeNotDue = errors.New("the store is unavailable and the next probe is not due yet")

// probe checks whether the store is available again, first through the host that watches for this one. Only one
// follower of a host probes per interval; meanwhile changes come from other hosts.
func (f *Follower) probe(ctx context.Context, above int64) ([]Event, int64, error) {
	interval := probeInterval
	if source, _ := f.Sharing.Source(); source != "" {
		reply, err := f.Sharing.request(ctx, source, WatchRequest{Prefix: f.Prefix, AfterRevision: above, Wait: f.sharedWait()})
		if err == nil && reply.fresh(f.sharedWait()) {
			f.recordSuccess(reply.Age, reply.Hops+1)
			return reply.Events, reply.AsOf, nil
		}
		if err == nil && reply.HistoryMissing && reply.Age <= maxAge(reply.Hops, f.sharedWait()) {
			return nil, 0, ErrCompacted // the store is available, but that host no longer has the changes since this copy's revision
		}
		if err == nil {
			interval = relyingProbeInterval
		}
	}
	if !f.Sharing.mayProbe(time.Now(), f.loadContact().lostAt, interval) {
		return nil, 0, errProbeNotDue
	}
	events, asOf, err := f.watchStore(ctx, above, 0, probeTimeout)
	if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrBusy) {
		f.Sharing.recordAvailable(time.Now())
	}
	return events, asOf, err
}

// wait returns the effective value of Wait.
func (f *Follower) wait() time.Duration {
	if f.Wait == 0 {
		return defaultWatchWait
	}
	return f.Wait
}

// sharedWait returns the effective value of SharedWait.
func (f *Follower) sharedWait() time.Duration {
	if f.SharedWait == 0 {
		return defaultSharedWait
	}
	return f.SharedWait
}
