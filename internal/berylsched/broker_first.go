package berylsched

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// tryFirst asks owners in turn without waiting there; it returns those to wait at if none grants. An owner that is slow
// to answer does not hold up the ask: the next one is asked beside it, and the first grant wins.
func (a *acquisition) tryFirst(ctx context.Context, hosts []string) (*berylpermit.Permit, []string) {
	var reached []string
	rest := hosts
	verdicts := make(chan *verdict, len(hosts))
	left := 0
	defer func() { a.abandon(verdicts, left) }()
	ask := func() {
		if len(rest) == 0 {
			return
		}
		host := rest[0]
		rest = rest[1:]
		left++
		a.sendAside(ctx, host, verdicts)
	}
	patience := time.NewTicker(askPatience)
	defer patience.Stop()
	for ask(); left > 0; {
		select {
		case <-ctx.Done():
			return nil, nil
		case <-patience.C:
			ask()
		case v := <-verdicts:
			left--
			if v.err == nil && v.reply.Verdict == berylpermit.Granted {
				return a.granted(v), nil
			}
			if v.err != nil {
				a.counts.reasked.Inc()
			} else {
				a.noteRefusal(v.reply.PredictedWait)
				reached = append(reached, v.host)
			}
			if len(reached) == firstTries {
				return nil, waitingOrder(reached, rest)
			}
			if left == 0 {
				ask()
			}
		}
	}
	return nil, reached
}

// sendAside asks an owner once. The ask outlives its caller, so that a host that does not answer is found out.
func (a *acquisition) sendAside(ctx context.Context, host string, verdicts chan<- *verdict) {
	ctx = context.WithoutCancel(ctx)
	ask := a.next(false)
	if host == a.Host {
		verdicts <- a.send(ctx, host, ask, askTimeout)
		return
	}
	go func() { verdicts <- a.send(ctx, host, ask, askTimeout) }()
}

// waitingOrder lists where to wait: at an owner not asked yet, whose room may be better than it is known to be, and at
// those that have answered; the others follow in case these refuse.
func waitingOrder(reached, rest []string) []string {
	var hosts []string
	if len(rest) > 0 {
		hosts = append(hosts, rest[0])
		rest = rest[1:]
	}
	hosts = append(hosts, reached...)
	hosts = append(hosts, rest...)
	return hosts[:min(len(hosts), maxOwners)]
}
