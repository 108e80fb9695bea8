package berylserve

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylspread"
	"berylroad.example/berylroad/internal/berylwire"
)

// The kinds of the messages between hosts that are wired up here.
const (
	kindAsk      = "permit-ask"
	kindWithdraw = "permit-withdraw"
	kindRelease  = "permit-release"
	kindYield    = "permit-yield"
	kindHeld     = "permits-held"
	kindConfig   = "config-pull"
	kindLimit    = "limit-ask"
)

// errNotMember says that a message was meant for a host of which no address is known.
var errNotMember = errors.New("no address is known for the host")

// none is the body of an answer that says nothing but that the message was taken.
type none struct{}

// configPull asks for a configuration above a revision.
type configPull struct {
	// Above is the asking host's revision.
	Above int64 `cbor:"1,keyasint"`
}

// configDocument answers a configPull.
type configDocument struct {
	// Document is the configuration in JSON, or empty when the peer has none above the revision.
	Document []byte `cbor:"1,keyasint"`
}

// links carries the duties' messages to other hosts; it is the scheduler's Transport and the spread's Peers.
type links struct {
	host *Host
}

// peer finds a host's address among the members, or before the first configuration among the settings' peers.
func (l *links) peer(name string) (berylwire.Peer, error) {
	for _, m := range l.host.members.Live() {
		if m.Name == name && m.PeerAddress != "" {
			return berylwire.Peer{Name: name, Address: m.PeerAddress}, nil
		}
	}
	for _, peer := range l.host.Settings.Peers {
		if seed, address, _ := strings.Cut(peer, "="); seed == name {
			return berylwire.Peer{Name: name, Address: address}, nil
		}
	}
	return berylwire.Peer{}, errors.Wrap(errNotMember, name)
}

// Ask sends an ask to an owner and waits for the reply.
func (l *links) Ask(ctx context.Context, host string, ask berylpermit.Ask) (berylpermit.Reply, error) {
	peer, err := l.peer(host)
	if err != nil {
		return berylpermit.Reply{}, err
	}
	return berylwire.CallIdempotent[berylpermit.Ask, berylpermit.Reply](ctx, l.host.wire, peer, kindAsk, ask)
}

// Withdraw tells an owner that an ask is no longer wanted.
func (l *links) Withdraw(ctx context.Context, host string, withdraw berylpermit.Withdraw) error {
	return tell(ctx, l, host, kindWithdraw, withdraw)
}

// Release gives a permit back to its owner.
func (l *links) Release(ctx context.Context, host string, release berylpermit.Release) error {
	return tell(ctx, l, host, kindRelease, release)
}

// SendYield asks a holder for a batch permit.
func (l *links) SendYield(ctx context.Context, host string, yield berylpermit.Yield) error {
	return tell(ctx, l, host, kindYield, yield)
}

// SendHeld reports held permits to an owner.
func (l *links) SendHeld(ctx context.Context, host string, held berylpermit.Held) error {
	return tell(ctx, l, host, kindHeld, held)
}

// AskLimit asks the owner of a caller's limits for a loan; an ask that is repeated only lends more.
func (l *links) AskLimit(ctx context.Context, host string, ask beryllimit.Ask) (beryllimit.Grant, error) {
	peer, err := l.peer(host)
	if err != nil {
		return beryllimit.Grant{}, err
	}
	return berylwire.CallIdempotent[beryllimit.Ask, beryllimit.Grant](ctx, l.host.wire, peer, kindLimit, ask)
}

// Pull returns a peer's configuration if its revision is above the given one.
func (l *links) Pull(ctx context.Context, host string, above int64) ([]byte, error) {
	peer, err := l.peer(host)
	if err != nil {
		return nil, err
	}
	reply, err := berylwire.CallIdempotent[configPull, configDocument](ctx, l.host.wire, peer, kindConfig, configPull{Above: above})
	if err != nil {
		return nil, err
	}
	if len(reply.Document) == 0 {
		return nil, berylspread.ErrNone
	}
	return reply.Document, nil
}

// tell sends a message that may be taken twice and whose answer says nothing.
func tell[M any](ctx context.Context, l *links, host, kind string, message M) error {
	peer, err := l.peer(host)
	if err != nil {
		return err
	}
	_, err = berylwire.CallIdempotent[M, none](ctx, l.host.wire, peer, kind, message)
	return err
}

// registerHandlers connects the kinds of messages to the duties that take them.
func (h *Host) registerHandlers() {
	s := h.scheduler
	berylwire.Handle(h.wire, kindAsk, s.HandleAsk)
	take(h, kindWithdraw, s.HandleWithdraw)
	take(h, kindRelease, s.HandleRelease)
	take(h, kindYield, s.HandleYield)
	take(h, kindHeld, s.HandleHeld)
	berylwire.Handle(h.wire, kindLimit, h.limits.HandleAsk)
	berylwire.Handle(h.wire, kindConfig, h.handleConfigPull)
}

// take registers a handler whose answer says nothing.
func take[M any](h *Host, kind string, handle func(peer string, message M) error) {
	berylwire.Handle(h.wire, kind, func(_ context.Context, peer string, message M) (none, error) {
		return none{}, handle(peer, message)
	})
}

func (h *Host) handleConfigPull(_ context.Context, _ string, pull configPull) (configDocument, error) {
	document := h.store.Current()
	if document == nil || document.Revision <= pull.Above {
		return configDocument{}, nil
	}
	data, err := berylconf.Encode(document)
	return configDocument{Document: data}, err
}
