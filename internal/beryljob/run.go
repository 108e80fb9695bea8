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
	commitInterval = 500 * time.Millisecond
	// rereadInterval is how often a run looks for a cancellation that another host recorded.
	rereadInterval = 2 * time.Second
	// maxSegmentBytes is where a segment is written before its time is up.
	maxSegmentBytes = 256 << 10
	maxRunningItems = 16
)

// jobRunner is one job on its owner. Its fields belong to the goroutine of work.
type jobRunner struct {
	manager         *Manager
	record          *Record
	revision        int64
	items           []Item
	pending         []int
	running         int
	results         chan Result
	rereadRequested chan struct{}
	uncommitted     []Result
	lost            bool
}

func newJobRunner(m *Manager, record *Record, revision int64) *jobRunner {
	return &jobRunner{manager: m, record: record, revision: revision, results: make(chan Result, maxRunningItems), rereadRequested: make(chan struct{}, 1)}
}

// run runs the job's items until all have a committed end, the job is cancelled or this host has lost it.
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

// load reads the items that have no committed end.
func (r *jobRunner) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		file, _, refusal := readValue[File](ctx, r.manager.store, filePrefix+r.record.InputFile)
		if refusal != nil {
			pause(ctx, platformRetryInterval)
			continue
		}
		if file == nil {
			r.manager.Log.WithField("job", r.record.ID).Error("the input of a job is gone")
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

func (r *jobRunner) startItems(ctx context.Context, workers *conc.WaitGroup) {
	job := r.record.ID // The record itself belongs to this goroutine and is replaced while items run.
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

// commit writes what was gathered as a segment and then names the segment in the record.
func (r *jobRunner) commit(ctx context.Context) {
	if len(r.uncommitted) == 0 {
		return
	}
	batch := r.nextSegmentResults()
	name := fmt.Sprintf("%06d-%06d-%s", r.record.Epoch, len(r.record.Segments), newNonce())
	segment := Segment{Results: batch, Nonce: name}
	key := segmentPrefix + r.record.ID + "/" + name
	outcome := r.manager.Platform.SwapSettled(ctx, key, encode(&segment), 0, 0)
	if outcome.Status != beryletcd.Done {
		return // Everything stays gathered and is tried again.
	}
	next := r.record.withSegment(name, batch)
	if next.Succeeded+next.Failed == next.Total {
		next.State = Completed
	}
	r.swap(ctx, next)
}

// nextSegmentResults returns the gathered results that fit one segment, at least one.
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

// withSegment returns a copy of the record that holds the segment's results as ended.
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

// swap replaces the record and reports whether it took effect; a record of a later epoch ends the run.
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

// reread takes the record as the platform's service has it.
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

// setRecord takes a record that is in force; what it holds as ended is no longer gathered, also where the answer to the
// write was lost and the record was read only later.
func (r *jobRunner) setRecord(record *Record, revision int64) {
	if record.State != r.record.State {
		r.manager.Log.WithFields(logrus.Fields{"job": record.ID, "state": record.State}).Info("job changed its state")
	}
	r.record = record
	r.revision = revision
	r.uncommitted = slices.DeleteFunc(r.uncommitted, func(result Result) bool { return record.Ended.Has(result.Item) })
}

// finishCancel stops the running items and records the job as cancelled, keeping the results that stand.
func (r *jobRunner) finishCancel(ctx context.Context, cancel context.CancelFunc) {
	next := *r.record
	next.State = Cancelled
	if r.swap(ctx, &next) {
		cancel()
		return
	}
	pause(ctx, commitInterval)
}

// pause waits for the time given or the end of ctx.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
