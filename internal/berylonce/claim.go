package berylonce

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryletcd"
)

// claimTries is how often a claim follows a record that changes under it.
const claimTries = 4

// claim is one try of a request to get its key.
type claim struct {
	manager *Manager
	entry   *entry
	intent  Intent
	// ran is set once the record showed that a holder which is gone may have run the request.
	ran bool
}

// run writes the claim's record, and follows the one that is there instead.
func (c *claim) run(ctx context.Context) Decision {
	for range claimTries {
		start := time.Now()
		outcome, ok := c.write(ctx)
		if !ok {
			return c.refuse()
		}
		switch outcome.Status {
		case beryletcd.Done:
			c.entry.revision, c.entry.claimed = outcome.Revision, true
			return Decision{Run: &Hold{manager: c.manager, entry: c.entry, claimed: start}}
		case beryletcd.Conflict:
			if decision, over := c.follow(ctx, outcome.Current); over {
				return decision
			}
		default:
			c.entry.claimed = c.entry.claimed || outcome.Status == beryletcd.Unknown
			return c.refuse()
		}
	}
	return Decision{Refusal: refuseInProgress()}
}

// write sends the claim's record, once more where its lease is gone; it fails when no lease can be had.
func (c *claim) write(ctx context.Context) (beryletcd.Outcome, bool) {
	return c.manager.swap(ctx, c.entry, c.entry.mine)
}

// follow decides what the record found means; over is false when the claim is to be written again.
func (c *claim) follow(ctx context.Context, current beryletcd.Record) (decision Decision, over bool) {
	for range claimTries {
		if current.Revision == 0 {
			c.entry.revision = 0
			return Decision{}, false
		}
		found, err := decodeRecord(current.Value)
		if err != nil {
			c.manager.counters.garbage.Inc()
			return Decision{Refusal: refuseUnknown()}, true
		}
		switch judge(found, c.intent, found.Nonce == c.entry.mine.Nonce, c.manager.alive(found)) {
		case verdictTake:
			c.ran = c.ran || found.State == stateRunning && found.Nonce != c.entry.mine.Nonce
			c.entry.revision = current.Revision
			return Decision{}, false
		case verdictMarkUnknown:
			marked := found
			marked.State = stateUnknown
			outcome := c.manager.config.Store.SwapSettled(ctx, c.entry.key, marked.encode(), current.Revision, current.Lease)
			if outcome.Status != beryletcd.Conflict {
				return c.settle(Decision{Refusal: refuseUnknown()})
			}
			current = outcome.Current
		case verdictReplay:
			return c.settle(Decision{Replay: found.Answer})
		case verdictNotKept:
			return c.settle(Decision{Refusal: refuseNotKept()})
		case verdictReused:
			return c.settle(Decision{Refusal: refuseKeyReused()})
		case verdictUnknown:
			return c.settle(Decision{Refusal: refuseUnknown()})
		default:
			return c.settle(Decision{Refusal: refuseInProgress()})
		}
	}
	return Decision{Refusal: refuseInProgress()}, true
}

// settle ends a claim that met another holder's record, over which a late write of this claim can't get any more.
func (c *claim) settle(decision Decision) (Decision, bool) {
	c.entry.claimed = false
	return decision, true
}

// refuse ends a claim that got no certain answer; this request was not run, but a holder that is gone may have run it.
func (c *claim) refuse() Decision {
	if c.ran {
		return Decision{Refusal: refuseInProgress()}
	}
	return Decision{Refusal: refuseNotRun()}
}

// alive reports whether the holder of a record may still be running it. A claim of this process that has no entry any
// more is not running.
func (m *Manager) alive(found record) bool {
	if found.Host == m.config.Host && found.Boot == m.config.Boot {
		return false
	}
	return m.config.Alive == nil || m.config.Alive(found.Host, found.Boot)
}

// swap writes a record over the entry's revision, under its lease or the present one; it fails when no lease can be had.
func (m *Manager) swap(ctx context.Context, e *entry, value record) (beryletcd.Outcome, bool) {
	for range claimTries {
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
		m.leases.drop(lease)
		e.lease = 0
	}
	return beryletcd.Outcome{}, false
}
