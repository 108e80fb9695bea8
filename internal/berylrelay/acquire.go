package berylrelay

import (
	"context"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// acquire waits for a permit for an upstream that has not been tried yet.
func (x *exchange) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	began := time.Now()
	defer func() { x.permitWait += time.Since(began) }()
	target, err := x.target(ctx)
	if err != nil {
		return nil, x.notRunRefusal(versionRetryAfter)
	}
	if x.possibleRuns == 0 {
		var cancel context.CancelFunc
		ctx, cancel = x.Stop.AwaitStart(ctx, x.drainRequest())
		defer cancel()
	}
	for {
		permit, refusal := x.Permits.Acquire(ctx, x.permitRequest(target))
		if refusal == nil || time.Since(began) > maxOriginWait || !x.awaitOrigin(ctx) {
			return permit, refusal
		}
	}
}

// permitRequest returns the request for a permit. Without accounts it names neither account nor priority nor prompt, so that the
// scheduler orders requests as it did before there were accounts.
func (x *exchange) permitRequest(target string) berylpermit.Request {
	request := berylpermit.Request{
		Target:       target,
		Avoid:        x.avoidedUpstreams(),
		Class:        berylpermit.Online,
		Remaining:    time.Until(x.request.Deadline),
		Tokens:       x.request.Tokens,
		Queue:        true,
		PrefixHash:   x.request.PrefixHash,
		MaxQueueWait: x.maxQueueWait(),
	}
	if x.request.HasAccounts {
		request.Account = x.request.accountName()
		request.Priority = x.request.Route.PriorityOf(x.request.Account)
		request.PromptTokens = x.request.PromptTokens
	}
	return request
}

// maxQueueWait returns how long the request may queue and still be answered in time; zero means no limit. A request
// that may have run already, or whose caller has events, waits for as long as its deadline allows, since a refusal would
// waste the events that have arrived.
func (x *exchange) maxQueueWait() time.Duration {
	if x.possibleRuns > 0 || x.hasOrigin {
		return 0
	}
	return time.Duration(maxQueueWaitShare * float64(x.request.Route.FirstEventTarget))
}

// avoidedUpstreams returns the upstreams that must not be granted: those that were tried, and those that this host
// knows to be leaving, since an owner that is cut off from the store may not know it.
func (x *exchange) avoidedUpstreams() []string {
	return slices.Concat(x.triedUpstreams, x.Upstreams.LeavingIDs(x.service))
}

// mayStart reports whether this host, which may be about to stop, still sends the request to a first upstream. A request that may have
// run goes on: its caller learns nothing better from a refusal.
func (x *exchange) mayStart() bool {
	return x.possibleRuns > 0 || x.Stop.Admits(x.drainRequest(), time.Now())
}

// drainRequest returns what a planned stop needs to know of the request.
func (x *exchange) drainRequest() beryldrain.Request {
	return beryldrain.Request{Route: x.request.Route.Name, Tokens: x.request.Tokens, Deadline: x.request.Deadline}
}
