package berylonce

import (
	"context"
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
	if len(m.queue) >= m.config.MaxPending || m.pendingBytes+size > m.config.MaxPendingBytes {
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
	return len(m.queue)
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
		e, more := m.next()
		if e == nil {
			return !more
		}
		written := m.writeNext(ctx, e)
		m.putBack(e, written)
		if !written {
			return false
		}
	}
}

// writeNext tries to write one end.
func (m *Manager) writeNext(ctx context.Context, e *entry) bool {
	ctx, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	written, _ := m.writeEnd(ctx, e, *e.end)
	return written
}

// next takes the first entry of the queue and leaves it at the head; more reports whether it is being written already.
func (m *Manager) next() (e *entry, more bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return nil, false
	}
	e = m.entries[m.queue[0]]
	if e.phase == phaseWriting {
		return nil, true
	}
	e.phase = phaseWriting
	return e, false
}

// putBack takes the entry at the head of the queue off it, or moves it to the end where it is not written.
func (m *Manager) putBack(e *entry, written bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = m.queue[1:]
	if !written {
		e.phase = phaseQueued
		m.queue = append(m.queue, e.key)
		return
	}
	m.pendingBytes -= e.bytes()
	delete(m.entries, e.key)
}

// jitter returns a number in [0, 1).
func (m *Manager) jitter() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64()
}
