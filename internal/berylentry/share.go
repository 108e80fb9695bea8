package berylentry

import (
	"context"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/berylstore"
)

// sharingHosts is the number of live hosts in a failure domain from which one watches the store for the others. That one
// watches four times as often, so that fewer hosts would make more calls than each for itself.
const sharingHosts = 5

// watchKey starts the key by which the host that watches for its failure domain is chosen.
const watchKey = "store-watch/"

// newShare lets the hosts of a failure domain watch the store for each other.
func (h *Host) newShare(links *beryllink.Links) *berylstore.Share {
	return &berylstore.Share{
		Source: h.watchSource,
		Ask: func(ctx context.Context, host string, request berylstore.WatchRequest) (berylstore.WatchReply, error) {
			return beryllink.Request[berylstore.WatchRequest, berylstore.WatchReply](ctx, links, host, kindWatch, request)
		},
	}
}

// watchSource returns the host that watches for this one, and whether others rely on this one.
func (h *Host) watchSource() (string, bool) {
	var near []berylhost.Member
	for _, m := range h.members.Live() {
		if m.FailureDomain == h.Settings.FailureDomain && !h.registry.isLeaving(m.Name, m.Boot) {
			near = append(near, m)
		}
	}
	if len(near) < sharingHosts {
		return "", false
	}
	first, ok := berylhost.First(watchKey+h.Settings.FailureDomain, near, h.Settings.Region)
	if !ok || first.Name == h.Settings.Host {
		return "", ok
	}
	return first.Name, false
}

// answerWatch answers another host that asks for changes.
func (h *Host) answerWatch(ctx context.Context, _ string, request berylstore.WatchRequest) (berylstore.WatchReply, error) {
	f := h.followers[request.Prefix]
	if f == nil {
		return berylstore.WatchReply{}, errors.Newf("no items under %q are followed", request.Prefix)
	}
	return f.Answer(ctx, request), nil
}
