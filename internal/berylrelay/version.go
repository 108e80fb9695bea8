package berylrelay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

// errRouteMoved refuses a stream that a caller takes up after the route has moved to other services.
var errRouteMoved = errors.New("the route no longer leads to the service that began the stream")

// keepsVersion reports whether the request is for a stream that may go on, so that it has to stay at one version.
func (x *exchange) keepsVersion() bool {
	return x.Versions != nil && x.request.Route.MayResume()
}

// resolveOrigin finds out where the stream began that the caller takes up.
func (x *exchange) resolveOrigin(ctx context.Context) error {
	if !x.keepsVersion() || !x.request.TakesUp {
		return nil
	}
	services := x.request.Route.Services()
	origin, source := x.Versions.Resolve(ctx, services, x.request.FirstAttempt)
	x.originSource = source
	if source == berylversion.SourceUnknown {
		return berylversion.ErrUnknownOrigin
	}
	if !slices.Contains(services, origin.Service) {
		return errRouteMoved
	}
	x.origin, x.hasOrigin, x.service = origin, true, origin.Service
	return nil
}

// resultUnknownOrigin refuses a stream that no upstream is known to be able to continue.
func (x *exchange) resultUnknownOrigin(err error) beryloutcome.Result {
	x.cause = err
	return x.result(beryloutcome.NotRun, x.notRunRefusal(versionRetryAfter))
}

// target returns the scheduler's target for the next call: the upstreams at the stream's version, or those at the version
// at which it is to begin. Where none may begin streams yet, it waits as long as the request may queue.
func (x *exchange) target(ctx context.Context) (string, error) {
	if !x.keepsVersion() {
		return x.service, nil
	}
	if x.hasOrigin {
		return berylconf.VersionTarget(x.service, x.origin.Version), nil
	}
	version, only, err := x.Versions.Choose(x.service)
	for waited := time.Duration(0); err != nil && waited < x.maxQueueWait(); waited += versionPollInterval {
		if !pause(ctx, versionPollInterval) {
			break
		}
		version, only, err = x.Versions.Choose(x.service)
	}
	if err != nil {
		x.cause = err
		return "", err
	}
	if only {
		return x.service, nil // all requests of the service share one queue
	}
	return berylconf.VersionTarget(x.service, version), nil
}

// admitsVersion reports whether an upstream may begin the stream or go on with it.
func (x *exchange) admitsVersion(upstream *berylroute.Upstream) bool {
	if !x.keepsVersion() {
		return true
	}
	if x.hasOrigin {
		return upstream.Version == x.origin.Version
	}
	return x.Versions.MayBegin(upstream.Service, upstream.Version)
}

// awaitOrigin pauses a stream that has found no permit at its version, and reports whether to try again: there is an
// upstream of the version that has not been tried.
func (x *exchange) awaitOrigin(ctx context.Context) bool {
	if !x.hasOrigin || !x.hasUntriedUpstream() {
		return false
	}
	return pause(ctx, originRetryInterval)
}

// pause waits for the given time and reports whether it has passed before ctx ended.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (x *exchange) hasUntriedUpstream() bool {
	return hasUntried(x.Upstreams, x.service, x.triedUpstreams, func(u *berylroute.Upstream) bool { return u.Version == x.origin.Version })
}

// recordOrigin notes where the stream began when its first part is passed on.
func (x *exchange) recordOrigin() {
	if !x.keepsVersion() || x.originRecorded {
		return
	}
	x.originRecorded = true
	x.origin, x.hasOrigin = berylversion.Origin{Service: x.service, Version: x.calledUpstream.Version}, true
	if x.request.TakesUp && x.request.FirstAttempt != "" {
		x.Versions.Record(x.origin, x.request.FirstAttempt, x.request.ID)
		return
	}
	x.Versions.Record(x.origin, x.request.ID)
}
