package berylpermit

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpace"
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

// Normalized returns the class itself, or Online for a number that is no class.
func (c Class) Normalized() Class {
	if c == Batch {
		return Batch
	}
	return Online
}

// ID identifies a request for a permit, and the permit granted for it, across all hosts.
type ID struct {
	// Host is the name of the requesting host.
	Host string `cbor:"1,keyasint"`
	// Boot distinguishes the runs of that host's process.
	Boot uint64 `cbor:"2,keyasint"`
	// Seq numbers the requests of that run.
	Seq uint64 `cbor:"3,keyasint"`
}

// Request asks an owner for a permit for any of its upstreams that serve the target.
type Request struct {
	// ID identifies the request; sending it again with the same ID is idempotent.
	ID ID `cbor:"1,keyasint"`
	// Target is the name of the model or plain service to call.
	Target string `cbor:"2,keyasint"`
	// Prefer names the upstreams to try first, in order of preference.
	Prefer []string `cbor:"3,keyasint,omitempty"`
	// Avoid names the upstreams that must not be granted.
	Avoid []string `cbor:"4,keyasint,omitempty"`
	// Class is the priority class.
	Class Class `cbor:"5,keyasint"`
	// Remaining is the time left until the deadline when the request was sent. It is a duration because the clocks of
	// hosts are never compared.
	Remaining time.Duration `cbor:"6,keyasint"`
	// Tokens is the estimated answer length in tokens.
	Tokens int `cbor:"7,keyasint"`
	// Long marks work whose estimated tokens exceed the long-tokens rule.
	Long bool `cbor:"8,keyasint,omitempty"`
	// Queue lets the owner queue the request until a slot is free. Without it, an owner without a free slot refuses
	// at once.
	Queue bool `cbor:"9,keyasint,omitempty"`
	// Hedge marks a request for a second permit by a call that already holds one. It is never queued and never
	// preempts.
	Hedge bool `cbor:"10,keyasint,omitempty"`
	// PrefixHash is the hash of the prompt's first blocks, or zero for no affinity.
	PrefixHash uint64 `cbor:"11,keyasint,omitempty"`
	// MaxQueueWait is the longest acceptable wait in the queue: an owner that predicts a longer one refuses at once.
	// Zero means any wait within the deadline.
	MaxQueueWait time.Duration `cbor:"12,keyasint,omitempty"`
	// Account is the name of the client account that the work is for, or empty.
	Account string `cbor:"13,keyasint,omitempty"`
	// Priority ranks the work within its class; 0 is the highest priority.
	Priority int `cbor:"14,keyasint,omitempty"`
	// PromptTokens is the length of the prompt in tokens, or zero if unknown.
	PromptTokens int `cbor:"15,keyasint,omitempty"`
}

// Verdict is the owner's answer to a request.
type Verdict uint8

const (
	// Refused means that no permit was granted.
	Refused Verdict = iota
	// Granted means that the requesting host holds a permit.
	Granted
	// NotOwner means that the host that received the request owns no upstream of that target.
	NotOwner
	// Queued means that the request keeps its place in the owner's queue as long as it is sent again periodically.
	Queued
)

// Reply answers a Request.
type Reply struct {
	// ID is the ID of the Request that is answered.
	ID ID `cbor:"1,keyasint"`
	// Verdict is the owner's answer.
	Verdict Verdict `cbor:"2,keyasint"`
	// Upstream names the granted upstream.
	Upstream string `cbor:"3,keyasint,omitempty"`
	// Term distinguishes successive ownerships of that upstream.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// PredictedWait is, in a refusal, the predicted time until a slot is free.
	PredictedWait time.Duration `cbor:"5,keyasint,omitempty"`
	// Loads describes the owner's upstreams for the target.
	Loads []Load `cbor:"6,keyasint,omitempty"`
}

// Load is an owner's view of one upstream.
type Load struct {
	// Upstream is the ID of the upstream, as in berylroute.Upstream.
	Upstream string `cbor:"1,keyasint"`
	// Slots is the largest number of permits that the owner currently grants.
	Slots int `cbor:"2,keyasint"`
	// Online counts the online permits held.
	Online int `cbor:"3,keyasint"`
	// Batch counts the batch permits held.
	Batch int `cbor:"4,keyasint"`
	// Waiting counts the requests queued for the upstream.
	Waiting int `cbor:"5,keyasint"`
	// PredictedWait is the predicted time until an online request would be granted.
	PredictedWait time.Duration `cbor:"6,keyasint"`
	// Straggler marks an upstream that is avoided because it is slow.
	Straggler bool `cbor:"7,keyasint,omitempty"`
	// TimeToFirstToken is the moving mean of the time to the first body byte, or zero when unknown.
	TimeToFirstToken time.Duration `cbor:"8,keyasint,omitempty"`
	// InterTokenLatency is the moving mean of the time between streamed events, or zero when unknown.
	InterTokenLatency time.Duration `cbor:"9,keyasint,omitempty"`
	// Limit is the limit to which the owner holds the upstream.
	Limit Limit `cbor:"10,keyasint,omitzero"`
	// Admitted is how many requests the limit admits now; it means nothing without a limit.
	Admitted int `cbor:"11,keyasint,omitempty"`
	// LeavingRun is the run (see Statement.Run) of which an answer has said that it leaves, or zero.
	LeavingRun int64 `cbor:"12,keyasint,omitempty"`
	// Pace is how many slots the upstream may use as far as it has shown that it can handle them, or zero for all.
	Pace int `cbor:"13,keyasint,omitempty"`
	// PaceCause is why Pace is not zero.
	PaceCause berylpace.Cause `cbor:"14,keyasint,omitempty"`
}

// Withdraw tells an owner that a request is no longer wanted. A permit already granted for it is released.
type Withdraw struct {
	// ID is the ID of the Request to withdraw.
	ID ID `cbor:"1,keyasint"`
}

// Release releases a permit and reports on the call.
type Release struct {
	// ID is the ID of the permit to release.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream that the permit was for.
	Upstream string `cbor:"2,keyasint"`
	// Report is what the call showed about the upstream.
	Report Report `cbor:"3,keyasint"`
}

// Report is what one call showed about its upstream.
type Report struct {
	// Kind says how the call ended.
	Kind beryloutcome.Kind `cbor:"1,keyasint"`
	// TimeToFirstToken is the time from the call's start to its first body byte, or zero if none arrived. For a call
	// that was abandoned because another one was faster, it is how long that call had waited.
	TimeToFirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	// InterTokenLatency is the mean time between streamed events, or zero.
	InterTokenLatency time.Duration `cbor:"3,keyasint,omitempty"`
	// Tokens counts the streamed events.
	Tokens int `cbor:"4,keyasint,omitempty"`
	// HeldFor is how long the permit was held.
	HeldFor time.Duration `cbor:"5,keyasint,omitempty"`
	// Fault marks a call whose end counts as a fault of the upstream: a refused connection, a truncated or malformed
	// answer, a server error or a timeout.
	Fault bool `cbor:"6,keyasint,omitempty"`
	// Refused marks a call that the upstream refused without running it.
	Refused bool `cbor:"7,keyasint,omitempty"`
	// Statement is what the call's answer says about the upstream. It is reported when the answer begins, not here.
	Statement Statement `cbor:"-"`
}

// Yield asks the holder of a batch permit to release it at once.
type Yield struct {
	// ID is the ID of the permit to release.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream that the permit is for.
	Upstream string `cbor:"2,keyasint"`
}

// StatementReport tells an owner what an answer of an upstream says about the upstream.
type StatementReport struct {
	// Upstream names the upstream.
	Upstream string `cbor:"1,keyasint"`
	// Statement is what the answer says.
	Statement Statement `cbor:"2,keyasint"`
	// SentAge is how long ago the call was sent.
	SentAge time.Duration `cbor:"3,keyasint"`
}

// HeldReport tells the owner of upstreams which of their permits a host holds.
type HeldReport struct {
	// Host is the reporting host's name.
	Host string `cbor:"1,keyasint"`
	// Boot distinguishes the runs of that host's process.
	Boot uint64 `cbor:"2,keyasint"`
	// Permits lists the held permits. The owner frees permits that it counts for this host and that are not in the
	// list.
	Permits []HeldPermit `cbor:"3,keyasint"`
}

// HeldPermit holds what an owner needs to add a reported permit that another owner granted.
type HeldPermit struct {
	// ID identifies the permit.
	ID ID `cbor:"1,keyasint"`
	// Upstream names the upstream that the permit is for.
	Upstream string `cbor:"2,keyasint"`
	// Class is the priority class.
	Class Class `cbor:"3,keyasint"`
	// Age is how long the permit has been held.
	Age time.Duration `cbor:"4,keyasint"`
	// Long marks work whose estimated tokens exceed the long-tokens rule.
	Long bool `cbor:"5,keyasint,omitempty"`
	// Account is the name of the client account that the work is for, or empty.
	Account string `cbor:"6,keyasint,omitempty"`
}

// Statement is what an answer says about the upstream that gave it. The zero value says nothing.
type Statement struct {
	// Limit is the rate of requests that the upstream accepts.
	Limit Limit `cbor:"1,keyasint,omitzero"`
	// Leaving says that the upstream is about to stop and gets no new requests. A run that has said so never takes it back.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Run is when the run of the upstream that gave the answer started, in milliseconds of Unix time, or zero if its start
	// is not known. Then a later run can't be told from it, so only the upstream's owner is told that it leaves.
	Run int64 `cbor:"3,keyasint,omitempty"`
}

// Limit is what an answer of an upstream says about the rate of requests that the upstream accepts from all hosts
// together. The zero value says nothing.
type Limit struct {
	// Known says that the answer either names a limit or, by naming none, says that there is none.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Limited says that PerSecond holds.
	Limited bool `cbor:"2,keyasint,omitempty"`
	// PerSecond is the number of requests a second; it is neither negative nor infinite.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// ParseLimit returns the limit that an answer names, in requests a second. It says nothing if the text is no such number.
func ParseLimit(text string) Limit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{}
	}
	return Limit{Known: true, Limited: true, PerSecond: perSecond}
}

// Permit is a held slot of one upstream.
type Permit struct {
	// ID identifies the permit.
	ID ID
	// GrantedBy names the owner that granted the permit. It is empty if the holder granted it itself.
	GrantedBy string
	// Upstream names the upstream to call.
	Upstream string
	// Class is the priority class that the permit was granted for.
	Class Class
	// Yield is closed when the owner wants a batch permit back; a nil channel means that it never does.
	Yield <-chan struct{}
	// Release releases the permit. It never blocks, and only its first call has an effect.
	Release func(Report)
	// OnStatement receives what the call's answer says about the upstream; it may be nil.
	OnStatement func(Statement)
}

// ReportStatement reports what the call's answer says about the upstream. It never blocks, and must be called before the
// answer is passed on.
func (p *Permit) ReportStatement(s Statement) {
	if p.OnStatement != nil && (s.Limit.Known || s.Leaving) {
		p.OnStatement(s)
	}
}

// Broker acquires permits from the owners of upstreams, on this host or others.
type Broker interface {
	// Acquire waits for a permit until ctx ends or the owner predicts that the deadline cannot be met. The broker
	// fills in the request's ID. If it fails, the request has not run and the refusal says when to try again.
	Acquire(ctx context.Context, request Request) (*Permit, *beryloutcome.Refusal)
}
