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
	// finishTimeout bounds how long Finish waits until the end of the run is recorded.
	finishTimeout = time.Second
	// maxEndAttempts bounds how often the end of a run is retried when its record changes under it.
	maxEndAttempts = 4
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

// Finish implements Ticket. When the end can't be recorded within a second, it is queued in memory and written later,
// and the answer stands. Only the first call has an effect.
func (t *keyTicket) Finish(ctx context.Context, result beryloutcome.Result, answer Answer) *beryloutcome.Refusal {
	if !t.markFinished() {
		return nil
	}
	end := t.newEndRecord(result, answer)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	m := t.manager
	written, refusal := m.writeEnd(ctx, t.entry, end)
	if written {
		m.removeEntry(t.entry)
		return refusal
	}
	if m.enqueue(t.entry, end) {
		return nil
	}
	m.counters.droppedEnds.Inc()
	m.removeEntry(t.entry)
	if end.State == stateDone && !end.NeverRepeat {
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

// newEndRecord returns the record of the run's end.
func (t *keyTicket) newEndRecord(result beryloutcome.Result, answer Answer) record {
	end := t.entry.claimRecord
	switch {
	case result.Kind == beryloutcome.Answered && len(answer.Body)+len(answer.ContentType) > t.manager.config.MaxAnswerBytes:
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

// writeEnd writes the end of a run; written is false when it must be retried later. A refusal means that the record of
// another run counts.
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

// resolveEndConflict decides how to go on when the end of a run was to be written and another record was found; over is
// false when the end is to be written over that record.
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

// supersededRefusal returns the refusal for a run whose answer could not be recorded because the record of another run
// counts. The caller of a repeatable request is told to ask again, to get the answer that counts. The answer of a
// never-repeat request stands, since the request can't have run anywhere else.
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
