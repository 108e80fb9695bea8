package beryletcd

import (
	"context"
	"math"
	"time"
)

// Grant makes a lease that lives for ttl, rounded up to seconds, unless kept alive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) Lease {
	id := c.leaseID()
	ask := struct {
		TTL int64 `json:"TTL,string"`
		ID  int64 `json:"ID,string"`
	}{TTL: roundUpToSeconds(ttl), ID: id}
	var answer wireLease
	delivery, err := c.call(ctx, callGrant, "/v3/lease/grant", ask, &answer)
	lease := leaseOutcome(delivery, err, id, answer)
	c.counters.count(callGrant, lease.Status)
	return lease
}

// KeepAlive starts the lease's time to live anew.
func (c *Client) KeepAlive(ctx context.Context, id int64) Lease {
	ask := struct {
		ID int64 `json:"ID,string"`
	}{ID: id}
	var answer wireKeepAlive
	delivery, err := c.call(ctx, callKeepAlive, "/v3/lease/keepalive", ask, &answer)
	lease := leaseOutcome(delivery, err, id, answer.Result)
	c.counters.count(callKeepAlive, lease.Status)
	return lease
}

// Revoke ends the lease and removes its records; a lease that is gone already counts as Done.
func (c *Client) Revoke(ctx context.Context, id int64) Lease {
	ask := struct {
		ID int64 `json:"ID,string"`
	}{ID: id}
	var answer wireLease
	delivery, err := c.call(ctx, callRevoke, "/v3/lease/revoke", ask, &answer)
	if delivery == deliveryRejected && err == ErrLeaseGone {
		delivery = deliveryAnswered
	}
	lease := leaseOutcome(delivery, err, id, wireLease{TTL: 1})
	c.counters.count(callRevoke, lease.Status)
	return lease
}

// leaseOutcome turns what is known about a lease call into its end; the gateway answers a keep-alive of a lease that is
// gone with a zero time to live.
func leaseOutcome(delivery delivery, err error, id int64, answer wireLease) Lease {
	switch {
	case delivery == deliveryUnsent || delivery == deliveryRejected:
		return Lease{Status: Unavailable, ID: id, Err: err}
	case delivery == deliveryUnknown:
		return Lease{Status: Unknown, ID: id, Err: err}
	case answer.TTL <= 0:
		return Lease{Status: Unavailable, ID: id, Err: ErrLeaseGone}
	default:
		return Lease{Status: Done, ID: id, TTL: time.Duration(answer.TTL) * time.Second}
	}
}

// leaseID returns a positive name that no other lease is likely to have.
func (c *Client) leaseID() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Int64N(math.MaxInt64) + 1
}

// roundUpToSeconds rounds up to whole seconds, at least one.
func roundUpToSeconds(d time.Duration) int64 {
	return max(1, int64(math.Ceil(d.Seconds())))
}
