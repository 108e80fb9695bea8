package berylfake

import (
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformMode determines how a platform stand-in treats all calls.
type PlatformMode string

const (
	// ModeUp answers calls normally.
	ModeUp PlatformMode = ""
	// ModeDown answers every call with 503.
	ModeDown PlatformMode = "down"
	// ModeRefuse refuses new connections and closes the open ones. Because no request reaches the stand-in any more, only
	// the process itself or for-ms can end this mode.
	ModeRefuse PlatformMode = "refuse"
	// ModeFreeze accepts calls and does not answer them until the mode ends.
	ModeFreeze PlatformMode = "freeze"
)

// PlatformFault scripts the failures of a platform stand-in.
type PlatformFault struct {
	// Mode determines how all calls are treated.
	Mode PlatformMode `json:"mode"`
	// ForMillis is the time in milliseconds after which the fault ends; zero means that it stays until replaced.
	ForMillis int `json:"for-ms"`
	// DelayMillis is the delay before every call is processed, in milliseconds.
	DelayMillis int `json:"delay-ms"`
	// LoseAnswers is the number of writes that take effect but whose connection is closed without an answer; -1 means all.
	LoseAnswers int `json:"lose-answers"`
	// CutWrites is the number of writes that have no effect and whose connection is closed without an answer; -1 means all.
	CutWrites int `json:"cut-writes"`
	// LateWrites is the number of writes whose connection is closed at once without an answer and that take effect LateMillis
	// later; -1 means all.
	LateWrites int `json:"late-writes"`
	// LateMillis is the delay, in milliseconds, until late writes take effect; zero holds them until Platform.ApplyDelayed is called.
	LateMillis int `json:"late-ms"`
	// CutReads closes the connection of reads and new watches without an answer.
	CutReads bool `json:"cut-reads"`
	// KeyPrefix limits the write faults to keys with this prefix.
	KeyPrefix string `json:"key-prefix"`
	// StaleBy is how many revisions the state that reads return lags behind the present one.
	StaleBy int64 `json:"stale-by"`
	// DropWatches closes the open watches once.
	DropWatches bool `json:"drop-watches"`
	// Compact drops the history up to the present revision once.
	Compact bool `json:"compact"`
}

// check returns an error if a field of the fault has an invalid value.
func (f PlatformFault) check() error {
	switch f.Mode {
	case ModeUp, ModeDown, ModeRefuse, ModeFreeze:
	default:
		return errors.Newf("mode %q is not one of \"\", down, refuse, freeze", f.Mode)
	}
	if f.ForMillis < 0 || f.DelayMillis < 0 || f.LateMillis < 0 || f.StaleBy < 0 {
		return errors.New("times and revisions must not be negative")
	}
	return nil
}

// writeFault is the scripted fault for one write.
type writeFault uint8

const (
	writeNormal writeFault = iota
	writeLoseAnswer
	writeCut
	writeLate
)

// platformScript holds the fault in force and signals its changes.
type platformScript struct {
	mu             sync.Mutex
	fault          PlatformFault
	expires        time.Time
	changed        chan struct{}
	watchesDropped chan struct{}
}

// newPlatformScript returns a script without faults.
func newPlatformScript() *platformScript {
	return &platformScript{changed: make(chan struct{}), watchesDropped: make(chan struct{})}
}

// set replaces the fault in force and wakes the calls that the previous fault froze.
func (s *platformScript) set(f PlatformFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.expires = f, time.Time{}
	if f.ForMillis > 0 {
		s.expires = time.Now().Add(time.Duration(f.ForMillis) * time.Millisecond)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the fault in force and a channel that is closed when another one is set.
func (s *platformScript) current() (PlatformFault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearExpired()
	return s.fault, s.changed
}

// clearExpired clears the fault if its time has passed. The caller holds s.mu.
func (s *platformScript) clearExpired() {
	if !s.expires.IsZero() && !time.Now().Before(s.expires) {
		s.fault, s.expires = PlatformFault{}, time.Time{}
	}
}

// dropWatches closes the open watches.
func (s *platformScript) dropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesDropped)
	s.watchesDropped = make(chan struct{})
}

// dropped returns a channel that is closed when the watches opened before must be closed.
func (s *platformScript) dropped() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesDropped
}

// takeWrite returns the fault for a write of the key and, for a late write, its delay. It uses up one of the scripted faults.
func (s *platformScript) takeWrite(key string) (writeFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearExpired()
	if !strings.HasPrefix(key, s.fault.KeyPrefix) {
		return writeNormal, 0
	}
	switch {
	case useOne(&s.fault.LoseAnswers):
		return writeLoseAnswer, 0
	case useOne(&s.fault.CutWrites):
		return writeCut, 0
	case useOne(&s.fault.LateWrites):
		return writeLate, time.Duration(s.fault.LateMillis) * time.Millisecond
	}
	return writeNormal, 0
}

// useOne reports whether *n is not zero, and decrements it if it is positive; a negative count is unlimited.
func useOne(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
