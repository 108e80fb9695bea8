package berylfake

import (
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a stand-in does with every call.
type Mode string

const (
	// ModeUp answers.
	ModeUp Mode = ""
	// ModeDown answers 503 to every call.
	ModeDown Mode = "down"
	// ModeRefuse refuses connections and cuts the open ones; it can be ended from inside the process or by for-ms.
	ModeRefuse Mode = "refuse"
	// ModeFreeze takes calls and never answers them.
	ModeFreeze Mode = "freeze"
)

// Fault scripts what goes wrong with a platform stand-in.
type Fault struct {
	// Mode is what happens to every call.
	Mode Mode `json:"mode"`
	// ForMillis ends the fault after this many milliseconds; zero keeps it.
	ForMillis int `json:"for-ms"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"delay-ms"`
	// LoseAnswers is the number of writes that take effect and are then cut off unanswered; -1 means every one.
	LoseAnswers int `json:"lose-answers"`
	// CutWrites is the number of writes that are cut off without effect; -1 means every one.
	CutWrites int `json:"cut-writes"`
	// LateWrites is the number of writes that are cut off at once and take effect LateMillis later; -1 means every one.
	LateWrites int `json:"late-writes"`
	// LateMillis is how much later late writes take effect; zero holds them until Late is called.
	LateMillis int `json:"late-ms"`
	// CutReads cuts reads and watches off unanswered.
	CutReads bool `json:"cut-reads"`
	// KeyPrefix limits the faults of writes to keys with this prefix.
	KeyPrefix string `json:"key-prefix"`
	// StaleBy answers reads from a state this many revisions old.
	StaleBy int64 `json:"stale-by"`
	// DropWatches cuts the open watches once.
	DropWatches bool `json:"drop-watches"`
	// Compact forgets the history up to the present revision once.
	Compact bool `json:"compact"`
}

// check refuses a fault that makes no sense.
func (f Fault) check() error {
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

// writeFault is what happens to one write.
type writeFault uint8

const (
	writeNormal writeFault = iota
	writeLoseAnswer
	writeCut
	writeLate
)

// platformScript holds the fault in force.
type platformScript struct {
	mu             sync.Mutex
	fault          Fault
	expires        time.Time
	changed        chan struct{}
	watchesDropped chan struct{}
}

// newPlatformScript returns a script without faults.
func newPlatformScript() *platformScript {
	return &platformScript{changed: make(chan struct{}), watchesDropped: make(chan struct{})}
}

// set puts a fault in force and wakes what the one before held up.
func (s *platformScript) set(f Fault) {
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
func (s *platformScript) current() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearExpired()
	return s.fault, s.changed
}

// clearExpired ends a fault whose time is over.
func (s *platformScript) clearExpired() {
	if !s.expires.IsZero() && !time.Now().Before(s.expires) {
		s.fault, s.expires = Fault{}, time.Time{}
	}
}

// dropWatches cuts the open watches.
func (s *platformScript) dropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesDropped)
	s.watchesDropped = make(chan struct{})
}

// dropped returns a channel that is closed when watches are to be cut.
func (s *platformScript) dropped() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesDropped
}

// takeWrite decides what happens to a write of the key and uses up one counted fault.
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

// useOne uses up one of n, where a negative n never runs out.
func useOne(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
