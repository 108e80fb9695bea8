package berylonce

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryletcd"
)

// maxClaimAttempts bounds how often a claim is tried while other writers change its record, and how often a record is
// written with a new lease while the service does not know the last one.
const maxClaimAttempts = 4

// claimAttempt tries to claim the idempotency key of one request: it writes a record that says that this host runs the
// request.
type claimAttempt struct {
	manager *Manager
	entry   *entry
	intent  Intent
	// mayHaveRun is set once a record showed that an earlier holder of the key, which is dead, may have run the
	// request.
	mayHaveRun bool
}

// run writes the claim's record. When another record is there, it decides from that record whether to retry, replay or
// refuse.
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

// write writes the claim's record; it reports false when no lease can be had.
func (c *claimAttempt) write(ctx context.Context) (beryletcd.Outcome, bool) {
	return c.manager.swapUnderLease(ctx, c.entry, c.entry.claimRecord)
}

// resolveConflict decides how to go on when the key holds another record; over is false when the claim is to be written
// again over that record.
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

// endUnclaimed ends a claim that found the record of another holder. A delayed write of this claim can no longer
// succeed, since it expects an older revision; so the key need not be freed.
func (c *claimAttempt) endUnclaimed(decision Decision) (Decision, bool) {
	c.entry.mayBeClaimed = false
	return decision, true
}

// refuseUncertain ends a claim whose write got no certain answer. This request was not run; but if an earlier holder
// may have run it, the caller is told that it is in progress rather than not run.
func (c *claimAttempt) refuseUncertain() Decision {
	if c.mayHaveRun {
		return Decision{Refusal: refuseInProgress()}
	}
	return Decision{Refusal: refuseNotRun()}
}

// holderAlive reports whether the holder of a record may still be running the request. A record of this process counts
// as not running: a running request has an entry and is refused before its record is read.
func (m *Manager) holderAlive(found record) bool {
	if found.Host == m.config.Host && found.Boot == m.config.Boot {
		return false
	}
	return m.config.Alive == nil || m.config.Alive(found.Host, found.Boot)
}

// swapUnderLease writes a record over the entry's revision, under the entry's lease or, if it has none, under the
// current one. It retries with a new lease when the service no longer knows the lease, and reports false when no lease
// can be had.
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
