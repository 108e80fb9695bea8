package berylfake

import "sync"

// PlatformCalls counts what was asked of a platform stand-in.
type PlatformCalls struct {
	// Range counts reads.
	Range int `json:"range"`
	// Txn counts transactions.
	Txn int `json:"txn"`
	// Put counts plain writes.
	Put int `json:"put"`
	// Grant counts leases asked for.
	Grant int `json:"grant"`
	// KeepAlive counts lease renewals.
	KeepAlive int `json:"keep-alive"`
	// Revoke counts leases ended.
	Revoke int `json:"revoke"`
	// Watch counts watches opened.
	Watch int `json:"watch"`
	// Bytes counts the bytes of all request bodies.
	Bytes int `json:"bytes"`
}

// Total is the number of all calls.
func (c PlatformCalls) Total() int {
	return c.Range + c.Txn + c.Put + c.Grant + c.KeepAlive + c.Revoke + c.Watch
}

// platformCounts guards the counts.
type platformCounts struct {
	mu    sync.Mutex
	calls PlatformCalls
}

// add counts a call of the named kind with a body of so many bytes.
func (n *platformCounts) add(increment func(*PlatformCalls), bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	increment(&n.calls)
	n.calls.Bytes += bytes
}

// snapshot copies the counts.
func (n *platformCounts) snapshot() PlatformCalls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}
