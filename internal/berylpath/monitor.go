package berylpath

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspectUpstreams is how many upstreams must fail, without a sign of life from any other, for a host to suspect its own
	// network.
	suspectUpstreams = 2
	// silenceTime is how long all upstreams with calls under way must be silent for a host to suspect its own network.
	silenceTime = 700 * time.Millisecond
	// silenceCheckInterval is the least time between two checks for silence. Upstreams may be silent because they are slow.
	silenceCheckInterval = 2 * time.Second
	// failureMemory is how long a failure counts.
	failureMemory = 5 * time.Second
	// minProbeInterval is the time between two attempts of an isolated host to reach upstreams again. It doubles with each
	// isolation that follows soon after the last, up to maxProbeInterval.
	minProbeInterval = 400 * time.Millisecond
	maxProbeInterval = 3200 * time.Millisecond
	// calmTime is how long a host must have reached upstreams for the interval to start from the minimum again.
	calmTime = 30 * time.Second
	// probesToReturn is how many upstreams an isolated host must reach in a row before it calls upstreams itself again.
	probesToReturn = 2
)

// State says whether a host reaches upstreams itself.
type State uint8

const (
	// Reachable is the usual state: failed calls are faults of upstreams.
	Reachable State = iota
	// Checking means that several upstreams have failed in a row, so that the fault may be this host's. A check is under way.
	Checking
	// Isolated means that the check has reached no upstream either.
	Isolated
)

// String returns the name used in logs and in the status.
func (s State) String() string {
	switch s {
	case Checking:
		return "checking"
	case Isolated:
		return "isolated"
	default:
		return "reachable"
	}
}

// failures holds the upstreams that have failed in one way since the last success in that way, with the times of their last
// failures.
type failures map[string]time.Time

// record adds a failure and returns how many upstreams have failed since the last success.
func (f failures) record(now, lastSuccess time.Time, upstream string) int {
	for u, at := range f {
		if !at.After(lastSuccess) || now.Sub(at) > failureMemory {
			delete(f, u)
		}
	}
	f[upstream] = now
	return len(f)
}

// monitor decides from the ends of this host's own calls whether the host reaches upstreams. It has no clock and makes no
// calls. The zero value is ready to use.
type monitor struct {
	// lastProgress is when bytes last arrived from any upstream, with its monotonic reading; nil means never.
	lastProgress atomic.Pointer[time.Time]

	mu    sync.Mutex
	state State
	// connects holds the upstreams to which no connection could be opened, calls those whose calls have failed. They are kept
	// apart, since open connections may work while new ones fail, and the reverse.
	connects, calls failures
	lastConnect     time.Time
	// silenceChecked is when silence last led to a check.
	silenceChecked time.Time
	// returned is when the last isolation ended, isolations counts those that followed each other soon.
	returned      time.Time
	isolations    int
	nextProbe     time.Time
	probesReached int
}

// progress records that bytes have arrived from an upstream.
func (m *monitor) progress(now time.Time) {
	m.lastProgress.Store(&now)
}

// progressAt returns when bytes last arrived from any upstream, or the zero time.
func (m *monitor) progressAt() time.Time {
	if at := m.lastProgress.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// connected records that a connection to an upstream was opened.
func (m *monitor) connected(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastConnect = now
}

// connectFailed records that no connection to an upstream could be opened. It returns true if a check has to begin.
func (m *monitor) connectFailed(now time.Time, upstream string, known int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connects == nil {
		m.connects = make(failures)
	}
	return m.suspect(m.connects.record(now, m.lastConnect, upstream), known)
}

// callFailed records that a call to an upstream has failed. It returns true if a check has to begin.
func (m *monitor) callFailed(now time.Time, upstream string, known int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.calls == nil {
		m.calls = make(failures)
	}
	return m.suspect(m.calls.record(now, m.progressAt(), upstream), known)
}

// silent records that so many upstreams have had calls under way for silenceTime. It returns true if a check has to begin, since
// none of them has sent anything meanwhile.
func (m *monitor) silent(now time.Time, upstreams int) bool {
	if now.Sub(m.progressAt()) < silenceTime {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.silenceChecked) < silenceCheckInterval || !m.suspect(upstreams, suspectUpstreams) {
		return false
	}
	m.silenceChecked = now
	return true
}

// suspect begins a check if enough of the known upstreams have failed. The caller holds mu.
func (m *monitor) suspect(failed, known int) bool {
	if m.state != Reachable || failed < min(suspectUpstreams, known) {
		return false
	}
	m.state = Checking
	return true
}

// checked ends a check.
func (m *monitor) checked(now time.Time, reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != Checking {
		return
	}
	clear(m.connects)
	clear(m.calls)
	if reached {
		m.state = Reachable
		return
	}
	m.state = Isolated
	if now.Sub(m.returned) > calmTime {
		m.isolations = 0
	}
	m.isolations++
	m.probesReached = 0
	m.nextProbe = now.Add(m.probeInterval())
}

// probeInterval returns the time between two probes. The caller holds mu.
func (m *monitor) probeInterval() time.Duration {
	return min(minProbeInterval<<min(max(m.isolations-1, 0), 8), maxProbeInterval)
}

// probeDue reports whether an isolated host should try to reach an upstream again.
func (m *monitor) probeDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == Isolated && !now.Before(m.nextProbe)
}

// probed records the end of a probe. After probesToReturn that have reached an upstream the host is no longer isolated.
func (m *monitor) probed(now time.Time, reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != Isolated {
		return
	}
	if !reached {
		m.probesReached = 0
		m.nextProbe = now.Add(m.probeInterval())
		return
	}
	m.probesReached++
	m.nextProbe = now
	if m.probesReached >= probesToReturn {
		m.state, m.returned = Reachable, now
		m.lastConnect = now
	}
}

// current returns the state.
func (m *monitor) current() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}
