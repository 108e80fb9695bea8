package berylentry

import (
	"context"

	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylwire"
)

// carriers implements berylpath.Carriers: it reaches the hosts that may carry connections for this one.
type carriers struct {
	host *Host
}

// Carriers lists the live hosts without this one and those that are about to stop.
func (c *carriers) Carriers() []berylpath.Carrier {
	var list []berylpath.Carrier
	for _, m := range c.host.members.Live() {
		if m.Name != c.host.Settings.Host && !c.host.hostRegistry.isLeaving(m.Name, m.Boot) {
			list = append(list, berylpath.Carrier{Host: m.Name, FailureDomain: m.FailureDomain})
		}
	}
	return list
}

// Open opens a stream to a host, whose handleTunnel gets the request.
func (c *carriers) Open(ctx context.Context, host string, request berylpath.Request) (berylpath.Stream, error) {
	peer, err := c.host.findPeer(host)
	if err != nil {
		return nil, err
	}
	stream, err := berylwire.OpenDuplex(ctx, c.host.endpoint, peer, kindTunnel, request)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// handleTunnel carries a connection to an upstream for another host.
func (h *Host) handleTunnel(ctx context.Context, peer string, request berylpath.Request, accept func() (*berylwire.Duplex, error)) error {
	return h.paths.HandleTunnel(ctx, peer, request, func() (berylpath.Stream, error) { return accept() })
}

// DrainTunnels carries no more connections for other hosts, and waits until those that it carries have ended or ctx ends.
func (h *Host) DrainTunnels(ctx context.Context) {
	if h.assembled.Load() {
		h.paths.Drain(ctx)
	}
}
