package berylsched

import (
	"context"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylpermit"
)

// queue waits at that many owners at once, and a moment later at two; the first grant wins. It returns final when the
// owners have refused, and not final when the ask must start again because owners were lost or others may have more room by
// now; its deadline keeps its place in line.
func (a *acquisition) queue(ctx context.Context, t *table, hosts []string, places int) (*berylpermit.Permit, bool) {
	ctx, cancel := context.WithCancel(ctx)
	verdicts := make(chan *verdict, len(hosts))
	waiting := make(map[string]context.CancelFunc)
	defer func() {
		cancel()
		a.abandon(verdicts, len(waiting))
	}()
	ask := func(places int) {
		for len(hosts) > 0 && len(waiting) < places {
			host := hosts[0]
			hosts = hosts[1:]
			one, stop := context.WithCancel(ctx)
			waiting[host] = stop
			go func() { verdicts <- a.waitAt(one, host) }()
		}
	}
	again := time.NewTimer(waitingTime)
	defer again.Stop()
	second := time.NewTimer(askPatience)
	defer second.Stop()
	refused := 0
	for ask(places); len(waiting) > 0; {
		select {
		case <-ctx.Done():
			return nil, false
		case <-second.C:
			places = waitingPlaces
			ask(places)
		case <-again.C:
			return nil, false
		case <-t.stale:
			t = a.table.Load()
			a.leave(t, waiting)
			hosts = a.fresh(t, waiting)
			ask(places)
		case v := <-verdicts:
			waiting[v.host]()
			delete(waiting, v.host)
			if v.err == nil && v.reply.Verdict == berylpermit.Granted {
				return a.granted(v), false
			}
			if v.err == nil {
				a.noteRefusal(v.reply.PredictedWait)
				refused++
				ask(places)
				continue
			}
			a.counts.reasked.Inc()
			ask(places)
		}
	}
	return nil, refused > 0
}

// leave stops waiting at hosts that own no upstream of the target any more.
func (a *acquisition) leave(t *table, waiting map[string]context.CancelFunc) {
	for host, stop := range waiting {
		owns := slices.ContainsFunc(t.targets[a.ask.Target], func(p *place) bool { return p.owner == host })
		if !owns {
			stop()
		}
	}
}

// fresh lists the owners of a new table where the ask does not wait yet.
func (a *acquisition) fresh(t *table, waiting map[string]context.CancelFunc) []string {
	var hosts []string
	owners, _ := a.route(time.Now(), t, &a.ask)
	for _, host := range owners {
		if waiting[host] == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// waitAt keeps an ask in one owner's queue until it is granted or refused, or the owner no longer answers.
func (a *acquisition) waitAt(ctx context.Context, host string) *verdict {
	ask := a.next(true)
	for {
		ask.Remaining = time.Until(a.deadline)
		v := a.send(ctx, host, ask, roundOf(ask.Class)+askTimeout)
		if v.err != nil || v.reply.Verdict != berylpermit.Queued {
			return v
		}
	}
}

// abandon gives back what the asks still under way may yet be granted.
func (a *acquisition) abandon(verdicts <-chan *verdict, left int) {
	if left == 0 {
		return
	}
	go func() {
		for range left {
			if v := <-verdicts; v.err == nil {
				a.withdraw(v)
			}
		}
	}()
}
