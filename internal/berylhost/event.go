package berylhost

import "time"

// Event is an input of a Table.
type Event interface{ event() }

// Tick advances the time. The caller sends one every TickInterval.
type Tick struct{}

// Candidates replaces the list of hosts named by the inventory and by the platform's host list.
type Candidates struct {
	// Members are the candidates. Their Boot, Incarnation and State are ignored.
	Members []Member
}

// GossipReceived delivers the gossip of a peer's probe. Step returns a Reply for it.
type GossipReceived struct {
	// From is the authenticated name of the peer.
	From string
	// Gossip holds the membership updates in the probe.
	Gossip Gossip
}

// Acked reports the answer to a probe, relay or sync.
type Acked struct {
	// Seq is the Seq of the answered SendProbe, SendRelay or SendSync.
	Seq uint64
	// From is the name of the member that was probed or, for a sync, asked for its table.
	From string
	// Gossip is the answer of the probed member. For a sync, Updates holds the peer's whole table.
	Gossip Gossip
}

// NoReply reports that a probe, relay or sync failed or timed out.
type NoReply struct {
	// Seq is the Seq of the failed SendProbe, SendRelay or SendSync.
	Seq uint64
}

// RelayRequested reports that a peer asked this host to probe the target. Step returns a SendProbe for it.
type RelayRequested struct {
	// Target is the member to probe.
	Target Member
}

// SyncRequested reports that a peer asked for the whole table. Step returns a ReplySync for it.
type SyncRequested struct {
	// From is the authenticated name of the peer.
	From string
	// Self is the peer's own entry.
	Self Member
}

// Leave makes this host announce that it stops.
type Leave struct{}

func (Tick) event()           {}
func (Candidates) event()     {}
func (GossipReceived) event() {}
func (Acked) event()          {}
func (NoReply) event()        {}
func (RelayRequested) event() {}
func (SyncRequested) event()  {}
func (Leave) event()          {}

// Action is an output of a Table.
type Action interface{ action() }

// SendProbe requests a probe. The caller must follow it with an Acked or a NoReply that has the same Seq.
type SendProbe struct {
	// Seq identifies the probe in the Acked or NoReply for it.
	Seq uint64
	// To is the member to probe.
	To Member
	// Gossip is sent with the probe.
	Gossip Gossip
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// SendRelay requests an indirect probe through another member. The caller must follow it with an Acked or a NoReply
// that has the same Seq.
type SendRelay struct {
	// Seq identifies the relay in the Acked or NoReply for it.
	Seq uint64
	// Via is the member that sends the probe.
	Via Member
	// Target is the member to be probed.
	Target Member
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// SendSync requests a member's whole table. The caller must follow it with an Acked or a NoReply that has the same Seq.
type SendSync struct {
	// Seq identifies the sync in the Acked or NoReply for it.
	Seq uint64
	// To is the member to ask.
	To Member
	// Self is this host's entry, which is sent with the request.
	Self Member
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// Reply answers a GossipReceived.
type Reply struct {
	// Gossip is sent back to the peer.
	Gossip Gossip
}

// ReplySync answers a SyncRequested.
type ReplySync struct {
	// Members lists this host and all members that are not in state Unknown.
	Members []Member
}

// ViewChanged reports that the list returned by Live has changed.
type ViewChanged struct {
	// Members is true when hosts, their runs or their addresses have changed, and false when only states changed, such
	// as a member that became suspect.
	Members bool
}

// StateChanged reports the new state of a member.
type StateChanged struct {
	// Member is the member in its new state.
	Member Member
	// From is the old state.
	From State
}

// PauseDetected reports that this process was paused. Other hosts may have taken over whatever this host owned.
type PauseDetected struct {
	// Pause is the time between the last two ticks.
	Pause time.Duration
}

// Replaced reports that a later run of this host is up elsewhere.
type Replaced struct{}

// Joined reports that this host has heard from a peer for the first time, or that there is no peer to wait for.
type Joined struct {
	// Alone is true when no candidate has answered.
	Alone bool
}

func (SendProbe) action()     {}
func (SendRelay) action()     {}
func (SendSync) action()      {}
func (Reply) action()         {}
func (ReplySync) action()     {}
func (ViewChanged) action()   {}
func (StateChanged) action()  {}
func (PauseDetected) action() {}
func (Replaced) action()      {}
func (Joined) action()        {}
