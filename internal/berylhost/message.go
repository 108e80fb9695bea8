package berylhost

import "berylroad.example/berylroad/internal/berylpermit"

const (
	kindProbe = "member-probe"
	kindRelay = "member-relay"
	kindSync  = "member-sync"

	maxUpdates = 16
	maxLoads   = 6
	maxMembers = 2048
)

// Digest is the data that hosts piggyback on probes besides membership updates.
type Digest struct {
	// Revision is the revision of the sender's configuration.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Loads describes some of the upstreams that the sender owns. Sender and receiver drop all but the first 6.
	Loads []berylpermit.Load `cbor:"2,keyasint,omitempty"`
}

// truncated returns the digest with at most maxLoads loads.
func (d Digest) truncated() Digest {
	if len(d.Loads) > maxLoads {
		d.Loads = d.Loads[:maxLoads]
	}
	return d
}

// Gossip holds the membership updates of one message: the sender's own entry and a bounded number of others.
type Gossip struct {
	// Self is the sender's own entry.
	Self Member `cbor:"1,keyasint"`
	// Updates lists some other members in the state in which the sender sees them.
	Updates []Member `cbor:"2,keyasint,omitempty"`
}

// Probe checks whether a member is up. The answer is a Probe too.
type Probe struct {
	// Gossip holds the sender's membership updates.
	Gossip Gossip `cbor:"1,keyasint"`
	// Digest describes the sender's configuration and upstreams.
	Digest Digest `cbor:"2,keyasint"`
}

// Relay asks a member to probe another member.
type Relay struct {
	// Target is the member to probe.
	Target Member `cbor:"1,keyasint"`
}

// RelayReply is the result of a relayed probe.
type RelayReply struct {
	// Reached is true when the target answered.
	Reached bool `cbor:"1,keyasint"`
	// Gossip holds the membership updates in the target's answer.
	Gossip Gossip `cbor:"2,keyasint"`
}

// Sync asks a member for its whole table.
type Sync struct {
	// Self is the sender's own entry.
	Self Member `cbor:"1,keyasint"`
}

// SyncReply is a whole table.
type SyncReply struct {
	// Members lists all members that the sender knows of, starting with its own entry.
	Members []Member `cbor:"1,keyasint"`
}
