package beryllink

import (
	"context"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
	"berylroad.example/berylroad/internal/berylwire"
)

// Kinds of messages between schedulers.
const (
	kindPermitRequest = "permit-ask"
	kindWithdraw      = "permit-withdraw"
	kindRelease       = "permit-release"
	kindYield         = "permit-yield"
	kindHeldReport    = "permits-held"
	kindStatement     = "upstream-statement"
)

// Ack is the empty reply that acknowledges a message.
type Ack struct{}

// Transport sends the scheduler's messages to other hosts.
type Transport struct {
	// Endpoint sends the messages over this host's UDP socket.
	Endpoint *berylwire.Endpoint
	// ResolvePeer returns the name and address of a host, or an error if its address is not known.
	ResolvePeer func(host string) (berylwire.Peer, error)
}

var _ berylsched.Transport = (*Transport)(nil)

// RequestPermit requests a permit from an owner and waits for the reply.
func (l *Transport) RequestPermit(ctx context.Context, host string, request berylpermit.Request) (berylpermit.Reply, error) {
	return Request[berylpermit.Request, berylpermit.Reply](ctx, l, host, kindPermitRequest, request)
}

// Withdraw tells an owner that a permit request is cancelled.
func (l *Transport) Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error {
	return sendForAck(ctx, l, host, kindWithdraw, withdraw)
}

// Release returns a permit to its owner.
func (l *Transport) Release(ctx context.Context, host string, release berylpermit.Release) error {
	return sendForAck(ctx, l, host, kindRelease, release)
}

// SendYield asks the holder of a batch permit to give it up.
func (l *Transport) SendYield(ctx context.Context, host string, yield berylpermit.Yield) error {
	return sendForAck(ctx, l, host, kindYield, yield)
}

// SendHeldReport tells an owner which of its permits this host holds.
func (l *Transport) SendHeldReport(ctx context.Context, host string, held berylpermit.HeldReport) error {
	return sendForAck(ctx, l, host, kindHeldReport, held)
}

// SendStatement tells an owner what an upstream's answer says about the upstream.
func (l *Transport) SendStatement(ctx context.Context, host string, report berylpermit.StatementReport) error {
	return sendForAck(ctx, l, host, kindStatement, report)
}

// Request sends an idempotent message to a host and waits for the reply. The message may be delivered twice.
func Request[M, A any](ctx context.Context, l *Transport, host, kind string, message M) (A, error) {
	peer, err := l.ResolvePeer(host)
	if err != nil {
		var zero A
		return zero, err
	}
	return berylwire.CallIdempotent[M, A](ctx, l.Endpoint, peer, kind, message)
}

// sendForAck sends an idempotent message to a host and waits for the acknowledgement.
func sendForAck[M any](ctx context.Context, l *Transport, host, kind string, message M) error {
	_, err := Request[M, Ack](ctx, l, host, kind, message)
	return err
}

// Handle registers the scheduler's handlers for the messages of other hosts.
func Handle(wire *berylwire.Endpoint, s *berylsched.Scheduler) {
	berylwire.Handle(wire, kindPermitRequest, s.HandlePermitRequest)
	handleWithAck(wire, kindWithdraw, s.HandleWithdraw)
	handleWithAck(wire, kindRelease, s.HandleRelease)
	handleWithAck(wire, kindYield, s.HandleYield)
	handleWithAck(wire, kindHeldReport, s.HandleHeldReport)
	handleWithAck(wire, kindStatement, s.HandleStatement)
}

// handleWithAck registers a handler whose reply is an Ack.
func handleWithAck[M any](wire *berylwire.Endpoint, kind string, handle func(peer string, message M) error) {
	berylwire.Handle(wire, kind, func(_ context.Context, peer string, message M) (Ack, error) {
		return Ack{}, handle(peer, message)
	})
}
