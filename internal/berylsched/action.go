package berylsched

import (
	"berylroad.example/berylroad/internal/berylpace"
	"berylroad.example/berylroad/internal/berylpermit"
)

// Upstream is the configuration of one upstream.
type Upstream struct {
	// Name is unique among all upstreams.
	Name string
	// Slots is the most calls that it may have in flight.
	Slots int
	// Targets holds the names of the models, or of the service, that it serves.
	Targets []string
	// Leaving marks an upstream that is being drained: it gets no new permits.
	Leaving bool
}

// Config is the part of the inventory and the rules that an Owner uses.
type Config struct {
	// Upstreams are all upstreams of the inventory, owned by this host or not.
	Upstreams []Upstream
	// LongShare is the share of an upstream's slots, from 0 to 1, that long online requests may hold.
	LongShare float64
}

// ActionKind is the type of an Action.
type ActionKind uint8

const (
	// ActionReply sends the reply to a permit request.
	ActionReply ActionKind = iota
	// ActionYield tells the holder of a batch permit to give it back.
	ActionYield
	// ActionLimit announces that an owned upstream's limit has changed.
	ActionLimit
	// ActionHealth announces that an owned upstream was ejected or is back in use.
	ActionHealth
	// ActionPace announces how many slots an owned upstream may use, with AdaptivePace.
	ActionPace
)

// LimitChange is a new limit of an upstream.
type LimitChange struct {
	// Upstream is the upstream's name.
	Upstream string
	// Limit is the limit to which it is held from now on.
	Limit berylpermit.Limit
}

// HealthChange is an ejection of an upstream or its end.
type HealthChange struct {
	// Upstream is the upstream's name.
	Upstream string
	// Ejected is false if the upstream is back in use.
	Ejected bool
	// Cause is why the upstream was ejected: faults, refusals, slowness or the report of its last owner.
	Cause string
	// ReportedBy is the host whose call led to the change, or empty if none did.
	ReportedBy string
}

// PaceChange is a change of the number of slots that an upstream may use.
type PaceChange struct {
	// Upstream is the upstream's name.
	Upstream string
	// Limit is the number that it may use, and Slots the configured one.
	Limit, Slots int
	// Cause is why it may not use all of them.
	Cause berylpace.Cause
}

// Action is an output of the Owner, which its caller carries out.
type Action struct {
	// Kind determines which of the fields below is set.
	Kind ActionKind
	// Reply is for the host named in its ID.
	Reply berylpermit.Reply
	// Yield is for the host named in its ID.
	Yield berylpermit.Yield
	// Limit is for the log.
	Limit LimitChange
	// Health is for the log.
	Health HealthChange
	// Pace is for the log.
	Pace PaceChange
}
