package berylhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylwire"
)

// handle registers the handlers of the membership's messages.
func (h *Membership) handle() {
	berylwire.Handle(h.config.Endpoint, kindProbe, h.onProbe)
	berylwire.Handle(h.config.Endpoint, kindRelay, h.onRelay)
	berylwire.Handle(h.config.Endpoint, kindSync, h.onSync)
}

func (h *Membership) onProbe(ctx context.Context, peer string, p Probe) (Probe, error) {
	h.config.Receive(peer, p.Digest.bounded())
	actions, ok := h.ask(ctx, Heard{From: peer, Gossip: p.Gossip})
	for _, a := range actions {
		if reply, is := a.(Reply); is {
			return Probe{Gossip: reply.Gossip, Digest: h.config.Digest().bounded()}, nil
		}
	}
	return Probe{}, stopped(ok)
}

func (h *Membership) onRelay(ctx context.Context, _ string, r Relay) (RelayReply, error) {
	actions, ok := h.ask(ctx, RelayAsked(r))
	for _, a := range actions {
		if probe, is := a.(SendProbe); is {
			answer, err := h.sendProbe(ctx, probe)
			return RelayReply{Reached: err == nil, Gossip: answer.Gossip}, nil
		}
	}
	return RelayReply{}, stopped(ok)
}

func (h *Membership) onSync(ctx context.Context, peer string, s Sync) (SyncReply, error) {
	actions, ok := h.ask(ctx, SyncAsked{From: peer, Self: s.Self})
	for _, a := range actions {
		if reply, is := a.(ReplySync); is {
			return SyncReply(reply), nil
		}
	}
	return SyncReply{}, stopped(ok)
}

func stopped(ok bool) error {
	if ok {
		return errors.New("the membership gave no answer")
	}
	return errors.New("the membership is not running")
}

// sendProbe carries a probe out and tells the table what came of it.
func (h *Membership) sendProbe(ctx context.Context, p SendProbe) (Probe, error) {
	answer, err := send[Probe, Probe](ctx, h, p.To, kindProbe, p.Timeout, Probe{
		Gossip: p.Gossip,
		Digest: h.config.Digest().bounded(),
	})
	if err != nil {
		h.post(ctx, Missed{Seq: p.Seq})
		return answer, err
	}
	h.config.Receive(p.To.Name, answer.Digest.bounded())
	h.post(ctx, Acked{Seq: p.Seq, From: p.To.Name, Gossip: answer.Gossip})
	return answer, nil
}

func (h *Membership) sendRelay(ctx context.Context, r SendRelay) {
	answer, err := send[Relay, RelayReply](ctx, h, r.Via, kindRelay, r.Timeout, Relay{Target: r.Target})
	if err != nil || !answer.Reached {
		h.post(ctx, Missed{Seq: r.Seq})
		return
	}
	h.post(ctx, Acked{Seq: r.Seq, From: r.Target.Name, Gossip: answer.Gossip})
}

func (h *Membership) sendSync(ctx context.Context, s SendSync) {
	answer, err := send[Sync, SyncReply](ctx, h, s.To, kindSync, s.Timeout, Sync{Self: s.Self})
	if err != nil || len(answer.Members) == 0 {
		h.post(ctx, Missed{Seq: s.Seq})
		return
	}
	h.post(ctx, Acked{Seq: s.Seq, From: s.To.Name, Gossip: Gossip{Self: answer.Members[0], News: answer.Members[1:]}})
}

// send calls a member within a timeout.
func send[Req, Reply any](ctx context.Context, h *Membership, to Member, kind string, timeout time.Duration, req Req) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := berylwire.Peer{Name: to.Name, Address: to.PeerAddress}
	return berylwire.CallIdempotent[Req, Reply](ctx, h.config.Endpoint, peer, kind, req)
}

// post queues an event for the table.
func (h *Membership) post(ctx context.Context, e Event) {
	select {
	case h.queue <- message{event: e}:
	case <-ctx.Done():
	}
}

// ask queues an event and returns the actions that it leaves to the asker, or false when the context ended first.
func (h *Membership) ask(ctx context.Context, e Event) ([]Action, bool) {
	answer := make(chan []Action, 1)
	select {
	case h.queue <- message{event: e, answer: answer}:
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
