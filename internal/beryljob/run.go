package beryljob

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryletcd"
)

const (
	// commitInterval is the time between two commits of a job's results.
	commitInterval = 500 * time.Millisecond
	// rereadInterval is how often a runner reads its record to find a cancellation that another host recorded.
	rereadInterval = 2 * time.Second
	// maxSegmentBytes bounds the answers in one segment, in bytes, unless its first answer alone is larger.
	maxSegmentBytes = 256 << 10
	// maxRunningItems is the number of a job's items that run at the same time.
	maxRunningItems = 16
)

// jobRunner runs one job on its owner. Its fields belong to the goroutine of run.
type jobRunner struct {
	manager *Manager
	// record is the job's record as last read or written, and revision its revision.
	record   *Record
	revision int64
	items    []Item
	// pending holds the positions of the items that are still to be started.
	pending []int
	// running is the number of items in flight.
	running int
	// results receives the results of the items in flight.
	results chan Result
	// rereadRequested signals that the record is to be read again at once.
	rereadRequested chan struct{}
	// uncommitted holds the results that the record does not have yet.
	uncommitted []Result
	// lost is set once another host owns the job.
	lost bool
}

func newJobRunner(m *Manager, record *Record, revision int64) *jobRunner {
	return &jobRunner{manager: m, record: record, revision: revision, results: make(chan Result, maxRunningItems), rereadRequested: make(chan struct{}, 1)}
}

// run runs the job's items until all results are committed, the job is cancelled, this host has lost the job or ctx ends.
func (r *jobRunner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	defer workers.Wait()
	defer cancel()
	if !r.load(ctx) {
		return
	}
	commit := time.NewTicker(commitInterval)
	defer commit.Stop()
	reread := time.NewTicker(rereadInterval)
	defer reread.Stop()
	for !r.lost && !r.record.Done() && ctx.Err() == nil {
		r.startItems(ctx, &workers)
		select {
		case result := <-r.results:
			r.addResult(result)
		case <-commit.C:
			r.commit(ctx)
		case <-reread.C:
			r.reread(ctx)
		case <-r.rereadRequested:
			r.reread(ctx)
		case <-ctx.Done():
		}
		if r.record.State == Cancelling {
			r.finishCancel(ctx, cancel)
		}
	}
}

// load reads the input file and queues the items without a committed result. It retries until the platform's service
// answers, and returns false if the input can't be used or ctx ends.
func (r *jobRunner) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		file, _, refusal := readValue[File](ctx, r.manager.store, filePrefix+r.record.InputFile)
		if refusal != nil {
			pause(ctx, platformRetryInterval)
			continue
		}
		if file == nil {
			r.manager.Log.WithField("job", r.record.ID).Error("the input of a job is missing")
			return false
		}
		items, err := parseInput(file.Data)
		if err != nil || len(items) != r.record.Total {
			r.manager.Log.WithField("job", r.record.ID).Error("the input of a job is damaged")
			return false
		}
		r.items = items
		for i := range items {
			if !r.record.Ended.Has(i) {
				r.pending = append(r.pending, i)
			}
		}
		return true
	}
	return false
}

// startItems starts pending items until maxRunningItems are in flight.
func (r *jobRunner) startItems(ctx context.Context, workers *conc.WaitGroup) {
	job := r.record.ID // copied because the record is replaced while items run and belongs to this goroutine
	for r.record.State == Running && r.running < maxRunningItems && len(r.pending) > 0 {
		number := r.pending[0]
		r.pending = r.pending[1:]
		r.running++
		workers.Go(func() {
			result, ended := r.manager.runItem(ctx, job, number, &r.items[number])
			if !ended {
				return
			}
			select {
			case r.results <- result:
			case <-ctx.Done():
			}
		})
	}
}

func (r *jobRunner) addResult(result Result) {
	r.running--
	r.uncommitted = append(r.uncommitted, result)
}

// commit writes uncommitted results as a segment and then names the segment in the record.
func (r *jobRunner) commit(ctx context.Context) {
	if len(r.uncommitted) == 0 {
		return
	}
	results := r.nextSegmentResults()
	name := fmt.Sprintf("%06d-%06d-%s", r.record.Epoch, len(r.record.Segments), newNonce())
	segment := Segment{Results: results, Nonce: name}
	key := segmentPrefix + r.record.ID + "/" + name
	outcome := r.manager.Platform.SwapSettled(ctx, key, encode(&segment), 0, 0)
	if outcome.Status != beryletcd.Done {
		return // the results stay uncommitted, and the next commit tries again
	}
	next := r.record.withSegment(name, results)
	if next.Succeeded+next.Failed == next.Total {
		next.State = Completed
	}
	r.swap(ctx, next)
}

// nextSegmentResults returns the uncommitted results that fit one segment, at least one.
func (r *jobRunner) nextSegmentResults() []Result {
	size := 0
	for i := range r.uncommitted {
		size += len(r.uncommitted[i].Body)
		if i > 0 && size > maxSegmentBytes {
			return r.uncommitted[:i]
		}
	}
	return r.uncommitted
}

// withSegment returns a copy of the record that names the segment and counts its results.
func (r *Record) withSegment(segment string, results []Result) *Record {
	next := *r
	next.Segments = append(next.Segments[:len(next.Segments):len(next.Segments)], segment)
	next.Ended = append(ItemSet(nil), r.Ended...)
	for i := range results {
		next.Ended.Add(results[i].Item)
		if results[i].Answered() {
			next.Succeeded++
		} else {
			next.Failed++
		}
	}
	return &next
}

// swap replaces the stored record and reports whether it took effect. If the record has changed since it was read, or the
// outcome of the write is not known, it reads the record again.
func (r *jobRunner) swap(ctx context.Context, next *Record) bool {
	next.Nonce = newNonce()
	outcome := r.manager.Platform.SwapSettled(ctx, jobPrefix+r.record.ID, encode(next), r.revision, 0)
	switch outcome.Status {
	case beryletcd.Done:
		r.setRecord(next, outcome.Revision)
		return true
	case beryletcd.Conflict, beryletcd.Unknown:
		r.reread(ctx)
		return r.record.Nonce == next.Nonce
	}
	return false
}

// reread replaces the record by the one in the platform's service. A record of another epoch means that another host owns
// the job.
func (r *jobRunner) reread(ctx context.Context) {
	current, revision, refusal := readValue[Record](ctx, r.manager.store, jobPrefix+r.record.ID)
	if refusal != nil {
		return
	}
	if current == nil || current.Epoch != r.record.Epoch {
		r.lost = true
		r.manager.Log.WithFields(logrus.Fields{"job": r.record.ID, "epoch": r.record.Epoch}).Info("lost a job to another host")
		return
	}
	r.setRecord(current, revision)
}

// setRecord replaces the record and drops the uncommitted results that the new record has as ended. That includes results
// of a commit whose answer was lost, once the record is read.
func (r *jobRunner) setRecord(record *Record, revision int64) {
	if record.State != r.record.State {
		r.manager.Log.WithFields(logrus.Fields{"job": record.ID, "state": record.State}).Info("job changed its state")
	}
	r.record = record
	r.revision = revision
	r.uncommitted = slices.DeleteFunc(r.uncommitted, func(result Result) bool { return record.Ended.Has(result.Item) })
}

// finishCancel records the job as cancelled and cancels the items in flight; committed results are kept. If the record
// can't be written, it waits for commitInterval, and run tries again.
func (r *jobRunner) finishCancel(ctx context.Context, cancel context.CancelFunc) {
	next := *r.record
	next.State = Cancelled
	if r.swap(ctx, &next) {
		cancel()
		return
	}
	pause(ctx, commitInterval)
}

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
