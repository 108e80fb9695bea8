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
	// askTimeout is how long an owner may take to answer an ask that does not wait.
	askTimeout = 250 * time.Millisecond
	// askPatience is how long an owner may take before the next one is asked beside it.
	askPatience = 30 * time.Millisecond
	// firstTries is how many owners are asked before the ask waits at any.
	firstTries = 2
	// maxOwners is how many owners may refuse an ask before its caller is refused.
	maxOwners = 6
	// waitingPlaces is at how many owners one ask waits at once.
	waitingPlaces = 2
	// waitingTime is how long an ask waits at the same owners.
	waitingTime = 2 * time.Second
	// localAllowance is how many online permits a host takes for each upstream while it reaches no owner.
	localAllowance = 1
	// reaskPause is the time between two tries to reach any owner.
	reaskPause = 100 * time.Millisecond
	// leastRetry is the shortest time after which a refused caller is told to come back.
	leastRetry = time.Second
	// retryJitter is the largest share added to that time, so that callers do not come back together.
	retryJitter = 0.3
	// statusCancelled is the status of a request whose caller went away; nobody reads it.
	statusCancelled = 499
)

var _ berylpermit.Broker = (*Scheduler)(nil)

// Acquire waits for a permit until ctx ends or the owners predict that the deadline cannot be met.
func (s *Scheduler) Acquire(ctx context.Context, ask berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	start := time.Now()
	permit, refusal := s.acquire(ctx, start, ask)
	s.counts.acquire(ask.Class, permit != nil, time.Since(start))
	return permit, refusal
}

func (s *Scheduler) acquire(ctx context.Context, start time.Time, ask berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	t := s.table.Load()
	if len(t.places) == 0 {
		return nil, notRun(0)
	}
	if len(t.targets[ask.Target]) == 0 {
		return nil, notFound(ask.Target)
	}
	if ask.Remaining <= 0 {
		ask.Remaining = t.timeout
	}
	if end, ok := ctx.Deadline(); ok {
		ask.Remaining = min(ask.Remaining, end.Sub(start))
	}
	if t.routing != berylconf.RoutingOwner {
		return s.acquireAlone(t, ask)
	}
	a := acquisition{Scheduler: s, ask: ask, deadline: start.Add(ask.Remaining)}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	return a.run(ctx)
}

// acquisition is one Acquire on its way through the owners.
type acquisition struct {
	*Scheduler
	ask      berylpermit.Request
	deadline time.Time
	// wait is the shortest wait that an owner has predicted, if refused is set.
	wait    time.Duration
	refused bool
	// waited names the owners at which batch work has just waited.
	waited []string
}

// verdict is what one owner has said, or that it could not be reached.
type verdict struct {
	host  string
	ask   *berylpermit.Request
	reply berylpermit.Reply
	err   error
}

var errNotOwner = errors.New("host owns no upstream of the target")

func (a *acquisition) run(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	for {
		t := a.table.Load()
		hosts, room := a.route(time.Now(), t, &a.ask)
		places := waitingPlaces
		var reached []string
		if a.ask.Class.Normalized() == berylpermit.Batch {
			reached, places = a.spread(hosts, room)
		} else {
			var permit *berylpermit.Permit
			if permit, reached = a.tryFirst(ctx, hosts); permit != nil {
				return permit, nil
			}
		}
		if ctx.Err() != nil {
			return nil, a.ended(ctx)
		}
		if a.ask.Hedge || !t.mayServe(&a.ask) {
			return nil, a.refuse()
		}
		if len(reached) > 0 {
			permit, final := a.queue(ctx, t, reached, places)
			if permit != nil {
				return permit, nil
			}
			if final {
				return nil, a.refuse()
			}
			continue
		}
		if permit := a.takeUnowned(t); permit != nil {
			return permit, nil
		}
		a.pause(ctx, t)
	}
}

// spread returns where batch work waits, and at how many of these owners from the start. Most of it waits, so no owner is
// asked for a slot apart from the wait. One with room is asked alone at first, or two would grant one. The other place is
// anywhere but where the ask has just waited, or all would wait where one slot was seen.
func (a *acquisition) spread(hosts []string, room bool) ([]string, int) {
	var first, others, again []string
	if room {
		first, hosts = hosts[:1], hosts[1:]
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		if slices.Contains(a.waited, host) {
			again = append(again, host)
		} else {
			others = append(others, host)
		}
	}
	order := slices.Concat(first, others, again)
	a.waited = order[:min(len(order), waitingPlaces)]
	return order[:min(len(order), maxOwners)], max(waitingPlaces-len(first), 1)
}

// next returns the ask under a new ID.
func (a *acquisition) next(queue bool) *berylpermit.Request {
	ask := a.ask
	ask.ID = a.nextID()
	ask.Queue = queue
	return &ask
}

// send asks one owner once; a refusal for want of ownership counts as not reached.
func (s *Scheduler) send(ctx context.Context, host string, ask *berylpermit.Request, timeout time.Duration) *verdict {
	v := &verdict{host: host, ask: ask}
	now := time.Now()
	s.peers.asking(now, host)
	sending, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if host == s.Host {
		v.reply, v.err = s.HandlePermitRequest(sending, host, *ask)
	} else {
		v.reply, v.err = s.Transport.RequestPermit(sending, host, *ask)
	}
	if v.err != nil {
		if ctx.Err() == nil {
			s.peers.silent(time.Now(), host)
		}
		s.withdraw(v)
		return v
	}
	s.peers.answered(host)
	s.table.Load().note(time.Now(), v.reply.Loads)
	if v.reply.Verdict == berylpermit.NotOwner || v.reply.ID != ask.ID {
		v.err = errNotOwner
	}
	return v
}

func (s *Scheduler) withdraw(v *verdict) {
	s.outbox.send(v.host, parcel{withdraw: &berylpermit.Withdraw{ID: v.ask.ID}})
}

func (a *acquisition) granted(v *verdict) *berylpermit.Permit {
	if p := a.table.Load().places[v.reply.Upstream]; p != nil {
		p.bump(v.ask.Class)
	}
	return a.hold(v.ask, v.reply.Upstream, v.host)
}

func (a *acquisition) noteRefusal(wait time.Duration) {
	if !a.refused || wait < a.wait {
		a.wait = wait
	}
	a.refused = true
}

// takeUnowned lets online work go on at a small rate while no owner can be reached.
func (a *acquisition) takeUnowned(t *table) *berylpermit.Permit {
	if a.ask.Class == berylpermit.Batch {
		return nil
	}
	places := t.targets[a.ask.Target]
	first := rand.IntN(len(places) + 1)
	for i := range places {
		p := places[(first+i)%len(places)]
		if !allowed(p, &a.ask) || p.known.own.Load() >= localAllowance {
			continue
		}
		ask := a.next(false)
		a.counts.unowned.Inc()
		return a.hold(ask, p.upstream, "")
	}
	return nil
}

func avoids(ask *berylpermit.Request, upstream string) bool {
	return len(ask.Avoid) > 0 && slices.Contains(ask.Avoid, upstream)
}

// pause waits a moment, or until the table changes.
func (a *acquisition) pause(ctx context.Context, t *table) {
	timer := time.NewTimer(reaskPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.stale:
	}
}

func (a *acquisition) refuse() *beryloutcome.Refusal {
	return notRun(a.wait)
}

func (a *acquisition) ended(ctx context.Context) *beryloutcome.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &beryloutcome.Refusal{
			Status:  statusCancelled,
			Code:    beryloutcome.CodeCancelled,
			Message: "the request was cancelled before it ran",
		}
	}
	return notRun(a.wait)
}

func notRun(wait time.Duration) *beryloutcome.Refusal {
	wait = max(wait, leastRetry)
	wait += time.Duration(rand.Float64() * retryJitter * float64(wait))
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "no upstream can run the request within its deadline; it was not run: retry later or with a longer deadline",
		RetryAfter: wait,
	}
}

func notFound(target string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusNotFound,
		Code:    beryloutcome.CodeNotFound,
		Message: "no upstream serves " + target + ": check the name against the list of models and services",
		Param:   "model",
	}
}
