package berylquarantine

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// maxDirectHosts is the number of other hosts up to which a host asks all of them itself. In a larger fleet it asks about
	// as many as the square root, and each of these asks as many again, so that no host opens connections to all.
	maxDirectHosts = 16
	// askTimeout bounds one message, forwardTimeout those that a host passes on.
	askTimeout     = 250 * time.Millisecond
	forwardTimeout = 150 * time.Millisecond
)

// broadcast sends a message to all other live hosts and returns their evidence, without that of hosts that don't reply in
// time.
func (q *Quarantine) broadcast(ctx context.Context, message Message) Evidence {
	if q.Peers == nil {
		return Evidence{}
	}
	var all collector
	var group conc.WaitGroup
	for _, hosts := range groupHosts(q.Peers.Others()) {
		group.Go(func() {
			first := message
			first.Forward = hosts[1:]
			if !q.ask(ctx, askTimeout, hosts[0], first, &all) {
				q.askAll(ctx, askTimeout, hosts[1:], message, &all)
			}
		})
	}
	group.Wait()
	return all.evidence
}

// askAll sends a message to hosts at the same time and waits for their replies.
func (q *Quarantine) askAll(ctx context.Context, timeout time.Duration, hosts []string, message Message, all *collector) {
	var group conc.WaitGroup
	for _, host := range hosts {
		group.Go(func() { q.ask(ctx, timeout, host, message, all) })
	}
	group.Wait()
}

// ask sends a message to one host and reports whether it has replied.
func (q *Quarantine) ask(ctx context.Context, timeout time.Duration, host string, message Message, all *collector) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := q.Peers.Ask(ctx, host, message)
	if err != nil {
		q.count("unanswered")
		q.Log.WithError(err).WithFields(logrus.Fields{"peer": host}).Info("quarantine: a host did not answer")
		return false
	}
	all.add(reply)
	return true
}

// collector gathers evidence from several hosts.
type collector struct {
	mu       sync.Mutex
	evidence Evidence
}

func (c *collector) add(e Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.Parts = append(c.evidence.Parts, e.Parts...)
	c.evidence.SinceBegins = append(c.evidence.SinceBegins, e.SinceBegins...)
}

// groupHosts divides the hosts into groups. The first host of each passes messages on to the others.
func groupHosts(hosts []string) [][]string {
	size := 1
	if len(hosts) > maxDirectHosts {
		size = int(math.Ceil(math.Sqrt(float64(len(hosts)))))
	}
	return slices.Collect(slices.Chunk(hosts, size))
}

// HandleMessage takes in what another host knows and replies with the evidence of this host, and of those that the message is
// passed on to.
func (q *Quarantine) HandleMessage(ctx context.Context, _ string, message Message) (Evidence, error) {
	q.takeIn(message)
	forwarded := message
	forwarded.Forward = nil
	var all collector
	if q.Peers != nil {
		q.askAll(ctx, forwardTimeout, message.Forward, forwarded, &all)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.table.Merge(now, all.evidence)
	reply := q.table.Evidence(now, message.Service, message.Parts)
	reply.SinceBegins = append(reply.SinceBegins, all.evidence.SinceBegins...)
	slices.Sort(reply.SinceBegins)
	reply.SinceBegins = reply.SinceBegins[:min(len(reply.SinceBegins), beginsForVerdict)]
	return reply, nil
}

func (q *Quarantine) takeIn(message Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.table.Merge(now, message.Evidence)
	for _, v := range message.Verdicts {
		if err := v.check(); err != nil {
			q.Log.WithError(err).Error("quarantine: verdict of another host can't be used")
			continue
		}
		if q.verdicts.put(v, 0, now) {
			q.logInstalled(&v, 0)
		}
	}
	for _, key := range message.Lifted {
		q.remove(key)
	}
}
