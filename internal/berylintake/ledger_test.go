package berylintake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testRules = Rules{
	Bytes: 1000, ArrivingBytes: 600, HeadTime: 20 * time.Second, ProgressTime: 5 * time.Second, ProgressBytes: 100, GraceTime: 500 * time.Millisecond,
}

// ledgerScript drives a ledger whose clock advances only by after.
type ledgerScript struct {
	*is.I
	ledger *Ledger
	group  Group
	now    time.Time
}

func newScript(t *testing.T, limit int) *ledgerScript {
	return &ledgerScript{I: is.New(t), ledger: NewLedger(testRules), group: Group{Limit: limit}, now: time.Unix(1000, 0)}
}

func (s *ledgerScript) after(d time.Duration) { s.now = s.now.Add(d) }

// arriving opens a connection that reads a body and holds memory.
func (s *ledgerScript) arriving(bytes int64) *Entry {
	s.Helper()
	e, _, ok := s.ledger.Open(s.now, &s.group)
	s.True(ok)
	s.ledger.Enter(s.now, e, ReadingBody)
	decision, _ := s.ledger.Reserve(s.now, e, Bodies, bytes)
	s.Equal(decision, Granted)
	return e
}

// Guards against bodies that never end taking the memory of requests that have arrived.
func TestRoomForRequestsBesideArrivingBodies(t *testing.T) {
	s := newScript(t, 0)
	s.arriving(300)
	s.arriving(300)
	e, _, _ := s.ledger.Open(s.now, &s.group)
	s.ledger.Enter(s.now, e, ReadingBody)
	decision, _ := s.ledger.Reserve(s.now, e, Bodies, 1)
	s.Equal(decision, Refused) // both others are within their grace time
	s.ledger.Enter(s.now, e, Running)
	decision, _ = s.ledger.Reserve(s.now, e, Requests, 400)
	s.Equal(decision, Granted)
	decision, _ = s.ledger.Reserve(s.now, e, Requests, 1)
	s.Equal(decision, Refused)
	s.ledger.Close(e)
	s.Equal(s.ledger.Held(), [kinds]int64{Bodies: 600})
}

// Guards against closing a slow but steady upload, or a request that runs, instead of one that has stopped.
func TestTheConnectionWithTheLeastProgressIsClosed(t *testing.T) {
	s := newScript(t, 0)
	running := s.arriving(300)
	s.ledger.Enter(s.now, running, Running)
	stopped := s.arriving(200)
	dripping := s.arriving(200)
	steady := s.arriving(100)
	fresh, _, _ := s.ledger.Open(s.now, &s.group)
	for range 10 {
		s.after(100 * time.Millisecond)
		s.ledger.Progress(s.now, steady, 10)
		s.ledger.Progress(s.now, dripping, 1)
	}
	s.ledger.Enter(s.now, fresh, ReadingBody)
	decision, victims := s.ledger.Reserve(s.now, fresh, Bodies, 150)
	s.Equal(decision, Wait)
	s.Equal(victims, []*Entry{stopped})
	decision, victims = s.ledger.Reserve(s.now, fresh, Bodies, 150)
	s.Equal(decision, Wait) // the memory of the first is enough
	s.Equal(len(victims), 0)
	decision, _ = s.ledger.Reserve(s.now, stopped, Requests, 1)
	s.Equal(decision, Refused) // what is being closed never runs
	s.ledger.Close(stopped)
	decision, _ = s.ledger.Reserve(s.now, fresh, Bodies, 150)
	s.Equal(decision, Granted)
	decision, victims = s.ledger.Reserve(s.now, fresh, Bodies, 300)
	s.Equal(decision, Wait)
	s.Equal(victims, []*Entry{dripping})
	decision, victims = s.ledger.Reserve(s.now, fresh, Bodies, 5000)
	s.Equal(decision, Refused)
	s.Equal(len(victims), 0)
}

// Guards against closing connections for a reservation that does not fit even then.
func TestNothingIsClosedInVain(t *testing.T) {
	s := newScript(t, 0)
	old := s.arriving(300)
	s.after(time.Second)
	e := s.arriving(100)
	decision, victims := s.ledger.Reserve(s.now, e, Bodies, 900)
	s.Equal(decision, Refused)
	s.Equal(len(victims), 0)
	s.after(time.Second)
	decision, _ = s.ledger.Reserve(s.now, old, Bodies, 200)
	s.Equal(decision, Granted)
}

// Guards against clients that hold a listener's connections: idle ones are closed first, and none within its grace time.
func TestConnectionsOfAFullListener(t *testing.T) {
	s := newScript(t, 2)
	body := s.arriving(100)
	s.after(time.Second)
	idle, _, _ := s.ledger.Open(s.now, &s.group)
	s.after(time.Second)
	other, victim, ok := s.ledger.Open(s.now, &s.group)
	s.True(ok)
	s.Equal(victim, idle)
	_, _, ok = s.ledger.Open(s.now, &s.group) // too many are closing
	s.Equal(ok, false)
	s.ledger.Close(idle)
	_, victim, ok = s.ledger.Open(s.now, &s.group)
	s.True(ok)
	s.Equal(victim, body)
	s.ledger.Close(body)
	s.ledger.Enter(s.now, other, Running)
	s.after(100 * time.Millisecond)
	_, _, ok = s.ledger.Open(s.now, &s.group)
	s.Equal(ok, false)
	s.Equal(s.ledger.Connections(), [states]int{Idle: 1, Running: 1})
}

// Guards against heads and bodies that stop or drip forever, and against cutting off slow but steady ones.
func TestProgressInTime(t *testing.T) {
	for _, tt := range []struct {
		name  string
		state State
		bytes int // received each second
		late  time.Duration
	}{
		{"head that stops", ReadingHead, 0, 5 * time.Second},
		{"head that drips", ReadingHead, 1, 20 * time.Second},
		{"body that stops", ReadingBody, 0, 5 * time.Second},
		{"body that drips", ReadingBody, 10, 5 * time.Second},
		{"slow but steady body", ReadingBody, 30, 0},
		{"running request", Running, 0, 0},
		{"idle connection", Idle, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScript(t, 0)
			e, _, _ := s.ledger.Open(s.now, &s.group)
			s.ledger.Enter(s.now, e, tt.state)
			late := time.Duration(0)
			for second := time.Duration(1); second <= 60 && late == 0; second++ {
				s.after(time.Second)
				if tt.bytes > 0 {
					s.ledger.Progress(s.now, e, tt.bytes)
				}
				if len(s.ledger.Overdue(s.now)) > 0 {
					late = second * time.Second
				}
			}
			s.Equal(late, tt.late)
		})
	}
}

// Guards against memory that stays counted after its connection was closed while a call still held it.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	s := newScript(t, 0)
	e := s.arriving(100)
	s.ledger.Hold(e, Requests, 5000)
	s.ledger.Close(e)
	s.ledger.Close(e)
	s.ledger.Hold(e, Requests, 10)
	s.ledger.Enter(s.now, e, ReadingBody)
	s.ledger.Release(e, Requests, 10)
	decision, _ := s.ledger.Reserve(s.now, e, Bodies, 10)
	s.Equal(decision, Refused)
	s.Equal(s.ledger.Held(), [kinds]int64{})
	s.Equal(s.ledger.arriving, int64(0))
	s.Equal(s.ledger.closing, int64(0))
	s.Equal(s.group, Group{})
}

// Guards against heads of legal size with very many short lines, which take 20 times their size once they are parsed.
func TestHeadsOfManyLines(t *testing.T) {
	s := newScript(t, 0)
	s.ledger.rules.Bytes, s.ledger.rules.ArrivingBytes = 600*lineMemory, 500*lineMemory
	e, _, _ := s.ledger.Open(s.now, &s.group)
	s.True(s.ledger.ReadLines(s.now, e, 1000, ManyLines))
	s.Equal(s.ledger.Held(), [kinds]int64{})
	s.True(s.ledger.ReadLines(s.now, e, 1000, 44))
	s.True(s.ledger.ReadLines(s.now, e, 1000, 100))
	s.Equal(s.ledger.Held(), [kinds]int64{Heads: 400 * lineMemory})
	other, _, _ := s.ledger.Open(s.now, &s.group)
	s.Equal(s.ledger.ReadLines(s.now, other, 1000, 300), false)
	s.ledger.Enter(s.now, e, Running)
	s.True(s.ledger.ReadLines(s.now, e, 1000, 10_000)) // lines of a body
	s.ledger.Close(e)
	s.True(s.ledger.ReadLines(s.now, other, 1000, 100))
}
