package berylfake

import "sync"

// PlatformCalls counts the calls to a platform stand-in by kind.
type PlatformCalls struct {
	// Range counts range reads.
	Range int `json:"range"`
	// Txn counts transactions.
	Txn int `json:"txn"`
	// Put counts writes outside transactions.
	Put int `json:"put"`
	// Grant counts lease grants.
	Grant int `json:"grant"`
	// KeepAlive counts lease renewals.
	KeepAlive int `json:"keep-alive"`
	// Revoke counts lease revocations.
	Revoke int `json:"revoke"`
	// Watch counts watches opened.
	Watch int `json:"watch"`
	// Bytes counts the bytes of all request bodies.
	Bytes int `json:"bytes"`
}

// Total returns the number of calls of all kinds.
func (c PlatformCalls) Total() int {
	return c.Range + c.Txn + c.Put + c.Grant + c.KeepAlive + c.Revoke + c.Watch
}

// platformCounts holds the call counters of a stand-in behind a mutex.
type platformCounts struct {
	mu    sync.Mutex
	calls PlatformCalls
}

// add counts a call, whose kind increment selects, and the size of its body.
func (n *platformCounts) add(increment func(*PlatformCalls), bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	increment(&n.calls)
	n.calls.Bytes += bytes
}

// snapshot returns a copy of the counters.
func (n *platformCounts) snapshot() PlatformCalls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}
