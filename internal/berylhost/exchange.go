package berylhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylwire"
)

// registerHandlers registers the handlers of the membership messages at the endpoint.
func (m *Membership) registerHandlers() {
	berylwire.Handle(m.config.Endpoint, kindProbe, m.onProbe)
	berylwire.Handle(m.config.Endpoint, kindRelay, m.onRelay)
	berylwire.Handle(m.config.Endpoint, kindSync, m.onSync)
}

func (m *Membership) onProbe(ctx context.Context, peer string, p Probe) (Probe, error) {
	m.config.Receive(peer, p.Digest.truncated())
	actions, ok := m.enqueueAndWait(ctx, GossipReceived{From: peer, Gossip: p.Gossip})
	for _, a := range actions {
		if reply, is := a.(Reply); is {
			return Probe{Gossip: reply.Gossip, Digest: m.config.Digest().truncated()}, nil
		}
	}
	return Probe{}, noReplyError(ok)
}

func (m *Membership) onRelay(ctx context.Context, _ string, r Relay) (RelayReply, error) {
	actions, ok := m.enqueueAndWait(ctx, RelayRequested(r))
	for _, a := range actions {
		if probe, is := a.(SendProbe); is {
			answer, err := m.sendProbe(ctx, probe)
			return RelayReply{Reached: err == nil, Gossip: answer.Gossip}, nil
		}
	}
	return RelayReply{}, noReplyError(ok)
}

func (m *Membership) onSync(ctx context.Context, peer string, s Sync) (SyncReply, error) {
	actions, ok := m.enqueueAndWait(ctx, SyncRequested{From: peer, Self: s.Self})
	for _, a := range actions {
		if reply, is := a.(ReplySync); is {
			return SyncReply(reply), nil
		}
	}
	return SyncReply{}, noReplyError(ok)
}

func noReplyError(ok bool) error {
	if ok {
		return errors.New("the membership gave no answer")
	}
	return errors.New("the membership is not running")
}

// sendProbe sends a probe and passes the result to the table.
func (m *Membership) sendProbe(ctx context.Context, p SendProbe) (Probe, error) {
	answer, err := send[Probe, Probe](ctx, m, p.To, kindProbe, p.Timeout, Probe{
		Gossip: p.Gossip,
		Digest: m.config.Digest().truncated(),
	})
	if err != nil {
		m.enqueue(ctx, NoReply{Seq: p.Seq})
		return answer, err
	}
	m.config.Receive(p.To.Name, answer.Digest.truncated())
	m.enqueue(ctx, Acked{Seq: p.Seq, From: p.To.Name, Gossip: answer.Gossip})
	return answer, nil
}

func (m *Membership) sendRelay(ctx context.Context, r SendRelay) {
	answer, err := send[Relay, RelayReply](ctx, m, r.Via, kindRelay, r.Timeout, Relay{Target: r.Target})
	if err != nil || !answer.Reached {
		m.enqueue(ctx, NoReply{Seq: r.Seq})
		return
	}
	m.enqueue(ctx, Acked{Seq: r.Seq, From: r.Target.Name, Gossip: answer.Gossip})
}

func (m *Membership) sendSync(ctx context.Context, s SendSync) {
	answer, err := send[Sync, SyncReply](ctx, m, s.To, kindSync, s.Timeout, Sync{Self: s.Self})
	if err != nil || len(answer.Members) == 0 {
		m.enqueue(ctx, NoReply{Seq: s.Seq})
		return
	}
	m.enqueue(ctx, Acked{Seq: s.Seq, From: s.To.Name, Gossip: Gossip{Self: answer.Members[0], Updates: answer.Members[1:]}})
}

// send calls a member and waits at most timeout for the answer.
func send[Req, Reply any](ctx context.Context, m *Membership, to Member, kind string, timeout time.Duration, req Req) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := berylwire.Peer{Name: to.Name, Address: to.PeerAddress}
	return berylwire.CallIdempotent[Req, Reply](ctx, m.config.Endpoint, peer, kind, req)
}

// enqueue queues an event for the table. It returns without queuing it if ctx ends first.
func (m *Membership) enqueue(ctx context.Context, e Event) {
	select {
	case m.events <- queuedEvent{event: e}:
	case <-ctx.Done():
	}
}

// enqueueAndWait queues an event and returns the actions that its sender must carry out, or false if ctx ended first.
func (m *Membership) enqueueAndWait(ctx context.Context, e Event) ([]Action, bool) {
	answer := make(chan []Action, 1)
	select {
	case m.events <- queuedEvent{event: e, reply: answer}:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case actions := <-answer:
		return actions, true
	case <-ctx.Done():
		return nil, false
	}
}
