package berylonce

import (
	"crypto/rand"
	"strings"
)

// phase is the state of an entry on this host.
type phase uint8

const (
	// phaseActive means that the key is being claimed or its request is running.
	phaseActive phase = iota
	// phaseQueued means that the final record waits in the queue to be written.
	phaseQueued
	// phaseWriting means that the final record is being written from the queue.
	phaseWriting
)

// entry is the state of a key that this host claims or runs, or whose final record it has still to write.
type entry struct {
	key   string
	phase phase
	// claimRecord is the record that claims the key.
	claimRecord record
	// revision is the last known revision of the key's record in the service; the next write expects it.
	revision int64
	lease    int64
	// mayBeClaimed is set once a write of the claim may have taken effect; the key must then be freed if the request is
	// not run.
	mayBeClaimed bool
	// finalRecord is the record that replaces the claim once the run has ended or the claim is given up; nil before.
	finalRecord *record
}

// answerBytes returns the size of the answer body that the entry keeps in memory.
func (e *entry) answerBytes() int {
	if e.finalRecord == nil || e.finalRecord.Answer == nil {
		return 0
	}
	return len(e.finalRecord.Answer.Body)
}

// reserveEntry returns the entry under which this request may claim the key, or nil and a decision when this host
// already runs or has ended a request with the key.
func (m *Manager) reserveEntry(key string, intent Intent) (*entry, Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	if e == nil {
		e = &entry{key: key, claimRecord: m.newRecord(intent)}
		m.entries[key] = e
		return e, Decision{}
	}
	if e.claimRecord.BodyHash != intent.BodyHash {
		return nil, Decision{Refusal: refuseKeyReused()}
	}
	if e.finalRecord == nil {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.phase == phaseWriting && (e.finalRecord.State == stateFree || !e.claimRecord.NeverRepeat) {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.finalRecord.State != stateFree {
		return nil, decisionForRecord(*e.finalRecord)
	}
	e.phase, e.finalRecord = phaseActive, nil
	m.removeFromQueueLocked(e)
	e.claimRecord.NeverRepeat = e.claimRecord.NeverRepeat || intent.NeverRepeat
	return e, Decision{}
}

// decisionForRecord returns the decision on a repeat of a request whose final record this host has.
func decisionForRecord(final record) Decision {
	switch final.State {
	case stateDone:
		return Decision{Replay: final.Answer}
	case stateNotKept:
		return Decision{Refusal: refuseNotKept()}
	default:
		return Decision{Refusal: refuseUnknown()}
	}
}

// newRecord returns the record that claims a key. The nonce comes from the system's random source and not from the
// configured seed, because two hosts with the same seed must not draw the same nonce.
func (m *Manager) newRecord(intent Intent) record {
	r := record{
		State:       stateRunning,
		NeverRepeat: intent.NeverRepeat,
		Caller:      strings.Clone(intent.Caller),
		Key:         strings.Clone(intent.Key),
		BodyHash:    intent.BodyHash,
		Host:        m.config.Host,
		Boot:        m.config.Boot,
	}
	_, _ = rand.Read(r.Nonce[:])
	return r
}

// finishClaim handles the entry after a claim: a granted claim keeps it, a claim that may have been written queues a
// record that frees the key, and any other claim removes it.
func (m *Manager) finishClaim(e *entry, granted bool) {
	switch {
	case granted:
	case e.mayBeClaimed:
		final := e.claimRecord
		final.State = stateFree
		if !m.enqueue(e, final) {
			m.counters.droppedRecords.Inc()
			m.removeEntry(e)
		}
	default:
		m.removeEntry(e)
	}
}

// removeEntry removes an entry and its answer from memory.
func (m *Manager) removeEntry(e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingBytes -= e.answerBytes()
	delete(m.entries, e.key)
}
