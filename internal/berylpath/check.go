package berylpath

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// checkedUpstreams is how many upstreams a check tries to reach at once.
	checkedUpstreams = 3
	// isolatedSilenceTime is how long a call of an isolated host may go without any answer. Its request has hardly arrived, and it
	// holds a slot.
	isolatedSilenceTime = 1200 * time.Millisecond
	// tickInterval is the time between two looks at calls and probes.
	tickInterval = 100 * time.Millisecond
)

// ReachesOthers reports whether this host reaches any upstream but the given one.
func (p *Paths) ReachesOthers(ctx context.Context, upstream string) bool {
	return p.State() == Reachable && p.reachesAny(ctx, p.candidates(upstream))
}

// beginCheck tries in the background whether this host reaches any upstream.
func (p *Paths) beginCheck() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ConnectTimeout)
		defer cancel()
		candidates := p.candidates("")
		reached := p.reachesAny(ctx, candidates)
		p.monitor.checked(time.Now(), reached)
		if reached {
			p.Log.WithField("tried", candidateIDs(candidates)).Info("path: several upstreams failed or all were silent, but some are reached")
			if p.onRecovered != nil {
				p.onRecovered()
			}
			return
		}
		p.Metrics.GetOrCreateCounter("berylroad_path_isolations_total").Inc()
		p.Log.WithField("tried", candidateIDs(candidates)).Warn("path: isolated, no upstream is reached; connections go through other hosts")
	}()
}

// candidates returns up to checkedUpstreams upstreams, without the given one if there are others: those that have shown signs
// of life last.
func (p *Paths) candidates(except string) []berylroute.Upstream {
	all := p.Upstreams.All()
	list := make([]berylroute.Upstream, 0, len(all))
	for id, u := range all {
		if id != except || len(all) == 1 {
			list = append(list, u)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.progressAt {
		if _, known := all[id]; !known {
			delete(p.progressAt, id)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b berylroute.Upstream) int { return p.progressAt[b.ID].Compare(p.progressAt[a.ID]) })
	return list[:min(len(list), checkedUpstreams)]
}

func candidateIDs(list []berylroute.Upstream) string {
	var ids []string
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return fmt.Sprint(ids)
}

// reachesAny reports whether a connection to any of the upstreams can be opened.
func (p *Paths) reachesAny(ctx context.Context, list []berylroute.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	reached := make(chan bool, len(list))
	for _, u := range list {
		go func() { reached <- p.reaches(ctx, u.Address) }()
	}
	for range list {
		if <-reached {
			return true
		}
	}
	return false
}

// reaches reports whether a connection to the address can be opened. It closes the connection.
func (p *Paths) reaches(ctx context.Context, address string) bool {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // only its opening matters
	return true
}

// Run looks whether all upstreams are silent and, while this host is isolated, ends unanswered calls and tries to reach upstreams
// again. It returns when ctx ends.
func (p *Paths) Run(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if p.monitor.silent(now, p.upstreamsCalledBefore(now.Add(-silenceTime))) {
			p.beginCheck()
		}
		if p.State() == Isolated {
			p.abortUnanswered(now.Add(-isolatedSilenceTime))
		}
		if p.monitor.probeDue(now) && p.probing.CompareAndSwap(false, true) {
			probes.Go(func() {
				defer p.probing.Store(false)
				p.probe(ctx)
			})
		}
	}
}

// probe tries to reach one upstream.
func (p *Paths) probe(ctx context.Context) {
	list := slices.Collect(maps.Values(p.Upstreams.All()))
	if len(list) == 0 {
		return
	}
	reached := p.reachesAny(ctx, []berylroute.Upstream{list[rand.IntN(len(list))]})
	p.monitor.probed(time.Now(), reached)
	if p.State() == Reachable {
		p.Log.Info("path: upstreams are reached again")
	}
}
