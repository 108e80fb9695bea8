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
	// retryPause is the mean time between two tries at a store that is away: short beside the seconds within which a
	// change has to be known again.
	retryPause = 250 * time.Millisecond
	// awayPause is the time between two rounds of a follower that leaves the look at the store to others.
	awayPause = 400 * time.Millisecond
	// busyPauses is how often that time doubles, at the most, while the store refuses calls because too many are made:
	// hundreds of hosts that start together would else keep it busy with refusals.
	busyPauses = 3
	// readTries is how often one page of a listing is asked for before the listing begins anew.
	readTries = 3
	// defaultWait is how long a watch waits for a change. A connection that has gone silent is found after it.
	defaultWait = 2 * time.Second
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

	recent recent
	// refusals counts the calls in a row that the store was too busy for, and listCurrent marks that listings must be
	// current, since stale ones were older than the history; only Run's goroutine uses them.
	refusals    int
	listCurrent bool
	// lostAt is when the store was lost; only Run's goroutine uses it.
	lostAt time.Time
	// unanswered marks that the host which watches for this one had no answer the last time; only Run's goroutine uses it.
	unanswered bool

	// The times are kept whole, since steps of the clock must not change their distance.
	current  atomic.Pointer[time.Time] // when the copy was last known to be current
	regained atomic.Pointer[time.Time] // when the store answered again after it had been away
	lost     atomic.Bool
	steps    atomic.Int64 // how many hosts what is known has come over; zero is from the store itself
}

// LastCurrent returns when the copy was last known to hold all changes; zero means never.
func (f *Follower) LastCurrent() time.Time {
	if at := f.current.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReconnectedAt returns when the store answered again after it had last been away; zero means that it never was.
func (f *Follower) ReconnectedAt() time.Time {
	if at := f.regained.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Unavailable says that the last try at the store failed.
func (f *Follower) Unavailable() bool {
	return f.lost.Load()
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
			f.failed(ctx, err)
		}
	}
}

// failed notes a failed call and waits a moment. A store that is too busy is not away.
func (f *Follower) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrBusy) {
		f.refusals = min(f.refusals+1, busyPauses)
	} else if f.lost.CompareAndSwap(false, true) {
		f.lostAt = time.Now()
		f.Log.WithError(err).WithField("prefix", f.Prefix).Warn("store: lost")
	}
	pause := retryPause << max(f.refusals-1, 0)
	wait(ctx, pause/2+rand.N(pause))
}

// wait waits for that long or until ctx ends.
func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// answered notes a call that the store has answered, or the answer of another host as old as that one's copy.
func (f *Follower) answered(age time.Duration, steps int) {
	now := time.Now()
	f.refusals = 0
	f.steps.Store(int64(steps))
	if f.lost.CompareAndSwap(true, false) {
		f.regained.Store(&now)
		f.Log.WithFields(logrus.Fields{"prefix": f.Prefix, "age-ms": now.Sub(f.LastCurrent()).Milliseconds()}).Info("store: regained")
	}
	asOf := now.Add(-age)
	f.current.Store(&asOf)
}

// list takes all items and returns the revision as of which they stand. The pages may be stale; the changes since then
// make them current before anybody sees them, so that what has gone is not shown again.
func (f *Follower) list(ctx context.Context) (int64, error) {
	items, asOf, stale, err := f.pages(ctx)
	if err != nil {
		return 0, err
	}
	if stale {
		var events []Event
		first := asOf
		err := f.insist(ctx, func(ctx context.Context) (err error) {
			events, asOf, err = f.Store.Watch(ctx, f.Prefix, first, 0)
			return err
		})
		if err != nil {
			f.listCurrent = errors.Is(err, ErrCompacted)
			return 0, err
		}
		items = bringUpToDate(items, events)
	}
	f.listCurrent = false
	f.answered(0, 0)
	f.recent.reset(asOf)
	f.Reset(items, asOf)
	return asOf, nil
}

// pages returns all pages of a listing and the lowest of their revisions, since they are no snapshot. While the store is
// away from this host its pages are current, since they come by way of others and the changes since then can't be asked
// for.
func (f *Follower) pages(ctx context.Context) (items []Item, first int64, stale bool, err error) {
	after := ""
	for {
		var page Page
		err := f.insist(ctx, func(ctx context.Context) (err error) {
			list := f.Store.List
			if !f.listCurrent && !f.Unavailable() {
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

// insist makes a read again when it fails, some times, and as long as it takes at a store that is too busy: hosts that list
// together would else begin anew again and again.
func (f *Follower) insist(ctx context.Context, read func(ctx context.Context) error) error {
	for try := 1; ; {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		err := read(bounded)
		cancel()
		if err == nil {
			f.refusals = 0
			return nil
		}
		if errors.Is(err, ErrCompacted) || try == readTries || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, ErrBusy) {
			try++
		}
		f.failed(ctx, err)
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
		events, asOf, err := f.next(ctx, above)
		if errors.Is(err, ErrCompacted) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errStillAway) {
			wait(ctx, awayPause)
			continue
		}
		if err != nil {
			f.failed(ctx, err)
			reply, ok := f.Sharing.askAny(ctx, f.Prefix, above)
			if !ok {
				continue
			}
			events, asOf = reply.Events, reply.AsOf
		}
		f.recent.add(events, asOf)
		if len(events) > 0 {
			f.Apply(events, asOf)
		}
		above = max(above, asOf)
		if len(events) > 0 && f.Debounce > 0 {
			wait(ctx, f.Debounce)
		}
	}
}

// next waits for changes, at the host that watches for this one or at the store.
func (f *Follower) next(ctx context.Context, above int64) ([]Event, int64, error) {
	span := f.Wait
	if span == 0 {
		span = defaultWait
	}
	if f.Unavailable() && f.Sharing != nil {
		return f.look(ctx, above)
	}
	if f.Sharing != nil {
		source, serving := f.Sharing.Source()
		if source != "" {
			request := WatchRequest{Prefix: f.Prefix, AfterRevision: above, Wait: f.sharedWait()}
			reply, err := f.Sharing.request(ctx, source, request)
			if err == nil && reply.fresh(f.sharedWait()) {
				f.unanswered = false
				f.answered(reply.Age, reply.Hops+1)
				return reply.Events, reply.AsOf, nil
			}
			if !f.unanswered {
				// The other host may have lost the store as all have: a look tells, a whole watch would take seconds.
				f.unanswered = true
				span = 0
			}
		}
		if serving {
			span = min(span, f.sharedWait())
		}
	}
	return f.ask(ctx, above, span, span+watchSlack)
}

// ask asks the store itself.
func (f *Follower) ask(ctx context.Context, above int64, wait, timeout time.Duration) ([]Event, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events, asOf, err := f.Store.Watch(bounded, f.Prefix, above, wait)
	if err == nil {
		f.answered(0, 0)
	}
	return events, asOf, err
}

// errStillAway says that the store was away and that it is not time to look again.
var errStillAway = errors.New("the store was away a moment ago")

// look asks whether the store is back, first the host that watches for this one. One follower looks for all of its host;
// what has changed comes from other hosts meanwhile.
func (f *Follower) look(ctx context.Context, above int64) ([]Event, int64, error) {
	every := lookEvery
	if source, _ := f.Sharing.Source(); source != "" {
		reply, err := f.Sharing.request(ctx, source, WatchRequest{Prefix: f.Prefix, AfterRevision: above, Wait: f.sharedWait()})
		if err == nil && reply.fresh(f.sharedWait()) {
			f.answered(reply.Age, reply.Hops+1)
			return reply.Events, reply.AsOf, nil
		}
		if err == nil && reply.HistoryMissing && reply.Age <= maxAge(reply.Hops, f.sharedWait()) {
			return nil, 0, ErrCompacted // the store is back, but that host does not reach back to what this one knows
		}
		if err == nil {
			every = relyingLook
		}
	}
	if !f.Sharing.mayLook(time.Now(), f.lostAt, every) {
		return nil, 0, errStillAway
	}
	events, asOf, err := f.ask(ctx, above, 0, probeTimeout)
	if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrBusy) {
		f.Sharing.foundBack(time.Now())
	}
	return events, asOf, err
}

// sharedWait returns how long a watch waits that is made for other hosts too.
func (f *Follower) sharedWait() time.Duration {
	if f.SharedWait == 0 {
		return defaultShared
	}
	return f.SharedWait
}
