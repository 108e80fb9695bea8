package berylstore

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// coalesceWindow is how long an ask waits for the others of its host to go with it.
	coalesceWindow = 20 * time.Millisecond
	// minAlignedWait is the shortest wait of a call that is to end with another one under way.
	minAlignedWait = 100 * time.Millisecond
	// maxCoalesced bounds the asks of one call; a host follows a handful of prefixes.
	maxCoalesced = 16
)

// errReplyMissing ends an ask that the other host has left out of its answer.
var errReplyMissing = errors.New("the other host has answered fewer asks than were sent")

// WatchCoalescer sends what a host's followers ask the host that watches for it in as few calls as it can: asks that come together
// go in one call, and a call that begins beside another one ends with it, so that the next ones come together.
type WatchCoalescer struct {
	// Send asks another host for the changes under several prefixes; it answers each, at the first change under any.
	Send func(ctx context.Context, host string, requests []WatchRequest) ([]WatchReply, error)

	mu    sync.Mutex
	hosts map[string]*coalescedHost
}

// coalescedHost is what is asked of one host.
type coalescedHost struct {
	next *coalescedCall
	// waitEnds is when the wait of the call under way that was sent last is over.
	waitEnds time.Time
}

// coalescedCall is asks that go together.
type coalescedCall struct {
	requests []WatchRequest
	deadline time.Time // by when the first of them wants an answer
	done     chan struct{}
	replies  []WatchReply
	err      error
}

// Request asks another host for the changes under one prefix, in one call with others of this host.
func (j *WatchCoalescer) Request(ctx context.Context, host string, request WatchRequest) (WatchReply, error) {
	call, index := j.join(host, request)
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

// join adds an ask to the next call to a host, which it plans where there is none.
func (j *WatchCoalescer) join(host string, request WatchRequest) (*coalescedCall, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hosts == nil {
		j.hosts = make(map[string]*coalescedHost)
	}
	h := j.hosts[host]
	if h == nil {
		h = &coalescedHost{}
		j.hosts[host] = h
	}
	latest := time.Now().Add(request.Wait)
	call := h.next
	if call == nil {
		call = &coalescedCall{deadline: latest, done: make(chan struct{})}
		h.next = call
		time.AfterFunc(coalesceWindow, func() { j.send(host, call) })
	}
	if latest.Before(call.deadline) {
		call.deadline = latest
	}
	call.requests = append(call.requests, request)
	if len(call.requests) == maxCoalesced {
		h.next = nil // its timer sends it
	}
	return call, len(call.requests) - 1
}

// send makes a call; no ask joins it any more.
func (j *WatchCoalescer) send(host string, call *coalescedCall) {
	j.mu.Lock()
	h := j.hosts[host]
	if h.next == call {
		h.next = nil
	}
	now := time.Now()
	ends := call.deadline
	if h.waitEnds.Before(ends) && h.waitEnds.Sub(now) >= minAlignedWait {
		ends = h.waitEnds
	}
	h.waitEnds = ends
	j.mu.Unlock()
	wait := max(ends.Sub(now), 0)
	for i := range call.requests {
		call.requests[i].Wait = wait
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+peerSlack)
	defer cancel()
	call.replies, call.err = j.Send(ctx, host, call.requests)
	close(call.done)
}

// ServeWatches answers another host that asks for the changes under several prefixes, at the first change under any of them or
// once the shortest of their waits is over.
func ServeWatches(ctx context.Context, requests []WatchRequest, follower func(prefix string) *Follower) ([]WatchReply, error) {
	if len(requests) == 0 || len(requests) > maxCoalesced {
		return nil, errors.Newf("%d prefixes are asked for; ask for 1 to %d", len(requests), maxCoalesced)
	}
	followers := make([]*Follower, len(requests))
	wait := maxPeerWait
	for i, request := range requests {
		if followers[i] = follower(request.Prefix); followers[i] == nil {
			return nil, errors.Newf("no items under %q are followed", request.Prefix)
		}
		wait = min(wait, request.Wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	replies := make([]WatchReply, len(requests))
	wakes := make([]reflect.SelectCase, len(requests)+2)
	wakes[len(requests)] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(timer.C)}
	wakes[len(requests)+1] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())}
	for over := false; ; {
		for i, f := range followers {
			var changed <-chan struct{}
			replies[i], changed = f.reply(requests[i].AfterRevision)
			over = over || !replies[i].Complete || len(replies[i].Events) > 0
			wakes[i] = reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(changed)}
		}
		if over {
			return replies, nil
		}
		switch chosen, _, _ := reflect.Select(wakes); chosen {
		case len(requests):
			over = true // answered with what is known by now
		case len(requests) + 1:
			return nil, ctx.Err()
		}
	}
}
