package berylstore

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// coalesceWindow is how long a request waits for other requests to the same host.
	coalesceWindow = 20 * time.Millisecond
	// minAlignedWait is the shortest wait of a call that is shortened to end together with a call in flight.
	minAlignedWait = 100 * time.Millisecond
	// maxCoalesced is the maximum number of requests in one call; a host follows only a handful of prefixes.
	maxCoalesced = 16
)

// errReplyMissing is the error of a request that the other host has left out of its reply.
var errReplyMissing = errors.New("the other host has answered fewer requests than were sent")

// WatchCoalescer combines the watch requests of a host's followers to another host into few calls. Requests made within
// coalesceWindow go in one call. A call that starts while another is in flight is set to end with it, so that the
// following requests coincide.
type WatchCoalescer struct {
	// Send asks another host for the changes under several prefixes. That host replies to all requests together, at the
	// first change under any of the prefixes.
	Send func(ctx context.Context, host string, requests []WatchRequest) ([]WatchReply, error)

	mu    sync.Mutex
	hosts map[string]*coalescedHost
}

// coalescedHost is the state of the calls to one host.
type coalescedHost struct {
	// next is the call that is being assembled; nil if there is none.
	next *coalescedCall
	// waitEnds is when the wait of the most recently sent call ends.
	waitEnds time.Time
}

// coalescedCall is a call that carries several requests.
type coalescedCall struct {
	requests []WatchRequest
	deadline time.Time // when the shortest wait of the requests ends
	done     chan struct{}
	replies  []WatchReply
	err      error
}

// Request asks another host for the changes under one prefix, in one call with other requests of this host.
func (c *WatchCoalescer) Request(ctx context.Context, host string, request WatchRequest) (WatchReply, error) {
	call, index := c.join(host, request)
	select {
	case <-ctx.Done():
		return WatchReply{}, ctx.Err()
	case <-call.done:
	}
	if call.err != nil {
		return WatchReply{}, call.err
	}
	if index >= len(call.replies) {
		return WatchReply{}, errReplyMissing
	}
	return call.replies[index], nil
}

// join adds a request to the next call to a host, and schedules that call if there is none. It returns the call and the
// index of the request.
func (c *WatchCoalescer) join(host string, request WatchRequest) (*coalescedCall, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts == nil {
		c.hosts = make(map[string]*coalescedHost)
	}
	h := c.hosts[host]
	if h == nil {
		h = &coalescedHost{}
		c.hosts[host] = h
	}
	waitEnds := time.Now().Add(request.Wait)
	call := h.next
	if call == nil {
		call = &coalescedCall{deadline: waitEnds, done: make(chan struct{})}
		h.next = call
		time.AfterFunc(coalesceWindow, func() { c.send(host, call) })
	}
	if waitEnds.Before(call.deadline) {
		call.deadline = waitEnds
	}
	call.requests = append(call.requests, request)
	if len(call.requests) == maxCoalesced {
		h.next = nil // the call is full: its timer sends it, and the next request starts a new call
	}
	return call, len(call.requests) - 1
}

// send makes a call; no further request can join it.
func (c *WatchCoalescer) send(host string, call *coalescedCall) {
	c.mu.Lock()
	h := c.hosts[host]
	if h.next == call {
		h.next = nil
	}
	now := time.Now()
	ends := call.deadline
	if h.waitEnds.Before(ends) && h.waitEnds.Sub(now) >= minAlignedWait {
		ends = h.waitEnds
	}
	h.waitEnds = ends
	c.mu.Unlock()
	wait := max(ends.Sub(now), 0)
	for i := range call.requests {
		call.requests[i].Wait = wait
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+peerSlack)
	defer cancel()
	call.replies, call.err = c.Send(ctx, host, call.requests)
	close(call.done)
}

// ServeWatches serves the watch requests of another host. It replies to all of them at the first change under any of
// the prefixes, when the shortest wait of the requests ends, or at once if it lacks the changes that one of them asks
// for.
func ServeWatches(ctx context.Context, requests []WatchRequest, follower func(prefix string) *Follower) ([]WatchReply, error) {
	if len(requests) == 0 || len(requests) > maxCoalesced {
		return nil, errors.Newf("the call has %d watch requests, want 1 to %d", len(requests), maxCoalesced)
	}
	followers := make([]*Follower, len(requests))
	wait := maxPeerWait
	for i, request := range requests {
		if followers[i] = follower(request.Prefix); followers[i] == nil {
			return nil, errors.Newf("prefix %q is not followed on this host", request.Prefix)
		}
		wait = min(wait, request.Wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	replies := make([]WatchReply, len(requests))
	cases := make([]reflect.SelectCase, len(requests)+2)
	cases[len(requests)] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(timer.C)}
	cases[len(requests)+1] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())}
	for ready := false; ; {
		for i, f := range followers {
			var changed <-chan struct{}
			replies[i], changed = f.reply(requests[i].AfterRevision)
			ready = ready || !replies[i].Complete || len(replies[i].Events) > 0
			cases[i] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(changed)}
		}
		if ready {
			return replies, nil
		}
		switch chosen, _, _ := reflect.Select(cases); chosen {
		case len(requests):
			ready = true // the wait is over: reply even if there are no changes
		case len(requests) + 1:
			return nil, ctx.Err()
		}
	}
}
