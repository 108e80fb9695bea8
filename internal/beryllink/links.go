package beryllink

import (
	"context"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylwire"
)

// The kinds of the scheduler's messages.
const (
	kindAsk      = "permit-ask"
	kindWithdraw = "permit-withdraw"
	kindRelease  = "permit-release"
	kindYield    = "permit-yield"
	kindHeld     = "permits-held"
)

// None is the body of an answer that says nothing but that the message was taken.
type None struct{}

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
	return Request[berylpermit.Request, berylpermit.Reply](ctx, l, host, kindAsk, ask)
}

// Withdraw tells an owner that an ask is no longer wanted.
func (l *Links) Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error {
	return tell(ctx, l, host, kindWithdraw, withdraw)
}

// Release gives a permit back to its owner.
func (l *Links) Release(ctx context.Context, host string, release berylpermit.Release) error {
	return tell(ctx, l, host, kindRelease, release)
}

// SendYield asks a holder for a batch permit.
func (l *Links) SendYield(ctx context.Context, host string, yield berylpermit.Yield) error {
	return tell(ctx, l, host, kindYield, yield)
}

// SendHeldReport reports held permits to an owner.
func (l *Links) SendHeldReport(ctx context.Context, host string, held berylpermit.HeldReport) error {
	return tell(ctx, l, host, kindHeld, held)
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

// tell sends a message that may be taken twice and whose answer says nothing.
func tell[M any](ctx context.Context, l *Links, host, kind string, message M) error {
	_, err := Request[M, None](ctx, l, host, kind, message)
	return err
}

// Handle connects the kinds of messages to the scheduler that takes them.
func Handle(wire *berylwire.Endpoint, s *berylsched.Scheduler) {
	berylwire.Handle(wire, kindAsk, s.HandlePermitRequest)
	take(wire, kindWithdraw, s.HandleWithdraw)
	take(wire, kindRelease, s.HandleRelease)
	take(wire, kindYield, s.HandleYield)
	take(wire, kindHeld, s.HandleHeldReport)
}

// take registers a handler whose answer says nothing.
func take[M any](wire *berylwire.Endpoint, kind string, handle func(peer string, message M) error) {
	berylwire.Handle(wire, kind, func(_ context.Context, peer string, message M) (None, error) {
		return None{}, handle(peer, message)
	})
}
