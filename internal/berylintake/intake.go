package berylintake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// sweepInterval is how often slow connections are looked for.
	sweepInterval = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines about refusals.
	logInterval = time.Second
	// reserveWait bounds how long a reservation waits for connections that are being closed. Closing takes about 1 ms.
	reserveWait = 200 * time.Millisecond
)

// Cause is why a client was refused or its connection closed.
type Cause uint32

const (
	// None means that nothing was refused.
	None Cause = iota
	// NoRoom means that the memory budget is used up.
	NoRoom
	// NoConnection means that the connections of a listener are used up.
	NoConnection
	// TooSlow means that a head or body arrives too slowly.
	TooSlow
	// HeadTooLarge means that a head is over the limit.
	HeadTooLarge
	// BodyTooLarge means that a body is over the limit.
	BodyTooLarge
	// Malformed means that a head or body has invalid framing or is cut.
	Malformed
	causes
)

// String returns the name used in metrics and log lines.
func (c Cause) String() string {
	return [...]string{"none", "no-room", "no-connection", "too-slow", "head-too-large", "body-too-large", "malformed"}[c]
}

// Intake applies one Ledger to the connections of a process.
type Intake struct {
	log logrus.FieldLogger

	mu     sync.Mutex
	ledger *Ledger
	conns  map[*Entry]*Conn
	// released is closed and replaced when memory is released while reservations wait.
	released chan struct{}
	waiting  int
	refused  [causes]int
	lastLog  time.Time
	logged   [causes]int
}

// New returns an intake without connections. It logs to log and adds its metrics to set, which may be nil.
func New(rules Rules, log logrus.FieldLogger, set *metrics.Set) *Intake {
	if set == nil {
		set = metrics.NewSet()
	}
	i := &Intake{log: log, ledger: NewLedger(rules), conns: make(map[*Entry]*Conn), released: make(chan struct{})}
	for kind := range kinds {
		set.NewGauge(fmt.Sprintf("berylroad_intake_held_bytes{kind=%q}", kind), func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return float64(i.ledger.Held()[kind])
		})
	}
	for state := range states {
		set.NewGauge(fmt.Sprintf("berylroad_intake_connections{state=%q}", state), func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return float64(i.ledger.Connections()[state])
		})
	}
	for cause := None + 1; cause < causes; cause++ {
		set.NewGauge(fmt.Sprintf("berylroad_intake_refused_total{cause=%q}", cause), func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return float64(i.refused[cause])
		})
	}
	return i
}

// Run closes connections that are too slow until ctx ends.
func (i *Intake) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.mu.Lock()
			i.abort(i.ledger.Overdue(now), TooSlow)
			i.logRefusals(now)
			i.mu.Unlock()
		}
	}
}

// Refuse counts a refusal.
func (i *Intake) Refuse(cause Cause) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refused[cause]++
}

// abort makes the reads of connections fail. mu must be held.
func (i *Intake) abort(entries []*Entry, cause Cause) {
	for _, e := range entries {
		if conn := i.conns[e]; conn != nil {
			conn.abort(cause, e.state == Answering)
		}
		i.refused[cause]++
	}
}

// logRefusals writes one line for the refusals since the last line. mu must be held.
func (i *Intake) logRefusals(now time.Time) {
	if i.refused == i.logged || now.Sub(i.lastLog) < logInterval {
		return
	}
	fields := logrus.Fields{"held-bytes": i.ledger.total, "connections": len(i.conns)}
	for cause, n := range i.refused {
		if more := n - i.logged[cause]; more > 0 {
			fields[Cause(cause).String()] = more
		}
	}
	i.lastLog, i.logged = now, i.refused
	i.log.WithFields(fields).Warn("intake: clients refused")
}

// open adds a connection, or returns false if there is no room for it.
func (i *Intake) open(inner net.Conn, group *Group) (*Conn, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry, victim, ok := i.ledger.Open(time.Now(), group)
	if !ok {
		i.refused[NoConnection]++
		return nil, false
	}
	if victim != nil {
		i.abort([]*Entry{victim}, NoConnection)
	}
	conn := &Conn{Conn: inner, intake: i, entry: entry}
	i.conns[entry] = conn
	return conn, true
}

// reserve reserves memory and waits for connections that are being closed for it.
func (i *Intake) reserve(entry *Entry, kind Kind, bytes int64) bool {
	var timeout <-chan time.Time
	for {
		i.mu.Lock()
		decision, victims := i.ledger.Reserve(time.Now(), entry, kind, bytes)
		i.abort(victims, NoRoom)
		released := i.released
		if decision == Wait {
			i.waiting++
		}
		i.mu.Unlock()
		if decision != Wait {
			return decision == Granted
		}
		if timeout == nil {
			timeout = time.After(reserveWait)
		}
		expired := false
		select {
		case <-released:
		case <-timeout:
			expired = true
		}
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
		if expired {
			return false
		}
	}
}

// signalReleased wakes the reservations that wait. mu must be held.
func (i *Intake) signalReleased() {
	if i.waiting > 0 {
		close(i.released)
		i.released = make(chan struct{})
	}
}
