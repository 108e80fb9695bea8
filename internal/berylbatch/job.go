package berylbatch

import (
	"context"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylversion"
)

// job is this host's view of one job. Its fields are guarded by Manager.mu.
type job struct {
	id       string
	record   Record
	revision int64
	// ownerSince is when this host learned of the record's owner.
	ownerSince time.Time
	// results are the committed results that this host has seen, from position 0 on without gaps.
	results []Result
	// unreadable is set if this host can't decode the job's items or results, so that it must not own the job.
	unreadable bool
	// spec is the job's specification, or nil if this host has not read it.
	spec *Spec
	// items holds the state of each item if this host runs the job, and is nil otherwise.
	items []*item
	// finished holds results that are not committed yet, in the order in which their items ended.
	finished []Result
	// heldLogged is set if the log says that items of the job are held.
	heldLogged bool
	// changed is closed and replaced whenever the record or the committed results change; readers wait on it.
	changed chan struct{}
}

// item is the state of one item on the host that runs its job.
type item struct {
	*Item
	job *job
	// host is the HTTP host name that the job was submitted to, and account the name of the client account, or empty.
	host, account string
	// text is the answer received so far, events the number of events in it and last the ID of the last event.
	text   []byte
	events int
	last   int64
	// origin is the service, and the software version, of the upstream that sent the text. No other goes on with it.
	origin berylversion.Origin
	// running is set while a call is in flight; cancel cancels that call.
	running bool
	cancel  context.CancelCauseFunc
	// serverErrors counts the calls answered with status 500, which are limited by the route's attempts. failedCalls counts
	// all calls that ended without a result, except yielded and cancelled ones; the backoff grows with it.
	serverErrors, failedCalls int
	// notBefore is the earliest time of the next call, after a backoff.
	notBefore time.Time
	// ended is set once the item has a result, committed or not.
	ended bool
	// prompt is what the quarantine knows of the item.
	prompt berylquarantine.Prompt
}

// isRunningHere reports whether this host has loaded the job's items and runs them.
func (j *job) isRunningHere() bool {
	return j.items != nil
}

// hasUncommittedWork reports whether calls are in flight or results are not committed yet.
func (j *job) hasUncommittedWork() bool {
	return len(j.finished) > 0 || slices.ContainsFunc(j.items, func(it *item) bool { return it.running })
}

// load makes the items runnable, except those whose results are committed.
func (j *job) load(spec *Spec, committed []Result) {
	j.spec = spec
	j.results = committed
	j.finished = nil
	done := make(map[string]bool, len(committed))
	for _, r := range committed {
		done[r.ID] = true
	}
	j.items = make([]*item, len(spec.Items))
	for i := range spec.Items {
		it := &spec.Items[i]
		j.items[i] = &item{
			Item: it, job: j, host: j.record.Host, account: j.record.Account, ended: done[it.ID],
			prompt: berylquarantine.Prompt{Parts: it.PromptParts, Item: berylquarantine.ItemKey(j.id, it.ID)},
		}
	}
}

// stop cancels the items' calls and discards uncommitted results; committed results stay readable.
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

// finish queues an item's result for the next commit.
func (j *job) finish(it *item, state State) {
	it.ended = true
	r := Result{ID: it.ID, State: state}
	if state == Completed {
		r.Text = it.text
	}
	it.text = nil
	j.finished = append(j.finished, r)
}

// setCommitted replaces the committed results by those in the store, marks their items as ended and removes them from
// the finished results. It ignores a list that is shorter than the known one, which is an older state of the store.
func (j *job) setCommitted(results []Result) {
	if len(results) < len(j.results) {
		return
	}
	committed := make(map[string]bool, len(results))
	for _, r := range results {
		committed[r.ID] = true
	}
	j.results = results
	uncommitted := j.finished[:0]
	for _, r := range j.finished {
		if !committed[r.ID] {
			uncommitted = append(uncommitted, r)
		}
	}
	j.finished = uncommitted
	for _, it := range j.items {
		it.ended = it.ended || committed[it.ID]
	}
	j.notifyReaders()
}

// notifyReaders wakes the readers that wait for a change of the job.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}
