package beryletcd

import (
	"context"
	"time"
)

const (
	// minWatchRetryPause is the pause after a watch's first failure, jitter apart.
	minWatchRetryPause = 100 * time.Millisecond
	// maxWatchRetryPause is the longest pause between tries to open a watch, jitter apart.
	maxWatchRetryPause = 10 * time.Second
	// maxSnapshotRecords is the most records that a watch takes up at once.
	maxSnapshotRecords = 100_000
)

// Target is what a watch looks at.
type Target struct {
	// Key is a whole key, or the start of all keys when Prefix is set.
	Key string
	// Prefix takes all keys that start with Key.
	Prefix bool
}

// Change is what a watch reports.
type Change struct {
	// Snapshot means that Records are all there are, and that any other key known before is gone.
	Snapshot bool
	// Records were written, in the order of their revisions, or of their keys in a snapshot.
	Records []Record
	// Deleted keys are gone; a key is never in both.
	Deleted []string
	// Revision is the revision up to which everything was reported.
	Revision int64
}

// watchEnd says why a watch's stream ended.
type watchEnd uint8

const (
	// watchBroken means that the stream failed.
	watchBroken watchEnd = iota
	// watchIdle means that an open stream brought nothing for so long that it is opened anew.
	watchIdle
	// watchHistoryGone means that the changes since the last revision can't be had any more.
	watchHistoryGone
	// watchDelivered means that the one change that was waited for has come.
	watchDelivered
)

// Watch reports the changes after the revision from to handle until the context ends; with from zero, or where the
// changes can't be had any more, it reports a snapshot first. It goes on from the last revision when its stream breaks.
// The calls of handle come from this goroutine; while one runs, changes wait at the service.
func (c *Client) Watch(ctx context.Context, target Target, from int64, handle func(Change)) {
	w := watch{client: c, target: target, revision: from, idleTimeout: c.config.WatchIdleTimeout, handle: handle}
	for ctx.Err() == nil {
		if w.runOnce(ctx) {
			w.retryPause = 0
			continue
		}
		w.backOff(ctx)
	}
}

// watch is the state of one Watch.
type watch struct {
	client     *Client
	target     Target
	revision   int64
	cluster    uint64
	handle     func(Change)
	retryPause time.Duration
	// idleTimeout is the silence after which an open stream ends, and once ends it with the first change.
	idleTimeout time.Duration
	single      bool
}

// runOnce reads a snapshot where one is needed and then follows one stream; false asks for a pause.
func (w *watch) runOnce(ctx context.Context) bool {
	if w.revision == 0 && !w.snapshot(ctx) {
		return false
	}
	switch w.stream(ctx) {
	case watchIdle:
		return true
	case watchHistoryGone:
		w.revision = 0
		return true
	default:
		return false
	}
}

// backOff pauses before the next try, each time for longer.
func (w *watch) backOff(ctx context.Context) {
	w.retryPause = min(max(2*w.retryPause, minWatchRetryPause), maxWatchRetryPause)
	timer := time.NewTimer(w.retryPause + time.Duration(w.client.jitter()*float64(w.retryPause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// snapshot reads the target at one revision and reports it.
func (w *watch) snapshot(ctx context.Context) bool {
	if !w.target.Prefix {
		read := w.client.Get(ctx, w.target.Key)
		if read.Status != Done {
			return false
		}
		change := Change{Snapshot: true, Revision: read.Revision}
		if read.Record.Revision > 0 {
			change.Records = []Record{read.Record}
		}
		return w.deliver(change)
	}
	listing := w.client.List(ctx, w.target.Key, MaxPage, "")
	change := Change{Snapshot: true, Records: listing.Records, Revision: listing.Revision}
	for listing.Status == Done && listing.Next != "" && len(change.Records) < maxSnapshotRecords {
		listing = w.client.listAt(ctx, w.target.Key, MaxPage, listing.Next, change.Revision)
		change.Records = append(change.Records, listing.Records...)
	}
	if listing.Status != Done || listing.Next != "" {
		return false
	}
	return w.deliver(change)
}

// deliver hands on a change and remembers how far it reaches.
func (w *watch) deliver(change Change) bool {
	w.revision = change.Revision
	w.handle(change)
	return true
}
