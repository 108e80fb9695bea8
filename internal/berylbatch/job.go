package berylbatch

import (
	"context"
	"slices"
	"time"
)

// job is what this host knows of one job. Its fields are guarded by the duty's mu.
type job struct {
	id       string
	record   Record
	revision int64
	// results are the listed results that this host knows, from position 0 on.
	results []Result
	// bodies holds the items where this host has read them.
	spec *Spec
	// items holds the items' states where this host runs the job.
	items []*item
	// finished holds results that are not listed yet, in the order in which they ended.
	finished []Result
	// changed is closed when there is something new for readers.
	changed chan struct{}
}

// item is one item at the host that runs it.
type item struct {
	*Item
	job *job
	// host is the host name that the job was sent to.
	host string
	// text is what has arrived; events counts its events and last is the number of the last one.
	text   []byte
	events int
	last   int64
	// running is set while a call is in flight; cancel breaks it off.
	running bool
	cancel  context.CancelCauseFunc
	// serverErrors counts answers of 500, failedCalls other serverErrors.
	serverErrors, failedCalls int
	// notBefore is when it may be tried again.
	notBefore time.Time
	ended     bool
}

// isRunningHere says whether this host has the job's items.
func (j *job) isRunningHere() bool {
	return j.items != nil
}

// hasUncommittedWork says whether calls are in flight or results are not listed yet.
func (j *job) hasUncommittedWork() bool {
	return len(j.finished) > 0 || slices.ContainsFunc(j.items, func(it *item) bool { return it.running })
}

// load makes the items runnable, but for those that are listed.
func (j *job) load(spec *Spec, listed []Result) {
	j.spec = spec
	j.results = listed
	j.finished = nil
	done := make(map[string]bool, len(listed))
	for _, r := range listed {
		done[r.ID] = true
	}
	j.items = make([]*item, len(spec.Items))
	for i := range spec.Items {
		j.items[i] = &item{Item: &spec.Items[i], job: j, host: j.record.Host, ended: done[spec.Items[i].ID]}
	}
}

// stop gives the items up; what is listed stays readable.
func (j *job) stop() {
	j.cancelItems()
	j.items = nil
	j.finished = nil
}

func (j *job) cancelItems() {
	for _, it := range j.items {
		if it.cancel != nil {
			it.cancel(errJobEnded)
		}
	}
}

// finish puts an item's result in line for the listing.
func (j *job) finish(it *item, state State) {
	it.ended = true
	r := Result{ID: it.ID, State: state}
	if state == Completed {
		r.Text = it.text
	}
	it.text = nil
	j.finished = append(j.finished, r)
}

// setCommitted takes the listed results as the store has them and keeps the finished ones that are not among them.
func (j *job) setCommitted(results []Result) {
	if len(results) < len(j.results) {
		return
	}
	listed := make(map[string]bool, len(results))
	for _, r := range results {
		listed[r.ID] = true
	}
	j.results = results
	kept := j.finished[:0]
	for _, r := range j.finished {
		if !listed[r.ID] {
			kept = append(kept, r)
		}
	}
	j.finished = kept
	for _, it := range j.items {
		it.ended = it.ended || listed[it.ID]
	}
	j.notifyReaders()
}

func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}
