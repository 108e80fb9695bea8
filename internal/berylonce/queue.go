package berylonce

import (
	"context"
	"slices"
	"time"
)

const (
	// retryLeast is the shortest pause between tries to write the ends in the queue.
	retryLeast = 200 * time.Millisecond
	// retryMost is the longest such pause, jitter apart.
	retryMost = 5 * time.Second
	// writeWait bounds one try to write an end from the queue.
	writeWait = 5 * time.Second
	// leaseCheck is how often the lease is looked at.
	leaseCheck = time.Minute
)

// enqueue keeps the end of a run in memory until Run has written it; it fails when the queue is full.
func (m *Manager) enqueue(e *entry, end record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.end = &end
	size := e.bytes()
	if len(m.queue)+m.writing >= m.config.MaxPending || m.pendingBytes+size > m.config.MaxPendingBytes {
		e.end = nil
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

// Pending is the number of ends of runs that are not written yet.
func (m *Manager) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue) + m.writing
}

// Run writes the ends that could not be written at once and grants leases ahead of need, until the context ends.
func (m *Manager) Run(ctx context.Context) {
	pause := retryLeast
	for ctx.Err() == nil {
		m.leases.renewAhead(ctx)
		wait := leaseCheck
		if m.writeQueue(ctx) {
			pause = retryLeast
		} else {
			wait = pause + time.Duration(m.jitter()*float64(pause))
			pause = min(2*pause, retryMost)
		}
		m.sleep(ctx, wait, m.Pending() == 0)
	}
}

// Flush tries to write all ends that wait until the context ends, and returns the number of those left.
func (m *Manager) Flush(ctx context.Context) int {
	for ctx.Err() == nil && !m.writeQueue(ctx) {
		m.sleep(ctx, retryLeast, false)
	}
	return m.Pending()
}

// sleep waits, or less when the context ends or, where wakeful, an end is queued.
func (m *Manager) sleep(ctx context.Context, wait time.Duration, wakeful bool) {
	wake := m.wake
	if !wakeful {
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

// writeQueue tries the ends in the queue in turn up to the first that can't be written, and reports whether none is left.
func (m *Manager) writeQueue(ctx context.Context) bool {
	for {
		e := m.next()
		if e == nil {
			return m.Pending() == 0
		}
		if !m.writeQueued(ctx, e, writeWait) {
			return false
		}
	}
}

// refresh writes the queued end of a repeatable run, so that a repeat is answered from memory only while the record
// can't be had: another host that took this one for gone may have recorded another run.
func (m *Manager) refresh(ctx context.Context, key string) {
	m.mu.Lock()
	e := m.entries[key]
	if e == nil || e.phase != phaseQueued || e.mine.Never || e.end.State == stateFree {
		m.mu.Unlock()
		return
	}
	m.takeLocked(e)
	m.mu.Unlock()
	m.writeQueued(ctx, e, finishWait)
}

// writeQueued tries to write an end that was taken off the queue, and puts it back where that fails.
func (m *Manager) writeQueued(ctx context.Context, e *entry, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	written, _ := m.writeEnd(ctx, e, *e.end)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writing--
	if !written {
		e.phase = phaseQueued
		m.queue = append(m.queue, e.key)
		return false
	}
	m.pendingBytes -= e.bytes()
	delete(m.entries, e.key)
	return true
}

// next takes the first entry off the queue.
func (m *Manager) next() *entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return nil
	}
	e := m.entries[m.queue[0]]
	m.takeLocked(e)
	return e
}

// takeLocked takes an entry off the queue to write it; the lock is held.
func (m *Manager) takeLocked(e *entry) {
	e.phase = phaseWriting
	m.writing++
	m.unqueueLocked(e)
}

// unqueueLocked takes an entry off the queue; the lock is held.
func (m *Manager) unqueueLocked(e *entry) {
	m.queue = slices.DeleteFunc(m.queue, func(key string) bool { return key == e.key })
}

// jitter returns a number in [0, 1).
func (m *Manager) jitter() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}
