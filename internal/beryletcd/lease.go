package beryletcd

import (
	"context"
	"math"
	"time"
)

// Grant creates a lease that expires after ttl, rounded up to whole seconds, unless it is kept alive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) Lease {
	id := c.leaseID()
	request := struct {
		TTL int64 `json:"TTL,string"`
		ID  int64 `json:"ID,string"`
	}{TTL: roundUpToSeconds(ttl), ID: id}
	var answer wireLease
	delivery, err := c.call(ctx, callGrant, "/v3/lease/grant", request, &answer)
	lease := leaseOutcome(delivery, err, id, answer)
	c.counters.count(callGrant, lease.Status)
	return lease
}

// KeepAlive renews the lease for its full time to live.
func (c *Client) KeepAlive(ctx context.Context, id int64) Lease {
	request := struct {
		ID int64 `json:"ID,string"`
	}{ID: id}
	var answer wireKeepAlive
	delivery, err := c.call(ctx, callKeepAlive, "/v3/lease/keepalive", request, &answer)
	lease := leaseOutcome(delivery, err, id, answer.Result)
	c.counters.count(callKeepAlive, lease.Status)
	return lease
}

// Revoke ends the lease and removes its records; a lease that has already ended counts as Done.
func (c *Client) Revoke(ctx context.Context, id int64) Lease {
	request := struct {
		ID int64 `json:"ID,string"`
	}{ID: id}
	var answer wireLease
	delivery, err := c.call(ctx, callRevoke, "/v3/lease/revoke", request, &answer)
	if delivery == deliveryRejected && err == ErrLeaseGone {
		delivery = deliveryAnswered
	}
	lease := leaseOutcome(delivery, err, id, wireLease{TTL: 1})
	c.counters.count(callRevoke, lease.Status)
	return lease
}

// leaseOutcome converts the result of a lease call. The gateway answers a keep-alive of a lease that has ended with a
// time to live of zero.
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

// leaseID returns a random positive lease ID. Choosing it here means that it is known even when the answer to the grant
// is lost.
func (c *Client) leaseID() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Int64N(math.MaxInt64) + 1
}

// roundUpToSeconds returns the duration in seconds, rounded up and at least one.
func roundUpToSeconds(d time.Duration) int64 {
	return max(1, int64(math.Ceil(d.Seconds())))
}
