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

// errUnknownHost says that a message was meant for a host of which no address is known.
var errUnknownHost = errors.New("no address is known for the host")

// configRequest asks for a configuration above a revision.
type configRequest struct {
	// AfterRevision is the asking host's revision.
	AfterRevision int64 `cbor:"1,keyasint"`
}

// configReply answers a configPull.
type configReply struct {
	// Document is the configuration in JSON, or empty when the peer has none above the revision.
	Document []byte `cbor:"1,keyasint"`
}

// peerTransport carries the duties' messages to other hosts; it is the scheduler's Transport and the spread's Peers.
type peerTransport struct {
	beryllink.Links
}

func newPeerTransport(h *Host) *peerTransport {
	return &peerTransport{beryllink.Links{Wire: h.endpoint, Find: h.findPeer}}
}

// findPeer finds a host's address among the members, or before the first configuration among the settings' peers.
func (h *Host) findPeer(name string) (berylwire.Peer, error) {
	for _, m := range h.membership.Live() {
		if m.Name == name && m.PeerAddress != "" {
			return berylwire.Peer{Name: name, Address: m.PeerAddress}, nil
		}
	}
	for _, peer := range h.Settings.Peers {
		if seed, address, _ := strings.Cut(peer, "="); seed == name {
			return berylwire.Peer{Name: name, Address: address}, nil
		}
	}
	return berylwire.Peer{}, errors.Wrap(errUnknownHost, name)
}

// RequestLimitLease asks the owner of a caller's limits for a loan; an ask that is repeated only lends more.
func (l *peerTransport) RequestLimitLease(ctx context.Context, host string, ask beryllimit.LeaseRequest) (beryllimit.LeaseGrant, error) {
	return beryllink.Request[beryllimit.LeaseRequest, beryllimit.LeaseGrant](ctx, &l.Links, host, kindLimit, ask)
}

// Pull returns a peer's configuration if its revision is above the given one.
func (l *peerTransport) Pull(ctx context.Context, host string, above int64) ([]byte, error) {
	reply, err := beryllink.Request[configRequest, configReply](ctx, &l.Links, host, kindConfig, configRequest{AfterRevision: above})
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
	beryllink.Handle(h.endpoint, h.scheduler)
	berylwire.Handle(h.endpoint, kindLimit, h.limiter.HandleLeaseRequest)
	berylwire.Handle(h.endpoint, kindConfig, h.handleConfigRequest)
}

func (h *Host) handleConfigRequest(_ context.Context, _ string, pull configRequest) (configReply, error) {
	document := h.configStore.Current()
	if document == nil || document.Revision <= pull.AfterRevision {
		return configReply{}, nil
	}
	data, err := berylconf.Encode(document)
	return configReply{Document: data}, err
}
