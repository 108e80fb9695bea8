package berylsched

import "berylroad.example/berylroad/internal/berylpermit"

// Upstream is what an owner must know of an upstream.
type Upstream struct {
	// Name is unique in the fleet.
	Name string
	// Slots is how many calls it may have in flight.
	Slots int
	// Targets names the models or the service it serves.
	Targets []string
	// Leaving marks an upstream that gets no new permit.
	Leaving bool
}

// Config is the part of the inventory and the rules that an owner follows.
type Config struct {
	// Upstreams are all upstreams of the inventory.
	Upstreams []Upstream
	// LongShare is the share of an upstream's slots, from 0 to 1, that long online requests may hold.
	LongShare float64
}

// ActionKind says what an action does.
type ActionKind uint8

const (
	// ActionReply answers an ask.
	ActionReply ActionKind = iota
	// ActionYield tells a holder to give a batch permit back.
	ActionYield
)

// Action is what the owner wants done.
type Action struct {
	// Kind says which of the fields below is set.
	Kind ActionKind
	// Reply goes to the host named in its ID.
	Reply berylpermit.Reply
	// Yield goes to the host named in its ID.
	Yield berylpermit.Yield
}
