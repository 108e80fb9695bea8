package berylhost

import "time"

// Event is an input of a Table.
type Event interface{ event() }

// Tick says that time has passed; it is due every TickInterval.
type Tick struct{}

// Candidates replaces the hosts that the inventory and the platform's host list name.
type Candidates struct {
	// Members are the candidates; their Boot, Incarnation and State are ignored.
	Members []Member
}

// GossipReceived is gossip that came with a peer's probe; a Reply follows at once.
type GossipReceived struct {
	// From is the authenticated name of the peer.
	From string
	// Gossip is what it told.
	Gossip Gossip
}

// Acked says that a probe, relay or sync has been answered.
type Acked struct {
	// Seq is that of the send action.
	Seq uint64
	// From is the authenticated name of the peer.
	From string
	// Gossip is what the probed member told; for a sync its News is the whole table.
	Gossip Gossip
}

// NoReply says that a probe, relay or sync has had no answer.
type NoReply struct {
	// Seq is that of the send action.
	Seq uint64
}

// RelayRequested says that a peer wants the target probed; a SendProbe follows at once.
type RelayRequested struct {
	// Target is the member to probe.
	Target Member
}

// SyncRequested says that a peer wants the whole table; a ReplySync follows at once.
type SyncRequested struct {
	// From is the authenticated name of the peer.
	From string
	// Self is the peer as it sees itself.
	Self Member
}

// Leave announces this host's stop.
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

// SendProbe asks for a probe; an Acked or a Missed with its Seq must follow.
type SendProbe struct {
	// Seq names the probe.
	Seq uint64
	// To is the member to probe.
	To Member
	// Gossip goes with it.
	Gossip Gossip
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// SendRelay asks for a probe through another member; an Acked or a Missed with its Seq must follow.
type SendRelay struct {
	// Seq names the relay.
	Seq uint64
	// Via is the member to ask.
	Via Member
	// Target is the member to be probed.
	Target Member
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// SendSync asks for a member's whole table; an Acked or a Missed with its Seq must follow.
type SendSync struct {
	// Seq names the sync.
	Seq uint64
	// To is the member to ask.
	To Member
	// Self goes with it.
	Self Member
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// Reply answers a Heard.
type Reply struct {
	// Gossip goes back to the peer.
	Gossip Gossip
}

// ReplySync answers a SyncAsked.
type ReplySync struct {
	// Members is the whole table.
	Members []Member
}

// ViewChanged says that Live gives another list; Set tells a change of the hosts, their runs or addresses from one of
// suspicions alone.
type ViewChanged struct {
	// Members says that hosts, runs or addresses have changed.
	Members bool
}

// StateChanged says that a member's state has changed.
type StateChanged struct {
	// Member is the member in its new state.
	Member Member
	// From is the old state.
	From State
}

// PauseDetected says that this host had been paused, so that whatever it believed to own may have passed to others.
type PauseDetected struct {
	// Pause is how long it was paused.
	Pause time.Duration
}

// Replaced says that a later run of this host is up elsewhere.
type Replaced struct{}

// Joined says that the first peer has been heard, or that there is none to wait for.
type Joined struct {
	// Alone says that no candidate has answered.
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
