package beryllink

import (
	"context"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylwire"
)

// The kinds of the scheduler's messages.
const (
	kindPermitRequest = "permit-ask"
	kindWithdraw      = "permit-withdraw"
	kindRelease       = "permit-release"
	kindYield         = "permit-yield"
	kindHeldReport    = "permits-held"
)

// Ack is the body of an answer that says nothing but that the message was taken.
type Ack struct{}

// Links carries the scheduler's messages to other hosts.
type Links struct {
	// Wire reaches the peers.
	Wire *berylwire.Endpoint
	// Find returns where a host listens, or an error while no address is known for it.
	Find func(host string) (berylwire.Peer, error)
}

var _ berylsched.Transport = (*Links)(nil)

// RequestPermit sends an ask to an owner and waits for the reply.
func (l *Links) RequestPermit(ctx context.Context, host string, ask berylpermit.Request) (berylpermit.Reply, error) {
	return Request[berylpermit.Request, berylpermit.Reply](ctx, l, host, kindPermitRequest, ask)
}

// Withdraw tells an owner that an ask is no longer wanted.
func (l *Links) Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error {
	return sendForAck(ctx, l, host, kindWithdraw, withdraw)
}

// Release gives a permit back to its owner.
func (l *Links) Release(ctx context.Context, host string, release berylpermit.Release) error {
	return sendForAck(ctx, l, host, kindRelease, release)
}

// SendYield asks a holder for a batch permit.
func (l *Links) SendYield(ctx context.Context, host string, yield berylpermit.Yield) error {
	return sendForAck(ctx, l, host, kindYield, yield)
}

// SendHeldReport reports held permits to an owner.
func (l *Links) SendHeldReport(ctx context.Context, host string, held berylpermit.HeldReport) error {
	return sendForAck(ctx, l, host, kindHeldReport, held)
}

// Request sends a message that may be taken twice and waits for its answer.
func Request[M, A any](ctx context.Context, l *Links, host, kind string, message M) (A, error) {
	peer, err := l.Find(host)
	if err != nil {
		var none A
		return none, err
	}
	return berylwire.CallIdempotent[M, A](ctx, l.Wire, peer, kind, message)
}

// sendForAck sends a message that may be taken twice and whose answer says nothing.
func sendForAck[M any](ctx context.Context, l *Links, host, kind string, message M) error {
	_, err := Request[M, Ack](ctx, l, host, kind, message)
	return err
}

// Handle connects the kinds of messages to the scheduler that takes them.
func Handle(wire *berylwire.Endpoint, s *berylsched.Scheduler) {
	berylwire.Handle(wire, kindPermitRequest, s.HandlePermitRequest)
	handleWithAck(wire, kindWithdraw, s.HandleWithdraw)
	handleWithAck(wire, kindRelease, s.HandleRelease)
	handleWithAck(wire, kindYield, s.HandleYield)
	handleWithAck(wire, kindHeldReport, s.HandleHeldReport)
}

// handleWithAck registers a handler whose answer says nothing.
func handleWithAck[M any](wire *berylwire.Endpoint, kind string, handle func(peer string, message M) error) {
	berylwire.Handle(wire, kind, func(_ context.Context, peer string, message M) (Ack, error) {
		return Ack{}, handle(peer, message)
	})
}
