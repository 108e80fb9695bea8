package berylsched

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

const (
	// requestTimeout is how long an owner may take to answer an ask that does not wait.
	requestTimeout = 250 * time.Millisecond
	// nextOwnerDelay is how long an owner may take before the next one is asked beside it.
	nextOwnerDelay = 30 * time.Millisecond
	// maxImmediateRefusals is how many owners are asked before the ask waits at any.
	maxImmediateRefusals = 2
	// maxOwnerRefusals is how many owners may refuse an ask before its caller is refused.
	maxOwnerRefusals = 6
	// parallelQueues is at how many owners one ask waits at once.
	parallelQueues = 2
	// requeueInterval is how long an ask waits at the same owners.
	requeueInterval = 2 * time.Second
	// maxUnownedPermits is how many online permits a host takes for each upstream while it reaches no owner.
	maxUnownedPermits = 1
	// retryInterval is the time between two tries to reach any owner.
	retryInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is told to come back.
	minRetryAfter = time.Second
	// maxRetryJitter is the largest share added to that time, so that callers do not come back together.
	maxRetryJitter = 0.3
	// statusClientClosedRequest is the status of a request whose caller went away; nobody reads it.
	statusClientClosedRequest = 499
)

var _ berylpermit.Broker = (*Scheduler)(nil)

// Acquire waits for a permit until ctx ends or the owners predict that the deadline cannot be met.
func (s *Scheduler) Acquire(ctx context.Context, req berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	start := time.Now()
	permit, refusal := s.acquire(ctx, start, req)
	s.counters.countAcquire(req.Class, permit != nil, time.Since(start))
	return permit, refusal
}

func (s *Scheduler) acquire(ctx context.Context, start time.Time, req berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	t := s.table.Load()
	if len(t.placements) == 0 {
		return nil, notRunRefusal(0)
	}
	if len(t.targets[req.Target]) == 0 {
		return nil, notFoundRefusal(req.Target)
	}
	if req.Remaining <= 0 {
		req.Remaining = t.timeout
	}
	if end, ok := ctx.Deadline(); ok {
		req.Remaining = min(req.Remaining, end.Sub(start))
	}
	if t.routing != berylconf.RoutingOwner {
		return s.acquireWithoutOwner(t, req)
	}
	a := acquisition{Scheduler: s, req: req, deadline: start.Add(req.Remaining)}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	return a.run(ctx)
}

// acquisition is one Acquire on its way through the owners.
type acquisition struct {
	*Scheduler
	req      berylpermit.Request
	deadline time.Time
	// shortestWait is the shortest shortestWait that an owner has predicted, if refused is set.
	shortestWait time.Duration
	refused      bool
	// recentOwners names the owners at which batch work has just recentOwners.
	recentOwners []string
}

// ownerReply is what one owner has said, or that it could not be reached.
type ownerReply struct {
	host  string
	req   *berylpermit.Request
	reply berylpermit.Reply
	err   error
}

var errNotOwner = errors.New("host owns no upstream of the target")

func (a *acquisition) run(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		t := a.table.Load()
		hosts, hasCapacity := a.rankOwners(time.Now(), t, &a.req)
		queueCount := parallelQueues
		var reached []string
		if a.req.Class.Normalized() == berylpermit.Batch {
			reached, queueCount = a.batchQueueOrder(hosts, hasCapacity)
		} else {
			var permit *berylpermit.Permit
			if permit, reached = a.requestImmediately(ctx, hosts); permit != nil {
				return permit, nil
			}
		}
		if ctx.Err() != nil {
			return nil, a.contextRefusal(ctx)
		}
		if a.req.Hedge || !t.canServe(&a.req) {
			return nil, a.refuse()
		}
		if len(reached) > 0 {
			permit, final := a.waitInQueues(ctx, t, reached, queueCount)
			if permit != nil {
				return permit, nil
			}
			if final {
				return nil, a.refuse()
			}
			continue
		}
		if permit := a.grantWithoutOwner(t); permit != nil {
			return permit, nil
		}
		a.waitForRetry(ctx, t)
	}
}

// batchQueueOrder returns where batch work waits, and at how many of these owners from the start. Most of it waits, so no owner is
// asked for a slot apart from the wait. One with room is asked alone at first, or two would grant one. The other place is
// anywhere but where the ask has just waited, or all would wait where one slot was seen.
func (a *acquisition) batchQueueOrder(hosts []string, hasCapacity bool) ([]string, int) {
	var first, others, recent []string
	if hasCapacity {
		first, hosts = hosts[:1], hosts[1:]
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		if slices.Contains(a.recentOwners, host) {
			recent = append(recent, host)
		} else {
			others = append(others, host)
		}
	}
	order := slices.Concat(first, others, recent)
	a.recentOwners = order[:min(len(order), parallelQueues)]
	return order[:min(len(order), maxOwnerRefusals)], max(parallelQueues-len(first), 1)
}

// newRequest returns the ask under a new ID.
func (a *acquisition) newRequest(queue bool) *berylpermit.Request {
	req := a.req
	req.ID = a.nextID()
	req.Queue = queue
	return &req
}

// sendRequest asks one owner once; a refusal for want of ownership counts as not reached.
func (s *Scheduler) sendRequest(ctx context.Context, host string, req *berylpermit.Request, timeout time.Duration) *ownerReply {
	r := &ownerReply{host: host, req: req}
	now := time.Now()
	s.peers.requestSent(now, host)
	sending, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if host == s.Host {
		r.reply, r.err = s.HandlePermitRequest(sending, host, *req)
	} else {
		r.reply, r.err = s.Transport.RequestPermit(sending, host, *req)
	}
	if r.err != nil {
		if ctx.Err() == nil {
			s.peers.timedOut(time.Now(), host)
		}
		s.withdraw(r)
		return r
	}
	s.peers.answered(host)
	s.table.Load().recordLoads(time.Now(), r.reply.Loads)
	if r.reply.Verdict == berylpermit.NotOwner || r.reply.ID != req.ID {
		r.err = errNotOwner
	}
	return r
}

func (s *Scheduler) withdraw(r *ownerReply) {
	s.outbox.send(r.host, message{withdraw: &berylpermit.Withdraw{ID: r.req.ID}})
}

func (a *acquisition) acceptGrant(r *ownerReply) *berylpermit.Permit {
	if p := a.table.Load().placements[r.reply.Upstream]; p != nil {
		p.countOwnGrant(r.req.Class)
	}
	return a.addHeld(r.req, r.reply.Upstream, r.host)
}

func (a *acquisition) recordRefusal(wait time.Duration) {
	if !a.refused || wait < a.shortestWait {
		a.shortestWait = wait
	}
	a.refused = true
}

// grantWithoutOwner lets online work go on at a small rate while no owner can be reached.
func (a *acquisition) grantWithoutOwner(t *table) *berylpermit.Permit {
	if a.req.Class == berylpermit.Batch {
		return nil
	}
	placements := t.targets[a.req.Target]
	first := rand.IntN(len(placements) + 1)
	for i := range placements {
		p := placements[(first+i)%len(placements)]
		if !isEligible(p, &a.req) || p.view.ownPermits.Load() >= maxUnownedPermits {
			continue
		}
		req := a.newRequest(false)
		a.counters.unownedPermits.Inc()
		return a.addHeld(req, p.upstream, "")
	}
	return nil
}

func avoids(req *berylpermit.Request, upstream string) bool {
	return len(req.Avoid) > 0 && slices.Contains(req.Avoid, upstream)
}

// waitForRetry waits a moment, or until the table changes.
func (a *acquisition) waitForRetry(ctx context.Context, t *table) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.replaced:
	}
}

func (a *acquisition) refuse() *beryloutcome.Refusal {
	return notRunRefusal(a.shortestWait)
}

func (a *acquisition) contextRefusal(ctx context.Context) *beryloutcome.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &beryloutcome.Refusal{
			Status:  statusClientClosedRequest,
			Code:    beryloutcome.CodeCancelled,
			Message: "the request was cancelled before it ran",
		}
	}
	return notRunRefusal(a.shortestWait)
}

func notRunRefusal(wait time.Duration) *beryloutcome.Refusal {
	wait = max(wait, minRetryAfter)
	wait += time.Duration(rand.Float64() * maxRetryJitter * float64(wait))
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "no upstream can run the request within its deadline; it was not run: retry later or with a longer deadline",
		RetryAfter: wait,
	}
}

func notFoundRefusal(target string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusNotFound,
		Code:    beryloutcome.CodeNotFound,
		Message: "no upstream serves " + target + ": check the name against the list of models and services",
		Param:   "model",
	}
}
