package berylsched

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// requestImmediately sends an online request to the owners in turn, without being queued. If none grants it, it returns
// the owners in whose queues to wait. A slow owner does not delay the request: after nextOwnerDelay it also goes to the
// next owner, and the first grant wins.
//
// A host that has just started has no connections to owners yet, and the fleet may be starting with it: when an owner that is only
// presumed to be up does not answer in that time, this host grants the request itself, as when no owner can be reached. The
// connection is established meanwhile.
func (a *acquisition) requestImmediately(ctx context.Context, hosts []string) (*berylpermit.Permit, []string) {
	var refusedBy []string
	rest := hosts
	replies := make(chan *ownerReply, len(hosts))
	outstanding := 0
	defer func() { a.withdrawOutstanding(replies, outstanding) }()
	requestNext := func() {
		if len(rest) == 0 {
			return
		}
		host := rest[0]
		rest = rest[1:]
		outstanding++
		a.sendAsync(ctx, host, replies)
	}
	nextOwner := time.NewTicker(nextOwnerDelay)
	defer nextOwner.Stop()
	for requestNext(); outstanding > 0; {
		select {
		case <-ctx.Done():
			return nil, nil
		case <-nextOwner.C:
			if t := a.table.Load(); t.members[hosts[0]].Presumed {
				if permit := a.grantWithoutOwner(t); permit != nil {
					return permit, nil
				}
			}
			requestNext()
		case r := <-replies:
			outstanding--
			if r.err == nil && r.reply.Verdict == berylpermit.Granted {
				return a.acceptGrant(r), nil
			}
			if r.err != nil {
				a.counters.ownerRetries.Inc()
			} else {
				a.recordRefusal(r.reply.PredictedWait)
				refusedBy = append(refusedBy, r.host)
			}
			if len(refusedBy) == maxImmediateRefusals {
				return nil, onlineQueueOrder(refusedBy, rest)
			}
			if outstanding == 0 {
				requestNext()
			}
		}
	}
	return nil, refusedBy
}

// sendAsync sends the request to one owner. The send is not cancelled with the caller's context, so that a host that does
// not answer within requestTimeout is marked suspect even if another owner grants first.
func (a *acquisition) sendAsync(ctx context.Context, host string, replies chan<- *ownerReply) {
	ctx = context.WithoutCancel(ctx)
	req := a.newRequest(false)
	if host == a.Host {
		replies <- a.sendRequest(ctx, host, req, requestTimeout)
		return
	}
	go func() { replies <- a.sendRequest(ctx, host, req, requestTimeout) }()
}

// onlineQueueOrder lists the owners in whose queues to wait: first one that was not tried yet, since it may have more
// capacity than was last reported, then those that have answered, then the others in case these refuse.
func onlineQueueOrder(refusedBy, rest []string) []string {
	var hosts []string
	if len(rest) > 0 {
		hosts = append(hosts, rest[0])
		rest = rest[1:]
	}
	hosts = append(hosts, refusedBy...)
	hosts = append(hosts, rest...)
	return hosts[:min(len(hosts), maxOwnerRefusals)]
}
