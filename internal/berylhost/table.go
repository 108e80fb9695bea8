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

	probeInterval  = time.Second
	windowInterval = 10 * time.Second
	ringInterval   = 500 * time.Millisecond
	probeTimeout   = 300 * time.Millisecond
	relayTimeout   = 600 * time.Millisecond
	relayProbe     = 400 * time.Millisecond
	syncTimeout    = time.Second
	// suspicionTimeout is the time to refute for a host that has itself missed the suspect.
	suspicionTimeout = 1800 * time.Millisecond
	// hearsayTimeout is the time to refute for a host that has only been told.
	hearsayTimeout = 3500 * time.Millisecond
	// burialTimeout is the time to refute for a host that is told of a death without having heard of the suspicion.
	burialTimeout    = time.Second
	recheckInterval  = 400 * time.Millisecond
	replaceTimeout   = 5 * time.Second
	urgentInterval   = 500 * time.Millisecond
	seekInterval     = time.Second
	seekDeadInterval = 5 * time.Second
	seekSpan         = 30 * time.Second
	joinTimeout      = 3 * time.Second
	forgetTimeout    = 2 * time.Minute

	relayCount   = 3
	seekCount    = 3
	ringCount    = 4
	partnerCount = 4
	leaveCount   = 8
	urgentCount  = 2
	maxPending   = 64
	maxFillers   = 3
	spreadFactor = 3
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
	news     news
	pending  map[uint64]*pending
	seq      uint64

	candidatesAt time.Time // when the first list that is not empty came, or zero
	lastTick     time.Time
	nextRing     time.Time
	nextProbe    time.Time
	nextWindow   time.Time
	nextHasty    time.Time
	nextSeek     time.Time
	nextDead     time.Time
	seekUntil    time.Time
	nextPush     time.Time
	rivalAt      time.Time // when a later run of this host was first heard of, or zero
	replaced     bool
	urgent       bool // the live hosts have changed and nobody has been told
	joined       bool
	needSync     bool
	syncing      bool

	actions []Action
}

// entry is one other member.
type entry struct {
	Member
	candidate bool
	since     time.Time // when the state was taken on
	deadline  time.Time // when a suspect counts as dead
	missed    bool      // a suspect that this host has itself missed
	doubted   bool      // a suspect that this host probes itself
	recheck   time.Time // when to probe a doubted suspect again
}

// purpose says what a probe is for.
type purpose uint8

const (
	toCheck purpose = iota // a lost one leads to relays and suspicion
	toSeek                 // a lost one leads to nothing
	toRelay
	toSync
)

// pending is a probe, with its relays, or a sync without its answer.
type pending struct {
	purpose     purpose
	target      string
	incarnation uint64
	relays      int
	parent      uint64 // for one relay, the probe it belongs to
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
	case Heard:
		t.heard(now, e)
	case Acked:
		t.acked(now, e)
	case Missed:
		t.missed(now, e.Seq)
	case RelayAsked:
		t.relayAsked(e.Target)
	case SyncAsked:
		t.syncAsked(now, e)
	case Leave:
		t.leave()
	}
	t.refresh()
	t.pushDue(now)
	return t.actions
}

func (t *Table) start(now time.Time) {
	t.random = rand.New(rand.NewPCG(t.Seed, t.Self.Boot))
	t.entries = map[string]*entry{}
	t.suspects = map[string]*entry{}
	t.pending = map[uint64]*pending{}
	t.Self.State = Alive
	t.Self.Incarnation = t.Self.Boot
	t.lastTick = now
	t.nextRing = now.Add(t.jitter(ringInterval))
	t.nextProbe = now.Add(t.jitter(probeInterval))
	t.nextWindow = now.Add(t.jitter(windowInterval))
	t.nextSeek = now
	t.nextDead = now.Add(t.jitter(seekDeadInterval))
	t.views.dirty = true
}

func (t *Table) jitter(span time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(span)))
}

func (t *Table) do(a Action) {
	t.actions = append(t.actions, a)
}

func (t *Table) tick(now time.Time) {
	if pause := now.Sub(t.lastTick); pause > PauseTimeout {
		t.woke(pause)
	}
	t.lastTick = now
	if t.Self.State == Left {
		return
	}
	t.confirm(now)
	t.checkJoined(now)
	t.checkReplaced(now)
	t.probeDue(now)
	t.seekDue(now)
	if t.needSync && !t.syncing {
		t.sendSync()
	}
}

// woke drops all that was measured across a pause of this host itself.
func (t *Table) woke(pause time.Duration) {
	t.do(Woke{Pause: pause})
	clear(t.pending)
	t.syncing = false
	t.needSync = true
	for _, e := range t.suspects {
		e.deadline = e.deadline.Add(pause)
	}
}

// confirm declares suspects dead whose time to refute is over, and probes the doubted ones again.
func (t *Table) confirm(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.suspects)) {
		e := t.suspects[name]
		if !now.Before(e.deadline) {
			m := e.Member
			m.State = Dead
			t.set(now, e, m, true)
			continue
		}
		if e.doubted && due(now, &e.recheck, recheckInterval) {
			t.probe(e, toSeek)
		}
	}
}

// checkReplaced reports a later run of this host that goes on being heard of; an earlier run's news ends with its death.
func (t *Table) checkReplaced(now time.Time) {
	if t.replaced || t.rivalAt.IsZero() || now.Sub(t.rivalAt) < replaceTimeout {
		return
	}
	t.replaced = true
	t.do(Replaced{})
}

// checkJoined ends the wait for a first peer when there is none to wait for, or none has answered for a while.
func (t *Table) checkJoined(now time.Time) {
	if t.joined || t.candidatesAt.IsZero() {
		return
	}
	if now.Sub(t.candidatesAt) < joinTimeout && len(t.views.gone) > 0 {
		return
	}
	t.joined = true
	t.do(Joined{Alone: true})
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
			if e = t.add(now, m.Name); e == nil {
				break
			}
		}
		named[m.Name] = true
		if !e.candidate && e.State == Unknown {
			t.seekUntil = now.Add(seekSpan)
		}
		e.candidate = true
		if !e.State.live() {
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

// add makes an entry, unless the table is full.
func (t *Table) add(now time.Time, name string) *entry {
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
	for _, e := range t.views.pick(t.random, leaveCount, "") {
		t.probe(e, toSeek)
	}
}
