package berylsched

import (
	"context"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// waitInQueues joins the queues of queueCount owners, and after nextOwnerDelay of parallelQueues owners; the first grant
// wins. Without a permit the result is true if no queue is left and at least one owner has refused. It is false if ctx
// has ended or the request must start anew, because owners were lost or others may have more capacity by now. A new
// start keeps the deadline, which determines the position in a queue.
func (a *acquisition) waitInQueues(ctx context.Context, t *table, hosts []string, queueCount int) (*berylpermit.Permit, bool) {
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan *ownerReply, len(hosts))
	waiting := make(map[string]context.CancelFunc)
	defer func() {
		cancel()
		a.withdrawOutstanding(replies, len(waiting))
	}()
	joinQueues := func(queueCount int) {
		for len(hosts) > 0 && len(waiting) < queueCount {
			host := hosts[0]
			hosts = hosts[1:]
			queueCtx, leave := context.WithCancel(ctx)
			waiting[host] = leave
			go func() { replies <- a.waitInQueue(queueCtx, host) }()
		}
	}
	requeue := time.NewTimer(requeueInterval)
	defer requeue.Stop()
	joinMore := time.NewTimer(nextOwnerDelay)
	defer joinMore.Stop()
	refused := 0
	for joinQueues(queueCount); len(waiting) > 0; {
		select {
		case <-ctx.Done():
			return nil, false
		case <-joinMore.C:
			queueCount = parallelQueues
			joinQueues(queueCount)
		case <-requeue.C:
			return nil, false
		case <-t.replaced:
			t = a.table.Load()
			a.cancelFormerOwners(t, waiting)
			hosts = a.newOwners(t, waiting)
			joinQueues(queueCount)
		case r := <-replies:
			waiting[r.host]()
			delete(waiting, r.host)
			if r.err == nil && r.reply.Verdict == berylpermit.Granted {
				return a.acceptGrant(r), false
			}
			if r.err == nil {
				a.recordRefusal(r.reply.PredictedWait)
				refused++
				joinQueues(queueCount)
				continue
			}
			a.counters.ownerRetries.Inc()
			joinQueues(queueCount)
		}
	}
	return nil, refused > 0
}

// cancelFormerOwners leaves the queues of hosts that no longer own an upstream of the target.
func (a *acquisition) cancelFormerOwners(t *table, waiting map[string]context.CancelFunc) {
	for host, leave := range waiting {
		owns := slices.ContainsFunc(t.targets[a.req.Target], func(p *placement) bool { return p.owner == host })
		if !owns {
			leave()
		}
	}
}

// newOwners lists the owners by a new table in whose queues the request does not wait yet.
func (a *acquisition) newOwners(t *table, waiting map[string]context.CancelFunc) []string {
	var hosts []string
	owners, _ := a.rankOwners(time.Now(), t, &a.req)
	for _, host := range owners {
		if waiting[host] == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// waitInQueue keeps a request in one owner's queue until it is granted or refused, or the owner fails to answer. It polls
// the owner with the same request ID, which also renews the place in the queue.
func (a *acquisition) waitInQueue(ctx context.Context, host string) *ownerReply {
	req := a.newRequest(true)
	for {
		req.Remaining = time.Until(a.deadline)
		r := a.sendRequest(ctx, host, req, pollTimeout(req.Class)+requestTimeout)
		if r.err != nil || r.reply.Verdict != berylpermit.Queued {
			return r
		}
	}
}

// withdrawOutstanding withdraws the requests in flight as their replies arrive, so that a late grant is given back.
func (a *acquisition) withdrawOutstanding(replies <-chan *ownerReply, outstanding int) {
	if outstanding == 0 {
		return
	}
	go func() {
		for range outstanding {
			if r := <-replies; r.err == nil {
				a.withdraw(r)
			}
		}
	}()
}
