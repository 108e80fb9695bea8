package beryletcd

import (
	"context"
	"time"
)

const (
	// minWatchRetryPause is the pause after the first failure of a watch, before jitter.
	minWatchRetryPause = 100 * time.Millisecond
	// maxWatchRetryPause is the longest pause between attempts to open a watch, before jitter.
	maxWatchRetryPause = 10 * time.Second
	// maxSnapshotRecords is the maximum number of records of one snapshot; a larger one fails.
	maxSnapshotRecords = 100_000
)

// Target selects the keys of a watch.
type Target struct {
	// Key is a full key, or a prefix if Prefix is set.
	Key string
	// Prefix selects all keys that start with Key.
	Prefix bool
}

// Change is one report of a watch.
type Change struct {
	// Snapshot means that Records are all records of the target; any other key known before is gone.
	Snapshot bool
	// Records are the written records, sorted by revision, or by key in a snapshot.
	Records []Record
	// Deleted are the deleted keys; no key is in both Records and Deleted.
	Deleted []string
	// Revision is the revision up to which all changes have been reported.
	Revision int64
}

// watchEnd says why a watch's stream ended.
type watchEnd uint8

const (
	// watchBroken means that the stream failed.
	watchBroken watchEnd = iota
	// watchIdle means that an open stream received nothing for the idle timeout and is to be reopened.
	watchIdle
	// watchHistoryGone means that the changes since the last revision are no longer available; a snapshot is needed.
	watchHistoryGone
	// watchDelivered means that the stream was to end at the first change, and it has arrived.
	watchDelivered
)

// Watch calls handle with the changes after the revision from until the context ends. If from is zero, or the changes
// since then are no longer available, it reports a snapshot first. When a stream breaks, Watch continues from the last
// revision. It calls handle on the goroutine of its caller; while handle runs, no further changes are read.
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

// watch is the state of one Watch call.
type watch struct {
	client     *Client
	target     Target
	revision   int64
	cluster    uint64
	handle     func(Change)
	retryPause time.Duration
	// idleTimeout is how long an open stream may receive nothing before it ends.
	idleTimeout time.Duration
	// single ends the stream at the first change.
	single bool
}

// runOnce reads a snapshot if one is needed and follows one stream to its end; it returns false if the caller is to
// back off before the next attempt.
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

// backOff waits before the next attempt; the pause doubles up to maxWatchRetryPause.
func (w *watch) backOff(ctx context.Context) {
	w.retryPause = min(max(2*w.retryPause, minWatchRetryPause), maxWatchRetryPause)
	timer := time.NewTimer(w.retryPause + time.Duration(w.client.jitter()*float64(w.retryPause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// snapshot reads all records of the target at one revision and reports them. It returns false if a read fails or there
// are more than maxSnapshotRecords.
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

// deliver passes a change to the handler and stores its revision as the one to continue from. It always returns true.
func (w *watch) deliver(change Change) bool {
	w.revision = change.Revision
	w.handle(change)
	return true
}
