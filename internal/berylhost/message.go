package berylhost

import "berylroad.example/berylroad/internal/berylpermit"

const (
	kindProbe = "member-probe"
	kindRelay = "member-relay"
	kindSync  = "member-sync"

	maxNews    = 16
	maxLoads   = 6
	maxMembers = 2048
)

// Digest is what hosts tell each other on every probe besides the members' news.
type Digest struct {
	// Revision is that of the sender's configuration.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Loads describes some of the upstreams that the sender owns; more than 6 are cut off.
	Loads []berylpermit.Load `cbor:"2,keyasint,omitempty"`
}

// truncated returns the digest with its surplus loads cut off.
func (d Digest) truncated() Digest {
	if len(d.Loads) > maxLoads {
		d.Loads = d.Loads[:maxLoads]
	}
	return d
}

// Gossip is what a host tells of the members: itself and a bounded number of others.
type Gossip struct {
	// Self is the sender as it sees itself.
	Self Member `cbor:"1,keyasint"`
	// News lists some members as the sender sees them.
	News []Member `cbor:"2,keyasint,omitempty"`
}

// Probe asks a member whether it is up; the answer is a Probe too.
type Probe struct {
	// Gossip tells of the members.
	Gossip Gossip `cbor:"1,keyasint"`
	// Digest tells of the sender's configuration and upstreams.
	Digest Digest `cbor:"2,keyasint"`
}

// Relay asks a member to probe another one.
type Relay struct {
	// Target is the member to probe.
	Target Member `cbor:"1,keyasint"`
}

// RelayReply says what came of a relayed probe.
type RelayReply struct {
	// Reached says whether the target answered.
	Reached bool `cbor:"1,keyasint"`
	// Gossip is the target's answer.
	Gossip Gossip `cbor:"2,keyasint"`
}

// Sync asks a member for its whole table.
type Sync struct {
	// Self is the sender as it sees itself.
	Self Member `cbor:"1,keyasint"`
}

// SyncReply is a whole table.
type SyncReply struct {
	// Members lists all that the sender has heard of, itself included.
	Members []Member `cbor:"1,keyasint"`
}
