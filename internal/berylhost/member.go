package berylhost

import (
	"math"
	"net/netip"
)

// State is a member's state as seen by one host.
type State uint8

const (
	// Unknown is a candidate about which this host has received no update yet.
	Unknown State = iota
	// Alive is a member that answers.
	Alive
	// Suspect is a member that has not answered a probe and may still refute the suspicion.
	Suspect
	// Dead is a member that has not refuted the suspicion in time.
	Dead
	// Left is a member that has announced its stop.
	Left
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// isLive reports whether the member is alive or suspect, so that it may be given work.
func (s State) isLive() bool {
	return s == Alive || s == Suspect
}

// Member describes one host and its state. It is also the wire format of membership updates.
type Member struct {
	// Name identifies the host; Boot tells its runs apart.
	Name string `cbor:"1,keyasint"`
	// PeerAddress is the IP address and UDP port where other hosts reach it.
	PeerAddress string `cbor:"2,keyasint"`
	// Region names the host's region. Rank prefers the hosts of one region.
	Region string `cbor:"3,keyasint,omitempty"`
	// FailureDomain names the group of hosts with which the host may fail at the same time.
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	// Boot identifies one run of the host. It grows from run to run.
	Boot uint64 `cbor:"5,keyasint,omitempty"`
	// Incarnation orders the updates about one host. Only the host itself raises it.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// State is the last known state of the host.
	State State `cbor:"7,keyasint,omitempty"`
}

const maxFieldBytes = 64

// supersedes reports whether the update a replaces the update b about the same member.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// isValid reports whether the fields of a received update are well-formed. Updates that are not are ignored.
func (m Member) isValid() bool {
	for _, field := range []string{m.Name, m.PeerAddress, m.Region, m.FailureDomain} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	if m.State < Alive || m.State > Left || m.Incarnation == math.MaxUint64 {
		return false
	}
	_, err := netip.ParseAddrPort(m.PeerAddress)
	return err == nil && m.Name != ""
}
