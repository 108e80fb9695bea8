package berylintake

import "time"

const (
	// ManyLines is the number of lines of a head above which the memory of its fields is reserved.
	ManyLines = 256
	// lineMemory is the memory of a header field in the server and in the request to the upstream, in bytes, without its text.
	lineMemory = 512
)

// Kind is what reserved memory is used for.
type Kind uint8

const (
	// Heads are the parsed fields of requests.
	Heads Kind = iota
	// Bodies are bodies that arrive or belong to running requests.
	Bodies
	// Requests are the buffers of running requests and their answers.
	Requests
	// Jobs are decoded jobs that are not accepted yet.
	Jobs
	kinds
)

// String returns the name used in metrics.
func (k Kind) String() string {
	return [...]string{"heads", "bodies", "requests", "jobs"}[k]
}

// State is what a connection does.
type State uint8

const (
	// Idle connections wait for a request.
	Idle State = iota
	// ReadingHead connections have sent a part of a head.
	ReadingHead
	// ReadingBody connections have sent a head and a part of a body.
	ReadingBody
	// Running connections have a request that has arrived whole. They are never closed for others.
	Running
	// Answering connections have a request that has ended, whose answer the client has not read yet.
	Answering
	states
)

// String returns the name used in metrics.
func (s State) String() string {
	return [...]string{"idle", "head", "body", "running", "answering"}[s]
}

// Decision is the answer to a reservation.
type Decision uint8

const (
	// Granted means that the memory is reserved.
	Granted Decision = iota
	// Wait means that connections are being closed and that their memory is enough.
	Wait
	// Refused means that there is no room.
	Refused
)

// Rules are the bounds that a Ledger enforces and the times it allows.
type Rules struct {
	// Bytes is the budget. Zero means no bound.
	Bytes int64
	// ArrivingBytes is the part of Bytes that connections in ReadingHead and ReadingBody may hold together.
	ArrivingBytes int64
	// HeadTime is the time within which a head must arrive.
	HeadTime time.Duration
	// ProgressTime is the time within which a head must grow, and a body must grow by ProgressBytes or end.
	ProgressTime  time.Duration
	ProgressBytes int64
	// GraceTime is how long a connection that has begun to read is safe from being closed for others.
	GraceTime time.Duration
}

// Group bounds the number of connections of one listener.
type Group struct {
	// Limit is the largest number of connections. Zero means no bound.
	Limit   int
	open    int
	closing int
}

// Entry is a connection in a Ledger.
type Entry struct {
	group *Group
	state State
	// since is when the state began.
	since time.Time
	// windowStart and windowBytes measure the bytes that arrive in one ProgressTime.
	windowStart time.Time
	windowBytes int64
	// recent and recentStart measure the bytes of the last one to two GraceTimes; previous is the older part of them.
	recentStart      time.Time
	recent, previous int64
	held             [kinds]int64
	total            int64
	// lines counts the lines that were read in ReadingHead.
	lines   int
	closing bool
	closed  bool
}

// Ledger counts what connections hold and decides which of them are refused or closed. It is not safe for concurrent use.
type Ledger struct {
	rules    Rules
	entries  map[*Entry]struct{}
	held     [kinds]int64
	total    int64
	arriving int64
	// closing is the memory that connections to be closed still hold.
	closing int64
}

// NewLedger returns an empty ledger.
func NewLedger(rules Rules) *Ledger {
	return &Ledger{rules: rules, entries: make(map[*Entry]struct{})}
}

// Open adds a connection. If its group is full, it returns the connection to close instead, or false if there is none that may be
// closed.
func (l *Ledger) Open(now time.Time, group *Group) (entry, victim *Entry, ok bool) {
	if group.Limit > 0 && group.open-group.closing >= group.Limit {
		if group.closing > group.Limit/closingShare {
			return nil, nil, false
		}
		victim = l.worst(now, nil, func(e *Entry) bool { return e.group == group })
		if victim == nil {
			return nil, nil, false
		}
		l.close(victim)
	}
	entry = &Entry{group: group, since: now, windowStart: now, recentStart: now}
	group.open++
	l.entries[entry] = struct{}{}
	return entry, victim, true
}

// closingShare is the reciprocal of the share of a group's connections that may be closing while new ones are accepted.
const closingShare = 8

// Close removes a connection with all that it holds.
func (l *Ledger) Close(e *Entry) {
	if e.closed {
		return
	}
	for kind := range kinds {
		l.Release(e, kind, e.held[kind])
	}
	delete(l.entries, e)
	e.closed = true
	e.group.open--
	if e.closing {
		e.group.closing--
	}
}

// Enter changes the state of a connection.
func (l *Ledger) Enter(now time.Time, e *Entry, state State) {
	wasArriving := e.isArriving()
	e.state, e.since, e.windowStart, e.windowBytes, e.lines = state, now, now, 0, 0
	switch {
	case wasArriving && !e.isArriving():
		l.arriving -= e.total
	case !wasArriving && e.isArriving():
		l.arriving += e.total
	}
}

func (e *Entry) isArriving() bool {
	return e.state == ReadingHead || e.state == ReadingBody
}

// Progress counts bytes that have been read or written. The first byte on an idle connection begins a head.
func (l *Ledger) Progress(now time.Time, e *Entry, bytes int) {
	if e.state == Idle {
		l.Enter(now, e, ReadingHead)
	}
	e.windowBytes += int64(bytes)
	e.shiftRecent(now, l.rules.GraceTime)
	e.recent += int64(bytes)
}

func (e *Entry) shiftRecent(now time.Time, span time.Duration) {
	passed := now.Sub(e.recentStart)
	if passed < span {
		return
	}
	e.previous, e.recent = e.recent, 0
	if passed >= 2*span {
		e.previous = 0
	}
	e.recentStart = now
}

// Reserve reserves memory for a connection. If there is no room, it also returns connections to close for it.
func (l *Ledger) Reserve(now time.Time, e *Entry, kind Kind, bytes int64) (Decision, []*Entry) {
	if e.closing || e.closed {
		return Refused, nil
	}
	missing := l.missing(e, bytes)
	if missing <= 0 {
		l.add(e, kind, bytes)
		return Granted, nil
	}
	if l.closing >= missing {
		return Wait, nil
	}
	var victims []*Entry
	freed := l.closing
	for freed < missing {
		victim := l.worst(now, e, func(e *Entry) bool { return e.total > 0 })
		if victim == nil {
			for _, v := range victims {
				l.reopen(v)
			}
			return Refused, nil
		}
		l.close(victim)
		freed += victim.total
		victims = append(victims, victim)
	}
	return Wait, victims
}

// ReadLines is Progress for bytes that hold a number of lines. If they may belong to a head of many lines, it reserves the memory of
// the parsed head, and returns false if there is no room for it. It closes no other connections, since the caller can't wait.
func (l *Ledger) ReadLines(now time.Time, e *Entry, bytes, lines int) bool {
	l.Progress(now, e, bytes)
	if e.state != ReadingHead {
		return true
	}
	before := e.lines
	e.lines += lines
	if e.lines <= ManyLines || lines == 0 {
		return true
	}
	if before <= ManyLines {
		before = 0
	}
	memory := int64(e.lines-before) * lineMemory
	if e.closing || e.closed || l.missing(e, memory) > 0 {
		return false
	}
	l.add(e, Heads, memory)
	return true
}

// missing returns how many bytes must be freed for a reservation.
func (l *Ledger) missing(e *Entry, bytes int64) int64 {
	if l.rules.Bytes <= 0 {
		return 0
	}
	missing := l.total + bytes - l.rules.Bytes
	if e.isArriving() && l.rules.ArrivingBytes > 0 {
		missing = max(missing, l.arriving+bytes-l.rules.ArrivingBytes)
	}
	return missing
}

func (l *Ledger) add(e *Entry, kind Kind, bytes int64) {
	e.held[kind] += bytes
	e.total += bytes
	l.held[kind] += bytes
	l.total += bytes
	if e.isArriving() {
		l.arriving += bytes
	}
	if e.closing {
		l.closing += bytes
	}
}

// Hold counts memory that a connection holds already, whether or not there is room.
func (l *Ledger) Hold(e *Entry, kind Kind, bytes int64) {
	if !e.closed {
		l.add(e, kind, bytes)
	}
}

// Release returns memory that a connection has reserved.
func (l *Ledger) Release(e *Entry, kind Kind, bytes int64) {
	l.add(e, kind, -min(bytes, e.held[kind]))
}

func (l *Ledger) close(e *Entry) {
	e.closing = true
	e.group.closing++
	l.closing += e.total
}

func (l *Ledger) reopen(e *Entry) {
	e.closing = false
	e.group.closing--
	l.closing -= e.total
}

// worst returns the connection to close for others: one that is idle for the longest time, or else the one whose bytes of the
// last moments are the fewest for the memory that it holds, and of several such ones that which has been at it for longest.
func (l *Ledger) worst(now time.Time, except *Entry, may func(*Entry) bool) *Entry {
	var worst *Entry
	for e := range l.entries {
		if e == except || e.closing || e.state == Running || !may(e) {
			continue
		}
		if now.Sub(e.since) < l.rules.GraceTime {
			continue
		}
		e.shiftRecent(now, l.rules.GraceTime)
		if worst == nil || e.isWorseThan(worst) {
			worst = e
		}
	}
	return worst
}

func (e *Entry) isWorseThan(other *Entry) bool {
	if (e.state == Idle) != (other.state == Idle) {
		return e.state == Idle
	}
	if e.state != Idle {
		a, b := (e.recent+e.previous)*(other.total+1), (other.recent+other.previous)*(e.total+1)
		if a != b {
			return a < b
		}
	}
	return e.since.Before(other.since)
}

// Overdue must be called several times in a ProgressTime. It returns the connections whose head or body arrives too slowly, and marks them as closing.
func (l *Ledger) Overdue(now time.Time) []*Entry {
	var overdue []*Entry
	for e := range l.entries {
		late := false
		switch e.state {
		case ReadingHead:
			late = now.Sub(e.since) >= l.rules.HeadTime || now.Sub(e.windowStart) >= l.rules.ProgressTime && e.windowBytes == 0
		case ReadingBody:
			late = now.Sub(e.windowStart) >= l.rules.ProgressTime && e.windowBytes < l.rules.ProgressBytes
		}
		if now.Sub(e.windowStart) >= l.rules.ProgressTime {
			e.windowStart, e.windowBytes = now, 0
		}
		if late && !e.closing {
			l.close(e)
			overdue = append(overdue, e)
		}
	}
	return overdue
}

// Held returns the bytes that all connections hold, by kind.
func (l *Ledger) Held() [kinds]int64 {
	return l.held
}

// Connections returns the number of connections, by state.
func (l *Ledger) Connections() [states]int {
	var n [states]int
	for e := range l.entries {
		n[e.state]++
	}
	return n
}
