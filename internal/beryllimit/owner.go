package beryllimit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
)

// HandleLeaseRequest answers the lease request of a host, which may be this one. The parameter peer is the host's name; for
// another host it is the one in its certificate.
func (l *Limiter) HandleLeaseRequest(_ context.Context, peer string, req LeaseRequest) (LeaseGrant, error) {
	caller := l.findCaller(req.Caller)
	if caller == nil {
		return LeaseGrant{}, errors.Newf("caller %q is not in the inventory", req.Caller)
	}
	req.Host = peer
	bounds := limitsOf(caller)
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	a := l.accounts[caller.Name]
	if a == nil {
		a = &account{}
		l.accounts[caller.Name] = a
	}
	return a.grant(time.Now(), &bounds, req), nil
}

// callerIndex maps names to the client accounts of one configuration document.
type callerIndex struct {
	document *berylconf.Document
	byName   map[string]*berylconf.Caller
}

// findCaller returns the account of that name in the current configuration, or nil. It rebuilds the index when the
// document has changed.
func (l *Limiter) findCaller(name string) *berylconf.Caller {
	document := l.config.Document()
	if document == nil {
		return nil
	}
	index := l.callers.Load()
	if index == nil || index.document != document {
		index = newCallerIndex(document)
		l.callers.Store(index)
	}
	return index.byName[name]
}

func newCallerIndex(document *berylconf.Document) *callerIndex {
	index := &callerIndex{document: document, byName: make(map[string]*berylconf.Caller)}
	for i := range document.Inventory.Callers {
		caller := &document.Inventory.Callers[i]
		index.byName[caller.Name] = caller
	}
	return index
}

// Owner returns the host that owns the account's limits by rendezvous hashing, or "" when there is no host.
func Owner(caller string, hosts []string) string {
	var owner string
	var highest uint64
	for _, host := range hosts {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(host)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(caller)
		if weight := d.Sum64(); owner == "" || weight > highest {
			owner = host
			highest = weight
		}
	}
	return owner
}
