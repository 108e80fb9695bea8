package berylonce

import (
	"crypto/rand"
	"strings"
)

// phase is where an entry stands on this host.
type phase uint8

const (
	// phaseBusy means that the key is being claimed or run.
	phaseBusy phase = iota
	// phaseQueued means that the end is known and waits to be written.
	phaseQueued
	// phaseWriting means that the end is being written from the queue.
	phaseWriting
)

// entry is what this host knows of a key that it claims, runs or has still to write the end of.
type entry struct {
	key   string
	phase phase
	// mine is the claim's record.
	mine record
	// revision is the record's revision in the service as far as known; the next write expects it.
	revision int64
	lease    int64
	// claimed is set once a write of the claim may have taken effect, so that the key must be freed if it is not run.
	claimed bool
	// end is the record to write at the end of the run, once there is one.
	end *record
}

// bytes is the size of the answer that the entry keeps in memory.
func (e *entry) bytes() int {
	if e.end == nil || e.end.Answer == nil {
		return 0
	}
	return len(e.end.Answer.Body)
}

// enter returns a new entry for the intent's key, or what this host's own entry says about the request.
func (m *Manager) enter(key string, intent Intent) (*entry, Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	if e == nil {
		e = &entry{key: key, mine: m.newRecord(intent)}
		m.entries[key] = e
		return e, Decision{}
	}
	if e.mine.Hash != intent.BodyHash {
		return nil, Decision{Refusal: refuseKeyReused()}
	}
	if e.end == nil {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.phase == phaseWriting && (e.end.State == stateFree || !e.mine.Never) {
		return nil, Decision{Refusal: refuseInProgress()}
	}
	if e.end.State != stateFree {
		return nil, endDecision(*e.end)
	}
	e.phase, e.end = phaseBusy, nil
	m.unqueueLocked(e)
	e.mine.Never = e.mine.Never || intent.NeverRepeat
	return e, Decision{}
}

// endDecision answers a repeat of a request whose end is known.
func endDecision(end record) Decision {
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
		State:  stateRunning,
		Never:  intent.NeverRepeat,
		Caller: strings.Clone(intent.Caller),
		Key:    strings.Clone(intent.Key),
		Hash:   intent.BodyHash,
		Host:   m.config.Host,
		Boot:   m.config.Boot,
	}
	_, _ = rand.Read(r.Nonce[:])
	return r
}

// afterClaim keeps the entry of a granted claim, frees the key of one that may have left a trace, and forgets the rest.
func (m *Manager) afterClaim(e *entry, granted bool) {
	switch {
	case granted:
	case e.claimed:
		end := e.mine
		end.State = stateFree
		if !m.enqueue(e, end) {
			m.counters.dropped.Inc()
			m.leave(e)
		}
	default:
		m.leave(e)
	}
}

// leave forgets an entry.
func (m *Manager) leave(e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingBytes -= e.bytes()
	delete(m.entries, e.key)
}
