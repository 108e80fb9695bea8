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
	// requestTimeout bounds how long an owner may take to answer a request that is not to be queued.
	requestTimeout = 250 * time.Millisecond
	// nextOwnerDelay is how long an owner may take to answer before the request goes to the next owner as well.
	nextOwnerDelay = 30 * time.Millisecond
	// maxImmediateRefusals is the number of immediate refusals after which a request is queued.
	maxImmediateRefusals = 2
	// maxOwnerRefusals is how many owners may refuse to queue a request before its caller is refused.
	maxOwnerRefusals = 6
	// parallelQueues is the number of owners in whose queues one request waits at the same time.
	parallelQueues = 2
	// requeueInterval is how long a request waits at the same owners before all owners are ranked anew.
	requeueInterval = 2 * time.Second
	// maxUnownedPermits is how many permits for online requests a host grants itself for each upstream while it can reach
	// no owner.
	maxUnownedPermits = 1
	// retryInterval is the pause between two attempts to reach any owner.
	retryInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = time.Second
	// maxRetryJitter is the largest share by which Retry-After is randomly lengthened, so that callers do not all retry
	// at the same moment.
	maxRetryJitter = 0.3
	// statusClientClosedRequest is the status of a request whose caller has disconnected, so the caller never sees it.
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

// acquisition is the state of one call to Acquire.
type acquisition struct {
	*Scheduler
	req      berylpermit.Request
	deadline time.Time
	// shortestWait is the shortest wait that a refusing owner has predicted; it is valid if refused is set.
	shortestWait time.Duration
	refused      bool
	// recentOwners are the owners in whose queues a batch request has waited last.
	recentOwners []string
}

// ownerReply is the reply of one owner, or the error if it could not be reached or owns no upstream of the target.
type ownerReply struct {
	host  string
	req   *berylpermit.Request
	reply berylpermit.Reply
	err   error
}

var errNotOwner = errors.New("host does not own an upstream of the target")

// run tries owners until one grants a permit, the request is refused or ctx ends. An online request is first sent to
// owners for an immediate answer and then queued; a batch request is queued from the start. While no owner can be
// reached, run grants a few permits for online requests itself and retries.
func (a *acquisition) run(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		t := a.table.Load()
		hosts, hasCapacity := a.rankOwners(time.Now(), t, &a.req)
		queueCount := parallelQueues
		var queueHosts []string
		if a.req.Class.Normalized() == berylpermit.Batch {
			queueHosts, queueCount = a.batchQueueOrder(hosts, hasCapacity)
		} else {
			var permit *berylpermit.Permit
			if permit, queueHosts = a.requestImmediately(ctx, hosts); permit != nil {
				return permit, nil
			}
		}
		if ctx.Err() != nil {
			return nil, a.contextRefusal(ctx)
		}
		if a.req.Hedge || !t.canServe(&a.req) {
			return nil, a.refuse()
		}
		if len(queueHosts) > 0 {
			permit, final := a.waitInQueues(ctx, t, queueHosts, queueCount)
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

// batchQueueOrder returns the owners in whose queues a batch request waits, and how many of these it joins from the
// start. Most batch requests have to wait, so they are not tried for an immediate grant first. If the best owner seems
// to have capacity, the request joins only its queue at first, since two owners might both grant a slot. The other
// owners are in random order, those of the last round at the end; otherwise all batch requests would wait at the owner
// where one free slot was reported.
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

// newRequest returns a copy of the request with a new ID.
func (a *acquisition) newRequest(queue bool) *berylpermit.Request {
	req := a.req
	req.ID = a.nextID()
	req.Queue = queue
	return &req
}

// sendRequest sends a request to one owner and waits for the reply. A reply from a host that is not an owner counts as an
// error, like a host that can't be reached. After a transport error the request is withdrawn, as it may have been granted.
func (s *Scheduler) sendRequest(ctx context.Context, host string, req *berylpermit.Request, timeout time.Duration) *ownerReply {
	r := &ownerReply{host: host, req: req}
	now := time.Now()
	s.peers.requestSent(now, host)
	sendCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if host == s.Host {
		r.reply, r.err = s.HandlePermitRequest(sendCtx, host, *req)
	} else {
		r.reply, r.err = s.Transport.RequestPermit(sendCtx, host, *req)
	}
	if r.err != nil {
		if ctx.Err() == nil {
			s.peers.requestFailed(time.Now(), host)
		}
		s.withdraw(r)
		return r
	}
	s.peers.answered(host)
	s.RecordLoads(r.reply.Loads)
	if r.reply.Verdict == berylpermit.NotOwner || r.reply.ID != req.ID {
		r.err = errNotOwner
	}
	return r
}

// withdraw tells the owner that the request is no longer wanted, which also releases a permit granted for it.
func (s *Scheduler) withdraw(r *ownerReply) {
	s.outbox.send(r.host, message{withdraw: &berylpermit.Withdraw{ID: r.req.ID}})
}

// acceptGrant records a grant as a held permit and in the known load of the upstream.
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

// grantWithoutOwner grants an online request one of the few permits that a host may give itself while it can reach no
// owner. Batch requests get none.
func (a *acquisition) grantWithoutOwner(t *table) *berylpermit.Permit {
	if a.req.Class == berylpermit.Batch {
		return nil
	}
	placements := t.targets[a.req.Target]
	first := rand.IntN(len(placements) + 1)
	for i := range placements {
		p := placements[(first+i)%len(placements)]
		if !isEligible(p, &a.req) || p.view.ownPermits.Load() >= maxUnownedPermits || !p.view.statement.mayGrantUnowned(time.Now(), len(t.members)) {
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

// waitForRetry waits for retryInterval, or until the table changes or ctx ends.
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

// contextRefusal returns the refusal for an ended context: cancelled by the caller, or past its deadline.
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

// notRunRefusal returns a refusal whose Retry-After is the predicted wait with jitter, at least minRetryAfter.
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
