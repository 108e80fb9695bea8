package berylonce

import (
	"crypto/rand"
	"strings"
)

// phase is where an entry stands on this host.
type phase uint8

const (
	// phaseActive means that the key is being claimed or run.
	phaseActive phase = iota
	// phaseQueued means that the end is known and waits to be written.
	phaseQueued
	// phaseWriting means that the end is being written from the queue.
	phaseWriting
)

// entry is what this host knows of a key that it claims, runs or has still to write the end of.
type entry struct {
	key   string
	phase phase
	// claimRecord is the claim's record.
	claimRecord record
	// revision is the record's revision in the service as far as known; the next write expects it.
	revision int64
	lease    int64
	// mayBeClaimed is set once a write of the claim may have taken effect, so that the key must be freed if it is not run.
	mayBeClaimed bool
	// endRecord is the record to write at the endRecord of the run, once there is one.
	endRecord *record
}

// answerBytes is the size of the answer that the entry keeps in memory.
func (e *entry) answerBytes() int {
	if e.endRecord == nil || e.endRecord.Answer == nil {
		return 0
	}
	return len(e.endRecord.Answer.Body)
}

// reserveEntry returns a new entry for the intent's key, or what this host's own entry says about the request.
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
	if e.endRecord == nil {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.phase == phaseWriting && (e.endRecord.State == stateFree || !e.claimRecord.NeverRepeat) {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.endRecord.State != stateFree {
		return nil, decisionForEnd(*e.endRecord)
	}
	e.phase, e.endRecord = phaseActive, nil
	m.removeFromQueueLocked(e)
	e.claimRecord.NeverRepeat = e.claimRecord.NeverRepeat || intent.NeverRepeat
	return e, Decision{}
}

// decisionForEnd answers a repeat of a request whose end is known.
func decisionForEnd(end record) Decision {
	switch end.State {
	case stateDone:
		return Decision{Replay: end.Answer}
	case stateNotKept:
		return Decision{Refusal: refuseNotKept()}
	default:
		return Decision{Refusal: refuseUnknown()}
	}
}

// newRecord returns a claim's record. Its nonce is not drawn from the seed: two hosts with one seed must not share it.
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

// finishClaim keeps the entry of a granted claim, frees the key of one that may have left a trace, and forgets the rest.
func (m *Manager) finishClaim(e *entry, granted bool) {
	switch {
	case granted:
	case e.mayBeClaimed:
		end := e.claimRecord
		end.State = stateFree
		if !m.enqueue(e, end) {
			m.counters.droppedEnds.Inc()
			m.removeEntry(e)
		}
	default:
		m.removeEntry(e)
	}
}

// removeEntry forgets an entry.
func (m *Manager) removeEntry(e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingBytes -= e.answerBytes()
	delete(m.entries, e.key)
}
