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
	// finishTimeout bounds how long Finish waits until the result of the run is recorded.
	finishTimeout = time.Second
	// maxFinalWriteAttempts bounds how often the write of a final record is tried, in case other writers change the
	// key's record.
	maxFinalWriteAttempts = 4
)

// StartChecker is implemented by tickets that must be checked right before the first byte goes to an upstream.
type StartChecker interface {
	// Check returns nil when the run may start now. It renews a claim of a never-repeat request that has grown too old;
	// if that fails it frees the key and returns a refusal, and a later Finish has no effect.
	Check(ctx context.Context, now time.Time) *beryloutcome.Refusal
}

// keyTicket is the Ticket of a Manager for one claimed key.
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

// claimIsFresh reports whether the claim is at most Config.MaxClaimAge old, so that no other host can have considered
// this one dead since. It checks both the monotonic and the wall clock, since either may stand still while a host is
// paused.
func (t *keyTicket) claimIsFresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.manager.config.MaxClaimAge
	return now.Sub(t.claimedAt) <= limit && now.Round(0).Sub(t.claimedAt.Round(0)) <= limit
}

// Check implements StartChecker.
func (t *keyTicket) Check(ctx context.Context, now time.Time) *beryloutcome.Refusal {
	if !t.entry.claimRecord.NeverRepeat || t.claimIsFresh(now) {
		return nil
	}
	if t.renew(ctx) {
		return nil
	}
	t.manager.counters.staleClaims.Inc()
	t.Finish(ctx, beryloutcome.Result{Kind: beryloutcome.NotRun}, Answer{})
	return refuseNotRun()
}

// renew writes the claim again and reports whether it is fresh now.
func (t *keyTicket) renew(ctx context.Context) bool {
	start := time.Now()
	t.entry.claimRecord.Renewals++
	outcome, ok := t.manager.swapUnderLease(ctx, t.entry, t.entry.claimRecord)
	if !ok || outcome.Status != beryletcd.Done {
		return false
	}
	t.entry.revision = outcome.Revision
	t.mu.Lock()
	t.claimedAt = start
	t.mu.Unlock()
	return t.claimIsFresh(time.Now())
}

// Finish implements Ticket. When the result can't be recorded within a second, it is queued in memory and written
// later, and the answer stands. Only the first call has an effect.
func (t *keyTicket) Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal {
	if !t.markFinished() {
		return nil
	}
	final := t.newFinalRecord(result, answer)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	m := t.manager
	written, refusal := m.writeFinalRecord(ctx, t.entry, final)
	if written {
		m.removeEntry(t.entry)
		return refusal
	}
	if m.enqueue(t.entry, final) {
		return nil
	}
	m.counters.droppedRecords.Inc()
	m.removeEntry(t.entry)
	if final.State == stateDone && !final.NeverRepeat {
		return refuseUnknown()
	}
	return nil
}

// markFinished marks the ticket as finished and reports whether this was the first call.
func (t *keyTicket) markFinished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.finished
	t.finished = true
	return first
}

// newFinalRecord returns the record of the run's result.
func (t *keyTicket) newFinalRecord(result beryloutcome.Result, answer Answer) record {
	final := t.entry.claimRecord
	switch {
	case result.Kind == beryloutcome.Answered && len(answer.Body)+len(answer.ContentType) > t.manager.config.MaxAnswerBytes:
		final.State = stateNotKept
	case result.Kind == beryloutcome.Answered:
		answer.Body = bytes.Clone(answer.Body)
		answer.ContentType = strings.Clone(answer.ContentType)
		final.State, final.Answer = stateDone, &answer
	case result.Kind == beryloutcome.NotRun || !final.NeverRepeat:
		final.State = stateFree
	default:
		final.State = stateUnknown
	}
	return final
}

// writeFinalRecord writes a final record over the claim; written is false when it must be retried later. A refusal
// means that another run's record has replaced the claim.
func (m *Manager) writeFinalRecord(ctx context.Context, e *entry, final record) (written bool, refusal *beryloutcome.Refusal) {
	for range maxFinalWriteAttempts {
		outcome, ok := m.swapUnderLease(ctx, e, final)
		if !ok {
			return false, nil
		}
		switch outcome.Status {
		case beryletcd.Done:
			return true, nil
		case beryletcd.Conflict:
			if over, refusal := m.resolveFinalConflict(e, final, outcome.Current); over {
				return true, refusal
			}
		default:
			return false, nil
		}
	}
	return false, nil
}

// resolveFinalConflict decides how to go on when a final record was to be written and another record was found; over is
// false when the final record is to be written over that record.
func (m *Manager) resolveFinalConflict(e *entry, final record, current beryletcd.Record) (over bool, refusal *beryloutcome.Refusal) {
	e.revision = current.Revision
	if current.Revision == 0 {
		return final.State == stateFree, nil
	}
	found, err := decodeRecord(current.Value)
	if err != nil {
		m.counters.undecodable.Inc()
		return true, nil
	}
	switch decideFinalRecord(found, final) {
	case finalOverwrite:
		return false, nil
	case finalAlreadyRecorded:
		return true, nil
	default:
		return true, m.supersededRefusal(final)
	}
}

// supersededRefusal returns the refusal for a run whose answer could not be recorded because another run's record has
// replaced the claim. The caller of a repeatable request is told to ask again, to get that run's answer. The answer of
// a never-repeat request stands, since the request can't have run anywhere else.
func (m *Manager) supersededRefusal(final record) *beryloutcome.Refusal {
	if final.State != stateDone && final.State != stateNotKept {
		return nil
	}
	m.counters.supersededAnswers.Inc()
	if final.NeverRepeat {
		return nil
	}
	return refuseInProgress()
}
