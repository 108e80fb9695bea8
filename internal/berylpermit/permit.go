package berylpermit

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// Class is the priority class of a piece of work.
type Class uint8

const (
	// Online work has a caller waiting for it.
	Online Class = iota
	// Batch work runs on slots that online work leaves idle.
	Batch
)

// String returns the name used in rules, logs and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Normalized returns the class itself, or Online for a number that names none.
func (c Class) Normalized() Class {
	if c == Batch {
		return Batch
	}
	return Online
}

// ID names one ask, and the permit granted for it, across the fleet.
type ID struct {
	// Host is the asking host's name.
	Host string `cbor:"1,keyasint"`
	// Boot tells one run of that host from the next.
	Boot uint64 `cbor:"2,keyasint"`
	// Seq counts the asks of that run.
	Seq uint64 `cbor:"3,keyasint"`
}

// Request requests a permit for any of the owner's upstreams that serve the target.
type Request struct {
	// ID names the ask; asking again with the same ID is idempotent.
	ID ID `cbor:"1,keyasint"`
	// Target is the model or plain service to be called.
	Target string `cbor:"2,keyasint"`
	// Prefer names upstreams to try first, best first.
	Prefer []string `cbor:"3,keyasint,omitempty"`
	// Avoid names upstreams that must not be granted.
	Avoid []string `cbor:"4,keyasint,omitempty"`
	// Class is the priority class.
	Class Class `cbor:"5,keyasint"`
	// Remaining is the time left until the deadline when the ask was sent; clocks of hosts are never compared.
	Remaining time.Duration `cbor:"6,keyasint"`
	// Tokens is the estimated answer length in tokens.
	Tokens int `cbor:"7,keyasint"`
	// Long marks work whose estimate is over the rules' long-tokens.
	Long bool `cbor:"8,keyasint,omitempty"`
	// Queue lets the owner hold the ask until a slot frees; without it a full owner refuses at once.
	Queue bool `cbor:"9,keyasint,omitempty"`
	// Hedge marks a second permit for a request that already holds one; it is never queued and never preempts.
	Hedge bool `cbor:"10,keyasint,omitempty"`
	// PrefixHash is the hash of the prompt's first blocks, or zero for no affinity.
	PrefixHash uint64 `cbor:"11,keyasint,omitempty"`
	// MaxQueueWait is the longest wait for which it is worth queueing; an owner that predicts more refuses at once. Zero
	// queues for as long as the deadline can be met.
	MaxQueueWait time.Duration `cbor:"12,keyasint,omitempty"`
}

// Verdict is the owner's answer to an ask.
type Verdict uint8

const (
	// Refused means that no permit was given.
	Refused Verdict = iota
	// Granted means that the asking host holds a permit.
	Granted
	// NotOwner means that the asked host owns no upstream of that target.
	NotOwner
	// Queued means that the ask keeps its place in the owner's queue as long as it is sent again now and then.
	Queued
)

// Reply answers an Ask.
type Reply struct {
	// ID names the ask.
	ID ID `cbor:"1,keyasint"`
	// Verdict is the owner's answer.
	Verdict Verdict `cbor:"2,keyasint"`
	// Upstream names the granted upstream.
	Upstream string `cbor:"3,keyasint,omitempty"`
	// Term tells one ownership of that upstream from the next.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// PredictedWait is, on a refusal, the predicted time until a slot frees.
	PredictedWait time.Duration `cbor:"5,keyasint,omitempty"`
	// Loads describes the owner's upstreams for the target.
	Loads []Load `cbor:"6,keyasint,omitempty"`
}

// Load is what an owner knows of one upstream.
type Load struct {
	// Upstream names it.
	Upstream string `cbor:"1,keyasint"`
	// Slots is how many permits the owner gives at most now.
	Slots int `cbor:"2,keyasint"`
	// Online counts the online permits held.
	Online int `cbor:"3,keyasint"`
	// Batch counts the batch permits held.
	Batch int `cbor:"4,keyasint"`
	// Waiting counts the asks queued for it.
	Waiting int `cbor:"5,keyasint"`
	// PredictedWait is the predicted time until an online ask would be granted.
	PredictedWait time.Duration `cbor:"6,keyasint"`
	// Straggler marks an upstream set aside as slow.
	Straggler bool `cbor:"7,keyasint,omitempty"`
	// TimeToFirstToken is the moving mean of the time to the first body byte, or zero when unknown.
	TimeToFirstToken time.Duration `cbor:"8,keyasint,omitempty"`
	// InterTokenLatency is the moving mean of the time between streamed events, or zero when unknown.
	InterTokenLatency time.Duration `cbor:"9,keyasint,omitempty"`
}

// Withdraw tells an owner that an ask is no longer wanted; a permit already granted for it is released.
type Withdraw struct {
	// ID names the ask.
	ID ID `cbor:"1,keyasint"`
}

// Release gives a permit back with what the call has shown.
type Release struct {
	// ID names the permit.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream it was for.
	Upstream string `cbor:"2,keyasint"`
	// Report is what the call has shown.
	Report Report `cbor:"3,keyasint"`
}

// Report is what one call has shown of its upstream.
type Report struct {
	// Kind says how the call ended.
	Kind beryloutcome.Kind `cbor:"1,keyasint"`
	// TimeToFirstToken is the time from the call's start to its first body byte, or zero if none came; of a call that was
	// given up because another one was faster, it is how long it had waited.
	TimeToFirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	// InterTokenLatency is the mean time between streamed events, or zero.
	InterTokenLatency time.Duration `cbor:"3,keyasint,omitempty"`
	// Tokens counts the streamed events.
	Tokens int `cbor:"4,keyasint,omitempty"`
	// HeldFor is how long the permit was held.
	HeldFor time.Duration `cbor:"5,keyasint,omitempty"`
	// Fault marks an end that speaks against the upstream: refused connection, cut answer, garbage, server error or timeout.
	Fault bool `cbor:"6,keyasint,omitempty"`
	// Refused marks a call that the upstream refused unrun.
	Refused bool `cbor:"7,keyasint,omitempty"`
}

// Yield asks the holder of a batch permit to give it back at once.
type Yield struct {
	// ID names the permit.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream it was for.
	Upstream string `cbor:"2,keyasint"`
}

// HeldReport reports all permits a host holds to the owner of their upstreams.
type HeldReport struct {
	// Host is the reporting host's name.
	Host string `cbor:"1,keyasint"`
	// Boot tells one run of that host from the next.
	Boot uint64 `cbor:"2,keyasint"`
	// Permits lists what is held; an owner frees what it counts for this host and does not find here.
	Permits []HeldPermit `cbor:"3,keyasint"`
}

// HeldPermit is one permit in a Held report.
type HeldPermit struct {
	// ID names the permit.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream it is for.
	Upstream string `cbor:"2,keyasint"`
	// Class is the priority class.
	Class Class `cbor:"3,keyasint"`
	// Age is how long it has been held.
	Age time.Duration `cbor:"4,keyasint"`
	// Long marks work over the rules' long-tokens.
	Long bool `cbor:"5,keyasint,omitempty"`
}

// Permit is a held slot of one upstream.
type Permit struct {
	// ID names the permit.
	ID ID
	// Upstream names the upstream to call.
	Upstream string
	// Class is the priority class it was granted for.
	Class Class
	// Yield is closed when the owner wants a batch permit back; nil never yields.
	Yield <-chan struct{}
	// Release gives the permit back; only its first call has an effect, and it never blocks.
	Release func(Report)
}

// Broker obtains permits from owners, wherever they are.
type Broker interface {
	// Acquire waits for a permit until ctx ends or the owner predicts that the deadline cannot be met.
	// The Ask's ID is filled in by the broker. On failure the refusal says when to come back and the request has not run.
	Acquire(ctx context.Context, request Request) (*Permit, *beryloutcome.Refusal)
}
