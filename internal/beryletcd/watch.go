package beryletcd

import (
	"context"
	"time"
)

const (
	// watchPauseLeast is the pause after a watch's first failure, jitter apart.
	watchPauseLeast = 100 * time.Millisecond
	// watchPauseMost is the longest pause between tries to open a watch, jitter apart.
	watchPauseMost = 10 * time.Second
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
	// watchSilent means that an open stream brought nothing for so long that it is opened anew.
	watchSilent
	// watchStale means that the changes since the last revision can't be had any more.
	watchStale
	// watchOver means that the one change that was waited for has come.
	watchOver
)

// Watch reports the changes after the revision from to handle until the context ends; with from zero, or where the
// changes can't be had any more, it reports a snapshot first. It goes on from the last revision when its stream breaks.
// The calls of handle come from this goroutine; while one runs, changes wait at the service.
func (c *Client) Watch(ctx context.Context, target Target, from int64, handle func(Change)) {
	w := watch{client: c, target: target, last: from, renew: c.config.WatchRenew, handle: handle}
	for ctx.Err() == nil {
		if w.step(ctx) {
			w.pause = 0
			continue
		}
		w.wait(ctx)
	}
}

// watch is the state of one Watch.
type watch struct {
	client  *Client
	target  Target
	last    int64
	cluster uint64
	handle  func(Change)
	pause   time.Duration
	// renew is the silence after which an open stream ends, and once ends it with the first change.
	renew time.Duration
	once  bool
}

// step reads a snapshot where one is needed and then follows one stream; false asks for a pause.
func (w *watch) step(ctx context.Context) bool {
	if w.last == 0 && !w.snapshot(ctx) {
		return false
	}
	switch w.stream(ctx) {
	case watchSilent:
		return true
	case watchStale:
		w.last = 0
		return true
	default:
		return false
	}
}

// wait pauses before the next try, each time for longer.
func (w *watch) wait(ctx context.Context) {
	w.pause = min(max(2*w.pause, watchPauseLeast), watchPauseMost)
	timer := time.NewTimer(w.pause + time.Duration(w.client.jitter()*float64(w.pause)))
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
		return w.report(change)
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
	return w.report(change)
}

// report hands on a change and remembers how far it reaches.
func (w *watch) report(change Change) bool {
	w.last = change.Revision
	w.handle(change)
	return true
}
