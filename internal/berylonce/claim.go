package berylonce

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryletcd"
)

// maxClaimAttempts is how often a claim follows a record that changes under it.
const maxClaimAttempts = 4

// claimAttempt is one try of a request to get its key.
type claimAttempt struct {
	manager *Manager
	entry   *entry
	intent  Intent
	// mayHaveRun is set once the record showed that a holder which is gone may have run the request.
	mayHaveRun bool
}

// run writes the claim's record, and follows the one that is there instead.
func (c *claimAttempt) run(ctx context.Context) Decision {
	for range maxClaimAttempts {
		start := time.Now()
		outcome, ok := c.write(ctx)
		if !ok {
			return c.refuseUncertain()
		}
		switch outcome.Status {
		case beryletcd.Done:
			c.entry.revision, c.entry.mayBeClaimed = outcome.Revision, true
			return Decision{Run: &keyTicket{manager: c.manager, entry: c.entry, claimedAt: start}}
		case beryletcd.Conflict:
			if decision, over := c.resolveConflict(ctx, outcome.Current); over {
				return decision
			}
		default:
			c.entry.mayBeClaimed = c.entry.mayBeClaimed || outcome.Status == beryletcd.Unknown
			return c.refuseUncertain()
		}
	}
	return Decision{Refusal: refuseInProgress()}
}

// write sends the claim's record, once more where its lease is gone; it fails when no lease can be had.
func (c *claimAttempt) write(ctx context.Context) (beryletcd.Outcome, bool) {
	return c.manager.swapUnderLease(ctx, c.entry, c.entry.claimRecord)
}

// resolveConflict decides what the record found means; over is false when the claim is to be written again.
func (c *claimAttempt) resolveConflict(ctx context.Context, current beryletcd.Record) (decision Decision, over bool) {
	for range maxClaimAttempts {
		if current.Revision == 0 {
			c.entry.revision = 0
			return Decision{}, false
		}
		found, err := decodeRecord(current.Value)
		if err != nil {
			c.manager.counters.undecodable.Inc()
			return Decision{Refusal: refuseUnknown()}, true
		}
		switch decideClaim(found, c.intent, found.Nonce == c.entry.claimRecord.Nonce, c.manager.holderAlive(found)) {
		case actionClaim:
			c.mayHaveRun = c.mayHaveRun || found.State == stateRunning && found.Nonce != c.entry.claimRecord.Nonce
			c.entry.revision = current.Revision
			return Decision{}, false
		case actionMarkUnknown:
			marked := found
			marked.State = stateUnknown
			outcome := c.manager.config.Store.SwapSettled(ctx, c.entry.key, marked.encode(), current.Revision, current.Lease)
			if outcome.Status != beryletcd.Conflict {
				return c.endUnclaimed(Decision{Refusal: refuseUnknown()})
			}
			current = outcome.Current
		case actionReplay:
			return c.endUnclaimed(Decision{Replay: found.Answer})
		case actionRefuseNotKept:
			return c.endUnclaimed(Decision{Refusal: refuseNotKept()})
		case actionRefuseKeyReused:
			return c.endUnclaimed(Decision{Refusal: refuseKeyReused()})
		case actionRefuseUnknown:
			return c.endUnclaimed(Decision{Refusal: refuseUnknown()})
		default:
			return c.endUnclaimed(Decision{Refusal: refuseInProgress()})
		}
	}
	return Decision{Refusal: refuseInProgress()}, true
}

// endUnclaimed ends a claim that met another holder's record, over which a late write of this claim can't get any more.
func (c *claimAttempt) endUnclaimed(decision Decision) (Decision, bool) {
	c.entry.mayBeClaimed = false
	return decision, true
}

// refuseUncertain ends a claim that got no certain answer; this request was not run, but a holder that is gone may have run it.
func (c *claimAttempt) refuseUncertain() Decision {
	if c.mayHaveRun {
		return Decision{Refusal: refuseInProgress()}
	}
	return Decision{Refusal: refuseNotRun()}
}

// holderAlive reports whether the holder of a record may still be running it. A claim of this process that has no entry any
// more is not running.
func (m *Manager) holderAlive(found record) bool {
	if found.Host == m.config.Host && found.Boot == m.config.Boot {
		return false
	}
	return m.config.Alive == nil || m.config.Alive(found.Host, found.Boot)
}

// swapUnderLease writes a record over the entry's revision, under its lease or the present one; it fails when no lease can be had.
func (m *Manager) swapUnderLease(ctx context.Context, e *entry, value record) (beryletcd.Outcome, bool) {
	for range maxClaimAttempts {
		lease, ok := e.lease, e.lease != 0
		if !ok {
			lease, ok = m.leases.current(ctx)
		}
		if !ok {
			return beryletcd.Outcome{}, false
		}
		e.lease = lease
		outcome := m.config.Store.SwapSettled(ctx, e.key, value.encode(), e.revision, lease)
		if outcome.Status != beryletcd.Unavailable || !errors.Is(outcome.Err, beryletcd.ErrLeaseGone) {
			return outcome, true
		}
		m.leases.invalidate(lease)
		e.lease = 0
	}
	return beryletcd.Outcome{}, false
}
