package beryllimit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// HandleLeaseRequest answers the lease request of a host, which may be this one. The parameter peer is the host's name; for
// another host it is the one in its certificate.
func (l *Limiter) HandleLeaseRequest(_ context.Context, peer string, req LeaseRequest) (LeaseGrant, error) {
	configured, known := l.config.Account(req.Caller)
	if !known {
		return LeaseGrant{}, errors.Newf("account %q is not in the configuration", req.Caller)
	}
	req.Host = peer
	if req.Sequence > 0 {
		return l.grantWindowLease(time.Now(), &configured, req)
	}
	if configured.Windowed {
		return LeaseGrant{}, errors.Newf("the lease request for account %q has no sequence", req.Caller)
	}
	bounds := limitsOf(&configured)
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	a := l.accounts[req.Caller]
	if a == nil {
		a = &accountState{}
		l.accounts[req.Caller] = a
	}
	return a.grant(time.Now(), &bounds, req), nil
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
