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
	// finishTimeout bounds the time for which the end of a run waits for its record.
	finishTimeout = time.Second
	// maxEndAttempts is how often the end of a run follows a record that changes under it.
	maxEndAttempts = 4
)

// StartChecker is the side of a ticket that is asked right before the first byte goes to an upstream.
type StartChecker interface {
	// Check returns nil when the run may start now. It renews the claim of a never-repeat request that is no longer fresh,
	// and where that fails it gives the key back and returns the refusal; Finish then does nothing.
	Check(ctx context.Context, now time.Time) *beryloutcome.Refusal
}

// keyTicket is the ticket of a Manager.
type keyTicket struct {
	manager *Manager
	entry   *entry

	mu        sync.Mutex
	claimedAt time.Time
	finished  bool
}

var (
	_ Ticket       = (*keyTicket)(nil)
	_ StartChecker = (*keyTicket)(nil)
)

// claimIsFresh reports whether so little time has passed since the claim was sent that no other host can have taken this one
// for gone; both the monotonic and the wall clock must say so, since either may stand still while a host is paused.
func (h *keyTicket) claimIsFresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.manager.config.MaxClaimAge
	return now.Sub(h.claimedAt) <= limit && now.Round(0).Sub(h.claimedAt.Round(0)) <= limit
}

// Check implements Checker.
func (h *keyTicket) Check(ctx context.Context, now time.Time) *beryloutcome.Refusal {
	if !h.entry.claimRecord.NeverRepeat || h.claimIsFresh(now) {
		return nil
	}
	if h.renew(ctx) {
		return nil
	}
	h.manager.counters.staleClaims.Inc()
	h.Finish(ctx, beryloutcome.Result{Kind: beryloutcome.NotRun}, Answer{})
	return refuseNotRun()
}

// renew writes the claim anew and reports whether it is fresh again.
func (h *keyTicket) renew(ctx context.Context) bool {
	start := time.Now()
	h.entry.claimRecord.Renewals++
	outcome, ok := h.manager.swapUnderLease(ctx, h.entry, h.entry.claimRecord)
	if !ok || outcome.Status != beryletcd.Done {
		return false
	}
	h.entry.revision = outcome.Revision
	h.mu.Lock()
	h.claimedAt = start
	h.mu.Unlock()
	return h.claimIsFresh(time.Now())
}

// Finish implements Ticket. When the record can't be written within a second it is kept in memory and written later, and
// the answer stands; only the first call counts.
func (h *keyTicket) Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal {
	if !h.markFinished() {
		return nil
	}
	end := h.newEndRecord(result, answer)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	m := h.manager
	written, refusal := m.writeEnd(ctx, h.entry, end)
	if written {
		m.removeEntry(h.entry)
		return refusal
	}
	if m.enqueue(h.entry, end) {
		return nil
	}
	m.counters.droppedEnds.Inc()
	m.removeEntry(h.entry)
	if end.State == stateDone && !end.NeverRepeat {
		return refuseUnknown()
	}
	return nil
}

// markFinished reports whether this is the first Finish.
func (h *keyTicket) markFinished() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.finished
	h.finished = true
	return first
}

// newEndRecord returns the record to write for the newEndRecord of the run.
func (h *keyTicket) newEndRecord(result beryloutcome.Result, answer Answer) record {
	end := h.entry.claimRecord
	switch {
	case result.Kind == beryloutcome.Answered && len(answer.Body)+len(answer.ContentType) > h.manager.config.MaxAnswerBytes:
		end.State = stateNotKept
	case result.Kind == beryloutcome.Answered:
		answer.Body = bytes.Clone(answer.Body)
		answer.ContentType = strings.Clone(answer.ContentType)
		end.State, end.Answer = stateDone, &answer
	case result.Kind == beryloutcome.NotRun || !end.NeverRepeat:
		end.State = stateFree
	default:
		end.State = stateUnknown
	}
	return end
}

// writeEnd writes the end of a run; written is false when it has to be tried again later. A refusal says that another
// claim of the key counts.
func (m *Manager) writeEnd(ctx context.Context, e *entry, end record) (written bool, refusal *beryloutcome.Refusal) {
	for range maxEndAttempts {
		outcome, ok := m.swapUnderLease(ctx, e, end)
		if !ok {
			return false, nil
		}
		switch outcome.Status {
		case beryletcd.Done:
			return true, nil
		case beryletcd.Conflict:
			if over, refusal := m.resolveEndConflict(e, end, outcome.Current); over {
				return true, refusal
			}
		default:
			return false, nil
		}
	}
	return false, nil
}

// resolveEndConflict decides how the end of a run goes on when another record was found; over is false when it is to be written over it.
func (m *Manager) resolveEndConflict(e *entry, end record, current beryletcd.Record) (over bool, refusal *beryloutcome.Refusal) {
	e.revision = current.Revision
	if current.Revision == 0 {
		return end.State == stateFree, nil
	}
	found, err := decodeRecord(current.Value)
	if err != nil {
		m.counters.undecodable.Inc()
		return true, nil
	}
	switch decideEnd(found, end) {
	case endOverwrite:
		return false, nil
	case endAlreadyRecorded:
		return true, nil
	default:
		return true, m.supersededRefusal(end)
	}
}

// supersededRefusal tells the caller of a repeatable request to ask for the answer that counts; the answer of a never-repeat request
// stands, since no other run of it can be meant.
func (m *Manager) supersededRefusal(end record) *beryloutcome.Refusal {
	if end.State != stateDone && end.State != stateNotKept {
		return nil
	}
	m.counters.supersededAnswers.Inc()
	if end.NeverRepeat {
		return nil
	}
	return refuseInProgress()
}
