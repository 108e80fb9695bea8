package berylsched

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// requestImmediately asks owners in turn without waiting there; it returns those to wait at if none grants. An owner that is slow
// to answer does not hold up the ask: the next one is asked beside it, and the first grant wins.
func (a *acquisition) requestImmediately(ctx context.Context, hosts []string) (*berylpermit.Permit, []string) {
	var reached []string
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
				reached = append(reached, r.host)
			}
			if len(reached) == maxImmediateRefusals {
				return nil, onlineQueueOrder(reached, rest)
			}
			if outstanding == 0 {
				requestNext()
			}
		}
	}
	return nil, reached
}

// sendAsync asks an owner once. The ask outlives its caller, so that a host that does not answer is found out.
func (a *acquisition) sendAsync(ctx context.Context, host string, replies chan<- *ownerReply) {
	ctx = context.WithoutCancel(ctx)
	req := a.newRequest(false)
	if host == a.Host {
		replies <- a.sendRequest(ctx, host, req, requestTimeout)
		return
	}
	go func() { replies <- a.sendRequest(ctx, host, req, requestTimeout) }()
}

// onlineQueueOrder lists where to wait: at an owner not asked yet, whose room may be better than it is known to be, and at
// those that have answered; the others follow in case these refuse.
func onlineQueueOrder(reached, rest []string) []string {
	var hosts []string
	if len(rest) > 0 {
		hosts = append(hosts, rest[0])
		rest = rest[1:]
	}
	hosts = append(hosts, reached...)
	hosts = append(hosts, rest...)
	return hosts[:min(len(hosts), maxOwnerRefusals)]
}
