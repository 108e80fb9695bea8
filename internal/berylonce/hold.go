package berylonce

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"time"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// finishWait bounds the time for which the end of a run waits for its record.
	finishWait = time.Second
	// endTries is how often the end of a run follows a record that changes under it.
	endTries = 4
)

// StartChecker is the side of a ticket that is asked right before the first byte goes to an upstream.
type StartChecker interface {
	// Check returns nil when the run may start now. It renews the claim of a never-repeat request that is no longer fresh,
	// and where that fails it gives the key back and returns the refusal; Finish then does nothing.
	Check(ctx context.Context, now time.Time) *beryloutcome.Refusal
}

// Hold is the ticket of a Manager.
type Hold struct {
	manager *Manager
	entry   *entry

	mu       sync.Mutex
	claimed  time.Time
	finished bool
}

var (
	_ Ticket       = (*Hold)(nil)
	_ StartChecker = (*Hold)(nil)
)

// Fresh reports whether so little time has passed since the claim was sent that no other host can have taken this one
// for gone; both the monotonic and the wall clock must say so, since either may stand still while a host is paused.
func (h *Hold) Fresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.manager.config.Fresh
	return now.Sub(h.claimed) <= limit && now.Round(0).Sub(h.claimed.Round(0)) <= limit
}

// Check implements Checker.
func (h *Hold) Check(ctx context.Context, now time.Time) *beryloutcome.Refusal {
	if !h.entry.mine.Never || h.Fresh(now) {
		return nil
	}
	if h.renew(ctx) {
		return nil
	}
	h.manager.counters.stale.Inc()
	h.Finish(ctx, beryloutcome.Result{Kind: beryloutcome.NotRun}, Answer{})
	return refuseNotRun()
}

// renew writes the claim anew and reports whether it is fresh again.
func (h *Hold) renew(ctx context.Context) bool {
	start := time.Now()
	h.entry.mine.Renewals++
	outcome, ok := h.manager.swap(ctx, h.entry, h.entry.mine)
	if !ok || outcome.Status != beryletcd.Done {
		return false
	}
	h.entry.revision = outcome.Revision
	h.mu.Lock()
	h.claimed = start
	h.mu.Unlock()
	return h.Fresh(time.Now())
}

// Finish implements Ticket. When the record can't be written within a second it is kept in memory and written later, and
// the answer stands; only the first call counts.
func (h *Hold) Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal {
	if !h.finishOnce() {
		return nil
	}
	end := h.end(result, answer)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishWait)
	defer cancel()
	m := h.manager
	written, refusal := m.writeEnd(ctx, h.entry, end)
	if written {
		m.leave(h.entry)
		return refusal
	}
	if m.enqueue(h.entry, end) {
		return nil
	}
	m.counters.dropped.Inc()
	m.leave(h.entry)
	if end.State == stateDone && !end.Never {
		return refuseUnknown()
	}
	return nil
}

// finishOnce reports whether this is the first Finish.
func (h *Hold) finishOnce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.finished
	h.finished = true
	return first
}

// end returns the record to write for the end of the run.
func (h *Hold) end(result beryloutcome.Result, answer Answer) record {
	end := h.entry.mine
	switch {
	case result.Kind == beryloutcome.Answered && len(answer.Body)+len(answer.ContentType) > h.manager.config.MaxAnswer:
		end.State = stateNotKept
	case result.Kind == beryloutcome.Answered:
		answer.Body = bytes.Clone(answer.Body)
		answer.ContentType = strings.Clone(answer.ContentType)
		end.State, end.Answer = stateDone, &answer
	case result.Kind == beryloutcome.NotRun || !end.Never:
		end.State = stateFree
	default:
		end.State = stateUnknown
	}
	return end
}

// writeEnd writes the end of a run; written is false when it has to be tried again later. A refusal says that another
// claim of the key counts.
func (m *Manager) writeEnd(ctx context.Context, e *entry, end record) (written bool, refusal *beryloutcome.Refusal) {
	for range endTries {
		outcome, ok := m.swap(ctx, e, end)
		if !ok {
			return false, nil
		}
		switch outcome.Status {
		case beryletcd.Done:
			return true, nil
		case beryletcd.Conflict:
			if over, refusal := m.meet(e, end, outcome.Current); over {
				return true, refusal
			}
		default:
			return false, nil
		}
	}
	return false, nil
}

// meet decides how the end of a run goes on when another record was found; over is false when it is to be written over it.
func (m *Manager) meet(e *entry, end record, current beryletcd.Record) (over bool, refusal *beryloutcome.Refusal) {
	e.revision = current.Revision
	if current.Revision == 0 {
		return end.State == stateFree, nil
	}
	found, err := decodeRecord(current.Value)
	if err != nil {
		m.counters.garbage.Inc()
		return true, nil
	}
	switch judgeEnd(found, end) {
	case closingOver:
		return false, nil
	case closingSettled:
		return true, nil
	default:
		return true, m.lost(end)
	}
}

// lost tells the caller of a repeatable request to ask for the answer that counts; the answer of a never-repeat request
// stands, since no other run of it can be meant.
func (m *Manager) lost(end record) *beryloutcome.Refusal {
	if end.State != stateDone && end.State != stateNotKept {
		return nil
	}
	m.counters.lost.Inc()
	if end.Never {
		return nil
	}
	return refuseInProgress()
}
