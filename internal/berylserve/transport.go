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

// Kinds of messages between hosts that this package handles.
const (
	kindConfig = "config-pull"
	kindLimit  = "limit-ask"
)

// errUnknownHost is returned for a message to a host whose address is not known.
var errUnknownHost = errors.New("no address is known for the host")

// configRequest asks a peer for its configuration if that is newer than a revision.
type configRequest struct {
	// AfterRevision is the revision that the requesting host has installed.
	AfterRevision int64 `cbor:"1,keyasint"`
}

// configReply is the reply to a configRequest.
type configReply struct {
	// Document is the configuration in JSON; it is empty if the peer has none newer than the requested revision.
	Document []byte `cbor:"1,keyasint"`
}

// peerTransport sends messages to other hosts. It implements the scheduler's Transport and the configuration syncer's Peers.
type peerTransport struct {
	beryllink.Transport
}

func newPeerTransport(h *Host) *peerTransport {
	return &peerTransport{beryllink.Transport{Endpoint: h.endpoint, ResolvePeer: h.findPeer}}
}

// findPeer returns the address of a host: that of the live member or, failing that, of the peer in the settings, so that seeds can
// be reached before the first configuration.
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

// RequestLimitLease asks the host that owns a caller's limits for a share of them. The request may be sent twice: the only effect
// is a larger share.
func (t *peerTransport) RequestLimitLease(ctx context.Context, host string, request beryllimit.LeaseRequest) (beryllimit.LeaseGrant, error) {
	return beryllink.Request[beryllimit.LeaseRequest, beryllimit.LeaseGrant](ctx, &t.Transport, host, kindLimit, request)
}

// Pull returns a peer's configuration, or berylspread.ErrNotNewer if its revision is not above the given one.
func (t *peerTransport) Pull(ctx context.Context, host string, above int64) ([]byte, error) {
	reply, err := beryllink.Request[configRequest, configReply](ctx, &t.Transport, host, kindConfig, configRequest{AfterRevision: above})
	if err != nil {
		return nil, err
	}
	if len(reply.Document) == 0 {
		return nil, berylspread.ErrNotNewer
	}
	return reply.Document, nil
}

// registerHandlers registers a handler for each kind of message from other hosts.
func (h *Host) registerHandlers() {
	beryllink.Handle(h.endpoint, h.scheduler)
	berylwire.Handle(h.endpoint, kindLimit, h.limiter.HandleLeaseRequest)
	berylwire.Handle(h.endpoint, kindConfig, h.handleConfigRequest)
}

// handleConfigRequest replies with the installed configuration if it is newer than the peer's.
func (h *Host) handleConfigRequest(_ context.Context, _ string, request configRequest) (configReply, error) {
	document := h.configStore.Current()
	if document == nil || document.Revision <= request.AfterRevision {
		return configReply{}, nil
	}
	data, err := berylconf.Encode(document)
	return configReply{Document: data}, err
}
