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
	// PauseTimeout is the time between two ticks from which a host counts as having been paused.
	PauseTimeout = suspicionTimeout

	probeInterval       = time.Second
	windowInterval      = 10 * time.Second
	successorInterval   = 500 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond
	relayTimeout        = 600 * time.Millisecond
	relayedProbeTimeout = 400 * time.Millisecond
	syncTimeout         = time.Second
	// suspicionTimeout is the time to refute for a host that has itself missed the suspect.
	suspicionTimeout = 1800 * time.Millisecond
	// reportedSuspicionTimeout is the time to refute for a host that has only been told.
	reportedSuspicionTimeout = 3500 * time.Millisecond
	// reportedDeathTimeout is the time to refute for a host that is told of a death without having heard of the suspicion.
	reportedDeathTimeout = time.Second
	recheckInterval      = 400 * time.Millisecond
	replacedTimeout      = 5 * time.Second
	pushInterval         = 500 * time.Millisecond
	searchInterval       = time.Second
	downProbeInterval    = 5 * time.Second
	searchDuration       = 30 * time.Second
	joinTimeout          = 3 * time.Second
	forgetTimeout        = 2 * time.Minute

	relayCount       = 3
	searchCount      = 3
	successorCount   = 4
	partnerCount     = 4
	leaveCount       = 8
	pushCount        = 2
	maxPendingCalls  = 64
	maxBackfill      = 3
	retransmitFactor = 3
)

// Table is one host's view of the members, as a state machine without clock, goroutine or I/O.
type Table struct {
	// Self is this host; Boot must grow from run to run.
	Self Member
	// Seed makes the random choices repeatable.
	Seed uint64

	random   *rand.Rand
	entries  map[string]*entry
	views    views
	suspects map[string]*entry
	news     newsQueue
	pending  map[uint64]*pendingCall
	seq      uint64

	candidatesAt   time.Time // when the first list that is not empty came, or zero
	lastTick       time.Time
	nextRing       time.Time
	nextProbe      time.Time
	nextWindow     time.Time
	nextExtraProbe time.Time
	nextSearch     time.Time
	nextDownProbe  time.Time
	searchUntil    time.Time
	nextPush       time.Time
	laterRunAt     time.Time // when a later run of this host was first heard of, or zero
	replaced       bool
	pushNeeded     bool // the live hosts have changed and nobody has been told
	joined         bool
	needSync       bool
	syncing        bool

	actions []Action
}

// entry is one other member.
type entry struct {
	Member
	candidate   bool
	since       time.Time // when the state was taken on
	deadline    time.Time // when a suspect counts as dead
	probeFailed bool      // a suspect that this host has itself missed
	rechecking  bool      // a suspect that this host probes itself
	nextRecheck time.Time // when to probe a doubted suspect again
}

// purpose says what a probe is for.
type purpose uint8

const (
	purposeCheck  purpose = iota // a lost one leads to relays and suspicion
	purposeSearch                // a lost one leads to nothing
	purposeRelay
	purposeSync
)

// pendingCall is a probe, with its relays, or a sync without its answer.
type pendingCall struct {
	purpose     purpose
	target      string
	incarnation uint64
	relays      int
	parentSeq   uint64 // for one relay, the probe it belongs to
}

// Step takes an event at a time and returns what is to be done; the slice is valid until the next Step.
func (t *Table) Step(now time.Time, e Event) []Action {
	t.actions = t.actions[:0]
	if t.random == nil {
		t.start(now)
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

func (t *Table) start(now time.Time) {
	t.random = rand.New(rand.NewPCG(t.Seed, t.Self.Boot))
	t.entries = map[string]*entry{}
	t.suspects = map[string]*entry{}
	t.pending = map[uint64]*pendingCall{}
	t.Self.State = Alive
	t.Self.Incarnation = t.Self.Boot
	t.lastTick = now
	t.nextRing = now.Add(t.jitter(successorInterval))
	t.nextProbe = now.Add(t.jitter(probeInterval))
	t.nextWindow = now.Add(t.jitter(windowInterval))
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
	if t.needSync && !t.syncing {
		t.sendSync()
	}
}

// handlePause drops all that was measured across a pause of this host itself.
func (t *Table) handlePause(pause time.Duration) {
	t.emit(PauseDetected{Pause: pause})
	clear(t.pending)
	t.syncing = false
	t.needSync = true
	for _, e := range t.suspects {
		e.deadline = e.deadline.Add(pause)
	}
}

// expireSuspects declares suspects dead whose time to refute is over, and probes the doubted ones again.
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

// checkReplaced reports a later run of this host that goes on being heard of; an earlier run's news ends with its death.
func (t *Table) checkReplaced(now time.Time) {
	if t.replaced || t.laterRunAt.IsZero() || now.Sub(t.laterRunAt) < replacedTimeout {
		return
	}
	t.replaced = true
	t.emit(Replaced{})
}

// checkJoined ends the wait for a first peer when there is none to wait for, or none has answered for a while.
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
	named := map[string]bool{}
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
		named[m.Name] = true
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
		e.candidate = named[name]
	}
	t.views.dirty = true
}

// addEntry makes an entry, unless the table is full.
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
