package berylonce

import (
	"context"
	"slices"
	"time"
)

const (
	// minRetryInterval is the shortest pause between attempts to write the queued records.
	minRetryInterval = 200 * time.Millisecond
	// maxRetryInterval is the longest such pause before jitter.
	maxRetryInterval = 5 * time.Second
	// writeTimeout bounds one attempt to write a record from the queue.
	writeTimeout = 5 * time.Second
	// leaseCheckInterval is how often Run checks whether the next lease must be granted.
	leaseCheckInterval = time.Minute
)

// enqueue queues a final record in memory until Run has written it; it returns false when the queue is full.
func (m *Manager) enqueue(e *entry, final record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.finalRecord = &final
	size := e.answerBytes()
	if len(m.queue)+m.writing >= m.config.MaxPending || m.pendingBytes+size > m.config.MaxPendingBytes {
		e.finalRecord = nil
		return false
	}
	e.phase = phaseQueued
	m.pendingBytes += size
	m.queue = append(m.queue, e.key)
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return true
}

// Pending returns the number of final records that are not written yet.
func (m *Manager) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue) + m.writing
}

// Run writes the queued final records and grants leases ahead of need until the context ends. It backs off while the
// service does not take the writes.
func (m *Manager) Run(ctx context.Context) {
	pause := minRetryInterval
	for ctx.Err() == nil {
		m.leases.grantAhead(ctx)
		wait := leaseCheckInterval
		if m.writeQueue(ctx) {
			pause = minRetryInterval
		} else {
			wait = pause + time.Duration(m.jitter()*float64(pause))
			pause = min(2*pause, maxRetryInterval)
		}
		m.wait(ctx, wait, m.Pending() == 0)
	}
}

// Flush retries to write the queued records until all are written or the context ends, and returns the number of those
// left.
func (m *Manager) Flush(ctx context.Context) int {
	for ctx.Err() == nil && !m.writeQueue(ctx) {
		m.wait(ctx, minRetryInterval, false)
	}
	return m.Pending()
}

// wait waits for the given time; it returns early when the context ends or, if wakeOnEnqueue is set, when a record is
// queued.
func (m *Manager) wait(ctx context.Context, wait time.Duration, wakeOnEnqueue bool) {
	wake := m.wake
	if !wakeOnEnqueue {
		wake = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// writeQueue writes the queued records in order, stops at the first that can't be written, and reports whether none is
// left.
func (m *Manager) writeQueue(ctx context.Context) bool {
	for {
		e := m.dequeue()
		if e == nil {
			return m.Pending() == 0
		}
		if !m.writeQueued(ctx, e, writeTimeout) {
			return false
		}
	}
}

// writePendingRecord tries to write the queued record of a repeatable request before a repeat of that request is
// decided. The repeat is then answered from memory only if the service can't be reached: another host that considered
// this one dead may have recorded another run.
func (m *Manager) writePendingRecord(ctx context.Context, key string) {
	m.mu.Lock()
	e := m.entries[key]
	if e == nil || e.phase != phaseQueued || e.claimRecord.NeverRepeat || e.finalRecord.State == stateFree {
		m.mu.Unlock()
		return
	}
	m.dequeueLocked(e)
	m.mu.Unlock()
	m.writeQueued(ctx, e, finishTimeout)
}

// writeQueued tries to write a record that was taken off the queue, and puts it back if that fails.
func (m *Manager) writeQueued(ctx context.Context, e *entry, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	written, _ := m.writeFinalRecord(ctx, e, *e.finalRecord)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writing--
	if !written {
		e.phase = phaseQueued
		m.queue = append(m.queue, e.key)
		return false
	}
	m.pendingBytes -= e.answerBytes()
	delete(m.entries, e.key)
	return true
}

// dequeue takes the first entry off the queue, or returns nil when the queue is empty.
func (m *Manager) dequeue() *entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return nil
	}
	e := m.entries[m.queue[0]]
	m.dequeueLocked(e)
	return e
}

// dequeueLocked takes an entry off the queue and marks it as being written; the caller holds the lock.
func (m *Manager) dequeueLocked(e *entry) {
	e.phase = phaseWriting
	m.writing++
	m.removeFromQueueLocked(e)
}

// removeFromQueueLocked removes an entry from the queue; the caller holds the lock.
func (m *Manager) removeFromQueueLocked(e *entry) {
	m.queue = slices.DeleteFunc(m.queue, func(key string) bool { return key == e.key })
}

// jitter returns a number in [0, 1).
func (m *Manager) jitter() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}
