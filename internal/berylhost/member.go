package berylhost

import (
	"math"
	"net/netip"
)

// State is what is believed of a member.
type State uint8

const (
	// Unknown marks a candidate that nobody has heard of yet.
	Unknown State = iota
	// Alive marks a member that answers.
	Alive
	// Suspect marks a member that has not answered and may still refute it.
	Suspect
	// Dead marks a member that has not refuted the suspicion in time.
	Dead
	// Left marks a member that has announced its stop.
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

// isLive says whether the member may be given work.
func (s State) isLive() bool {
	return s == Alive || s == Suspect
}

// Member is one host and what is believed of it; it is also the form in which news of it travels.
type Member struct {
	// Name is the host's name.
	Name string `cbor:"1,keyasint"`
	// PeerAddress is the IP address and UDP port where other hosts reach it.
	PeerAddress string `cbor:"2,keyasint"`
	// Region names the host's region.
	Region string `cbor:"3,keyasint,omitempty"`
	// FailureDomain names the host's failure domain.
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	// Boot tells one run of the host from the next and grows from run to run.
	Boot uint64 `cbor:"5,keyasint,omitempty"`
	// Incarnation orders the news of one host; only the host itself raises it.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// State is what is believed of it.
	State State `cbor:"7,keyasint,omitempty"`
}

const maxFieldBytes = 64

// supersedes says whether the news a replaces b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// isValid says whether news may be believed at all.
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
