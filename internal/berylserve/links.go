package berylserve

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylspread"
	"berylroad.example/berylroad/internal/berylwire"
)

// The kinds of the messages between hosts that are wired up here.
const (
	kindConfig = "config-pull"
	kindLimit  = "limit-ask"
)

// errNotMember says that a message was meant for a host of which no address is known.
var errNotMember = errors.New("no address is known for the host")

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
	beryllink.Links
}

func newLinks(h *Host) *links {
	return &links{beryllink.Links{Wire: h.wire, Find: h.findPeer}}
}

// findPeer finds a host's address among the members, or before the first configuration among the settings' peers.
func (h *Host) findPeer(name string) (berylwire.Peer, error) {
	for _, m := range h.members.Live() {
		if m.Name == name && m.PeerAddress != "" {
			return berylwire.Peer{Name: name, Address: m.PeerAddress}, nil
		}
	}
	for _, peer := range h.Settings.Peers {
		if seed, address, _ := strings.Cut(peer, "="); seed == name {
			return berylwire.Peer{Name: name, Address: address}, nil
		}
	}
	return berylwire.Peer{}, errors.Wrap(errNotMember, name)
}

// AskLimit asks the owner of a caller's limits for a loan; an ask that is repeated only lends more.
func (l *links) AskLimit(ctx context.Context, host string, ask beryllimit.LeaseRequest) (beryllimit.LeaseGrant, error) {
	return beryllink.Request[beryllimit.LeaseRequest, beryllimit.LeaseGrant](ctx, &l.Links, host, kindLimit, ask)
}

// Pull returns a peer's configuration if its revision is above the given one.
func (l *links) Pull(ctx context.Context, host string, above int64) ([]byte, error) {
	reply, err := beryllink.Request[configPull, configDocument](ctx, &l.Links, host, kindConfig, configPull{Above: above})
	if err != nil {
		return nil, err
	}
	if len(reply.Document) == 0 {
		return nil, berylspread.ErrNotNewer
	}
	return reply.Document, nil
}

// registerHandlers connects the kinds of messages to the duties that take them.
func (h *Host) registerHandlers() {
	beryllink.Handle(h.wire, h.scheduler)
	berylwire.Handle(h.wire, kindLimit, h.limits.HandleLeaseRequest)
	berylwire.Handle(h.wire, kindConfig, h.handleConfigPull)
}

func (h *Host) handleConfigPull(_ context.Context, _ string, pull configPull) (configDocument, error) {
	document := h.store.Current()
	if document == nil || document.Revision <= pull.Above {
		return configDocument{}, nil
	}
	data, err := berylconf.Encode(document)
	return configDocument{Document: data}, err
}
