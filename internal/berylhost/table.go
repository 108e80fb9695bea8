package berylhost

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TickInterval is the time between two ticks.
	TickInterval = 100 * time.Millisecond
	// PauseTimeout is the time without a tick after which the process counts as having been paused.
	PauseTimeout = suspicionTimeout

	// probeInterval is the time between two probes of partners. While there are suspects, this host also probes a random
	// member at this interval.
	probeInterval = time.Second
	// windowInterval is the time after which the window of partners, the partnerCount other members that this host
	// probes in turn, moves on by one member.
	windowInterval = 10 * time.Second
	// successorInterval is the time between two probes of ring successors.
	successorInterval = 500 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	// relayTimeout is how long a host that has asked another one for an indirect probe waits for the result.
	relayTimeout = 600 * time.Millisecond
	// relayedProbeTimeout is how long the host that sends the indirect probe waits for the target's answer.
	relayedProbeTimeout = 400 * time.Millisecond
	syncTimeout         = time.Second
	// suspicionTimeout is how long a suspect may refute the suspicion if this host's own probes of it have failed.
	suspicionTimeout = 1800 * time.Millisecond
	// reportedSuspicionTimeout is how long a suspect may refute a suspicion that only other hosts have reported.
	reportedSuspicionTimeout = 3500 * time.Millisecond
	// reportedDeathTimeout is how long a member may refute a reported death if this host did not suspect it before.
	reportedDeathTimeout = time.Second
	// recheckInterval is the time between two probes of a suspect.
	recheckInterval = 400 * time.Millisecond
	// replacedTimeout is the time from the first report of a run of this host with a higher Boot until this run counts as
	// replaced.
	replacedTimeout = 5 * time.Second
	// pushInterval is the least time between two pushes of changes to peers.
	pushInterval = 500 * time.Millisecond
	// searchInterval is the time between two searches for candidates in state Unknown.
	searchInterval = time.Second
	// downProbeInterval is the time between two probes of a random candidate that is down.
	downProbeInterval = 5 * time.Second
	// searchDuration is how long after the arrival of a new candidate the searches continue.
	searchDuration = 30 * time.Second
	// joinTimeout is how long this host waits for the first peer after the first non-empty candidate list has arrived.
	joinTimeout = 3 * time.Second
	// forgetTimeout is the time after which a member that is not live and not a candidate is removed from the table.
	forgetTimeout = 2 * time.Minute

	// relayCount is how many members are asked to probe a member that has not answered.
	relayCount = 3
	// searchCount is how many candidates in state Unknown are probed in one search.
	searchCount = 3
	// successorCount is how many successors on the ring a host probes in turn.
	successorCount = 4
	// partnerCount is the number of members in the window of partners.
	partnerCount = 4
	// leaveCount is how many members are notified at once when this host stops.
	leaveCount = 8
	// pushCount is how many members pushChanges notifies of a change.
	pushCount = 2
	// maxPendingCalls is the number of unanswered calls from which on no more probes are sent.
	maxPendingCalls = 64
	// maxBackfill is how many members a message may include besides those with a queued update.
	maxBackfill = 3
	// retransmitFactor is the factor before the logarithm in retransmitLimit.
	retransmitFactor = 3
)

// Table is one host's view of the members: a state machine without clock, goroutines or I/O.
type Table struct {
	// Self is this host. Its Boot must grow from run to run.
	Self Member
	// Seed seeds the random choices, so that tests are repeatable.
	Seed uint64

	random   *rand.Rand
	entries  map[string]*entry
	views    views
	suspects map[string]*entry
	updates  updateQueue
	pending  map[uint64]*pendingCall
	seq      uint64

	candidatesAt       time.Time // arrival of the first non-empty candidate list; zero before it
	lastTick           time.Time
	nextSuccessorProbe time.Time
	nextPartnerProbe   time.Time
	nextWindowShift    time.Time
	nextExtraProbe     time.Time
	nextSearch         time.Time
	nextDownProbe      time.Time
	searchUntil        time.Time
	nextPush           time.Time
	laterRunAt         time.Time // time of the first report of a run of this host with a higher Boot; zero if there is none
	replaced           bool
	pushNeeded         bool // true if pushChanges has to notify peers of a change
	joined             bool
	syncNeeded         bool
	syncing            bool

	actions []Action
}

// entry is the state kept for one other member.
type entry struct {
	Member
	candidate   bool
	since       time.Time // start of the current state
	deadline    time.Time // time at which a suspect is declared dead
	probeFailed bool      // true if this host's own direct and indirect probes of the suspect have failed
	rechecking  bool      // true if this host probes the suspect every recheckInterval
	nextRecheck time.Time // time of the next probe of the suspect, if rechecking is true
}

// purpose is the reason for a call, which decides what its failure leads to.
type purpose uint8

const (
	purposeCheck  purpose = iota // without an answer, indirect probes follow; if they fail too, the member becomes suspect
	purposeSearch                // a missing answer has no consequence
	purposeRelay
	purposeSync
)

// pendingCall is a probe, relay or sync that has not been answered yet.
type pendingCall struct {
	purpose     purpose
	target      string
	incarnation uint64
	relays      int
	parentSeq   uint64 // for a relay, the sequence number of the probe that had no answer
}

// Step applies an event that happened at now and returns the actions to carry out. The slice is valid until the next
// Step.
func (t *Table) Step(now time.Time, e Event) []Action {
	t.actions = t.actions[:0]
	if t.random == nil {
		t.initialize(now)
	}
	switch e := e.(type) {
	case Tick:
		t.tick(now)
	case Candidates:
		t.setCandidates(now, e.Members)
	case GossipReceived:
		t.gossipReceived(now, e)
	case Acked:
		t.acked(now, e)
	case NoReply:
		t.noReply(now, e.Seq)
	case RelayRequested:
		t.relayRequested(e.Target)
	case SyncRequested:
		t.syncRequested(now, e)
	case Leave:
		t.leave()
	}
	t.refresh()
	t.pushChanges(now)
	return t.actions
}

func (t *Table) initialize(now time.Time) {
	t.random = rand.New(rand.NewPCG(t.Seed, t.Self.Boot))
	t.entries = map[string]*entry{}
	t.suspects = map[string]*entry{}
	t.pending = map[uint64]*pendingCall{}
	t.Self.State = Alive
	t.Self.Incarnation = t.Self.Boot
	t.lastTick = now
	t.nextSuccessorProbe = now.Add(t.jitter(successorInterval))
	t.nextPartnerProbe = now.Add(t.jitter(probeInterval))
	t.nextWindowShift = now.Add(t.jitter(windowInterval))
	t.nextSearch = now
	t.nextDownProbe = now.Add(t.jitter(downProbeInterval))
	t.views.dirty = true
}

func (t *Table) jitter(span time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(span)))
}

func (t *Table) emit(a Action) {
	t.actions = append(t.actions, a)
}

func (t *Table) tick(now time.Time) {
	if pause := now.Sub(t.lastTick); pause > PauseTimeout {
		t.handlePause(pause)
	}
	t.lastTick = now
	if t.Self.State == Left {
		return
	}
	t.expireSuspects(now)
	t.checkJoined(now)
	t.checkReplaced(now)
	t.sendDueProbes(now)
	t.searchDownCandidates(now)
	if t.syncNeeded && !t.syncing {
		t.sendSync()
	}
}

// handlePause discards what was measured across a pause of this process: unanswered calls say nothing about the peers,
// and suspects get the length of the pause as extra time.
func (t *Table) handlePause(pause time.Duration) {
	t.emit(PauseDetected{Pause: pause})
	clear(t.pending)
	t.syncing = false
	t.syncNeeded = true
	for _, e := range t.suspects {
		e.deadline = e.deadline.Add(pause)
	}
}

// expireSuspects declares suspects dead whose time to refute has passed, and probes each of the others again every
// recheckInterval if this host rechecks it.
func (t *Table) expireSuspects(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.suspects)) {
		e := t.suspects[name]
		if !now.Before(e.deadline) {
			m := e.Member
			m.State = Dead
			t.setState(now, e, m, true)
			continue
		}
		if e.rechecking && isDue(now, &e.nextRecheck, recheckInterval) {
			t.sendProbe(e, purposeSearch)
		}
	}
}

// checkReplaced reports that a run of this host with a higher Boot is still reported after replacedTimeout. Such a run
// may also be an earlier one, if the clock went back across the restart; that one is declared dead before the timeout,
// which resets laterRunAt.
func (t *Table) checkReplaced(now time.Time) {
	if t.replaced || t.laterRunAt.IsZero() || now.Sub(t.laterRunAt) < replacedTimeout {
		return
	}
	t.replaced = true
	t.emit(Replaced{})
}

// checkJoined ends the wait for a first peer when there is no candidate to wait for or none has answered within
// joinTimeout.
func (t *Table) checkJoined(now time.Time) {
	if t.joined || t.candidatesAt.IsZero() {
		return
	}
	if now.Sub(t.candidatesAt) < joinTimeout && len(t.views.down) > 0 {
		return
	}
	t.joined = true
	t.emit(Joined{Alone: true})
}

func (t *Table) setCandidates(now time.Time, members []Member) {
	if t.candidatesAt.IsZero() && len(members) > 0 {
		t.candidatesAt = now
	}
	isCandidate := map[string]bool{}
	for _, m := range members {
		if m.Name == t.Self.Name || m.Name == "" {
			continue
		}
		e := t.entries[m.Name]
		if e == nil {
			if e = t.addEntry(now, m.Name); e == nil {
				break
			}
		}
		isCandidate[m.Name] = true
		if !e.candidate && e.State == Unknown {
			t.searchUntil = now.Add(searchDuration)
		}
		e.candidate = true
		if !e.State.isLive() {
			e.PeerAddress = m.PeerAddress
			e.Region = m.Region
			e.FailureDomain = m.FailureDomain
		}
	}
	for name, e := range t.entries {
		e.candidate = isCandidate[name]
	}
	t.views.dirty = true
}

// addEntry adds an entry for a member. It returns nil if the table is full.
func (t *Table) addEntry(now time.Time, name string) *entry {
	if len(t.entries) >= maxMembers {
		return nil
	}
	e := &entry{Member: Member{Name: name}, since: now}
	t.entries[name] = e
	return e
}

func (t *Table) leave() {
	if t.Self.State == Left {
		return
	}
	t.Self.State = Left
	t.Self.Incarnation++
	t.views.dirty = true
	for _, e := range t.views.pickAlive(t.random, leaveCount, "") {
		t.sendProbe(e, purposeSearch)
	}
}
