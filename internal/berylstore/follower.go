package berylstore

import (
	"context"
	"math/rand/v2"
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
	// Shared is how long a watch waits that is made for other hosts too, and how long those wait for its answer; with it
	// grows how old what they know can be. Zero is 0.5 s.
	Shared time.Duration
	// Gather is how long to wait after a change before the next watch, so that changes in quick succession cost one call.
	Gather time.Duration
	// Reset takes all items, at the start and after a gap in the history.
	Reset func(items []Item, asOf int64)
	// Apply takes changes in order.
	Apply func(events []Event, asOf int64)
	// Log takes a line when the store is lost and when it is regained.
	Log logrus.FieldLogger
	// Share lets hosts watch for each other; nil watches for this host alone.
	Share *Share

	recent recent
	// unanswered marks that the host which watches for this one had no answer the last time; only Run's goroutine uses it.
	unanswered bool

	// The times are kept whole, since steps of the clock must not change their distance.
	current  atomic.Pointer[time.Time] // when the copy was last known to be current
	regained atomic.Pointer[time.Time] // when the store answered again after it had been away
	lost     atomic.Bool
}

// Current returns when the copy was last known to hold all changes; zero means never.
func (f *Follower) Current() time.Time {
	if at := f.current.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Regained returns when the store answered again after it had last been away; zero means that it never was.
func (f *Follower) Regained() time.Time {
	if at := f.regained.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Away says that the last try at the store failed.
func (f *Follower) Away() bool {
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
			f.away(ctx, err)
		}
	}
}

// away notes a failed call and waits a moment.
func (f *Follower) away(ctx context.Context, err error) {
	if f.lost.CompareAndSwap(false, true) {
		f.Log.WithError(err).WithField("prefix", f.Prefix).Warn("store: lost")
	}
	wait(ctx, retryPause/2+rand.N(retryPause))
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

// answered notes a call that the store has answered.
func (f *Follower) answered() {
	now := time.Now()
	if f.lost.CompareAndSwap(true, false) {
		f.regained.Store(&now)
		f.Log.WithFields(logrus.Fields{"prefix": f.Prefix, "age-ms": now.Sub(f.Current()).Milliseconds()}).Info("store: regained")
	}
	f.current.Store(&now)
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	var items []Item
	first, after := int64(0), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		page, err := f.Store.List(bounded, f.Prefix, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.AsOf // pages are no snapshot, so the watch repeats what changed between them
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			f.answered()
			f.recent.reset(first)
			f.Reset(items, first)
			return first, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// watch applies changes until the history is gone or ctx ends.
func (f *Follower) watch(ctx context.Context, above int64) error {
	for {
		events, asOf, err := f.next(ctx, above)
		if errors.Is(err, ErrCompacted) || ctx.Err() != nil {
			return err
		}
		if err != nil {
			f.away(ctx, err)
			reply, ok := f.Share.askAny(ctx, f.Prefix, above)
			if !ok {
				continue
			}
			events, asOf = reply.Events, reply.AsOf
		} else {
			f.answered()
		}
		f.recent.add(events, asOf)
		if len(events) > 0 {
			f.Apply(events, asOf)
		}
		above = max(above, asOf)
		if len(events) > 0 && f.Gather > 0 {
			wait(ctx, f.Gather)
		}
	}
}

// next waits for changes, at the host that watches for this one or at the store.
func (f *Follower) next(ctx context.Context, above int64) ([]Event, int64, error) {
	span := f.Wait
	if span == 0 {
		span = defaultWait
	}
	if f.Away() && f.Share != nil {
		// Only a look whether the store is back: what has changed comes from other hosts meanwhile.
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		return f.Store.Watch(bounded, f.Prefix, above, 0)
	}
	if f.Share != nil {
		source, serving := f.Share.Source()
		if source != "" {
			request := WatchRequest{Prefix: f.Prefix, Above: above, Wait: f.sharedWait()}
			reply, ok := f.Share.ask(ctx, source, request, f.sharedWait()+sharedSlack)
			if ok {
				f.unanswered = false
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
	bounded, cancel := context.WithTimeout(ctx, span+watchSlack)
	defer cancel()
	return f.Store.Watch(bounded, f.Prefix, above, span)
}

// sharedWait returns how long a watch waits that is made for other hosts too.
func (f *Follower) sharedWait() time.Duration {
	if f.Shared == 0 {
		return defaultShared
	}
	return f.Shared
}
