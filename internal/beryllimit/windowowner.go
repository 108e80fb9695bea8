package beryllimit

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// unknownListed is the number of listed hosts that is assumed while the list is not known.
	unknownListed = 100
	// groupKeyPrefix is the prefix of the keys by which rendezvous hashing chooses the owners of the groups of accounts.
	groupKeyPrefix = "limit-owners/"
)

var errNotOwner = errors.New("this host does not own the account")

// GroupKey returns the key by which the owner of a group of accounts is chosen.
func GroupKey(group int) string {
	return fmt.Sprint(groupKeyPrefix, group)
}

// ownership is what a host knows of the groups of accounts that it owns, with the ledgers of their accounts.
type ownership struct {
	owners []string
	// since is when this host began to own each of its groups.
	since     []time.Time
	ledgers   map[string]*ledger
	checkedAt time.Time
	// part is the part of the limits that this host grants, see ownerPart.
	part float64
}

// update notes the current owners of the groups. Ledgers of groups that this host did not own without a break are dropped, as
// are all after a pause of this process or a change of the number of groups.
func (o *ownership) update(now time.Time, self string, owners []string) {
	paused := now.Sub(o.checkedAt) > ownerPause
	o.checkedAt = now
	if !paused && len(owners) > 0 && len(owners) == len(o.owners) && &owners[0] == &o.owners[0] {
		return
	}
	if paused || len(owners) != len(o.owners) {
		o.owners, o.since = make([]string, len(owners)), make([]time.Time, len(owners))
		o.ledgers = make(map[string]*ledger)
	}
	changed := false
	for g, owner := range owners {
		if owner != o.owners[g] {
			o.since[g] = now
			changed = true
		}
	}
	if changed {
		for name := range o.ledgers {
			if g := groupOf(name, len(owners)); owners[g] != o.owners[g] || owners[g] != self {
				delete(o.ledgers, name)
			}
		}
	}
	o.owners = owners
}

func groupOf(account string, groups int) int {
	return int(xxhash.Sum64String(account) % uint64(groups))
}

// requestWindowLease sends a lease request to the account's owner, or answers it here if this host is the owner.
func (l *Limiter) requestWindowLease(ctx context.Context, account string, req LeaseRequest) (string, LeaseGrant, error) {
	req.Caller = account
	owners := l.config.Owners()
	if len(owners) == 0 {
		return "", LeaseGrant{}, errors.New("no host owns the account")
	}
	owner := owners[groupOf(account, len(owners))]
	if owner == l.config.Self {
		grant, err := l.HandleLeaseRequest(ctx, owner, req)
		return owner, grant, err
	}
	grant, err := l.config.RequestLease(ctx, owner, req)
	return owner, grant, err
}

// grantWindowLease answers a lease request for a windowed account that this host owns.
func (l *Limiter) grantWindowLease(now time.Time, account *Account, req LeaseRequest) (LeaseGrant, error) {
	if account.RequestsPerSecond <= 0 {
		return LeaseGrant{}, errors.Newf("account %q has no limit", account.Name)
	}
	owners, part := l.config.Owners(), ownerPart(len(l.config.LiveHosts()), l.listed())
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.ownership.update(now, l.config.Self, owners)
	l.updatePart(now, part)
	if len(owners) == 0 || owners[groupOf(account.Name, len(owners))] != l.config.Self {
		return LeaseGrant{}, errNotOwner
	}
	since := l.ownership.since[groupOf(account.Name, len(owners))]
	bounds := windowLimitOf(account).scale(part)
	g := l.ownership.ledgers[account.Name]
	if g == nil {
		g = newLedger(now, since, bounds)
		l.ownership.ledgers[account.Name] = g
	}
	return g.lease(now, bounds, req), nil
}

// updatePart notes which part of the limits this host grants. A smaller part caps all buckets at once, since another owner
// grants from now on. With a larger part, accounts without a ledger are as new: the other owner may have granted their burst.
// The caller holds ownerMu.
func (l *Limiter) updatePart(now time.Time, part float64) {
	o := &l.ownership
	if part == o.part {
		return
	}
	if part > o.part {
		for g := range o.since {
			o.since[g] = now
		}
	}
	o.part = part
	for name, g := range o.ledgers {
		if account, known := l.config.Account(name); known && account.RequestsPerSecond > 0 {
			g.refill(now, windowLimitOf(&account).scale(part))
		}
	}
}

// checkOwnership notes changes of the owners and of the granted part also while no lease request comes.
func (l *Limiter) checkOwnership(now time.Time) {
	owners, part := l.config.Owners(), ownerPart(len(l.config.LiveHosts()), l.listed())
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.ownership.update(now, l.config.Self, owners)
	l.updatePart(now, part)
}
