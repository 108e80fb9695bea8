package berylfake

import (
	"sync"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// UpstreamFaultMode names a way in which a stand-in misbehaves.
type UpstreamFaultMode string

const (
	// FaultNone clears whatever fault is set.
	FaultNone UpstreamFaultMode = ""
	// FaultRefuse closes the listening socket, so that new connections are refused.
	FaultRefuse UpstreamFaultMode = "refuse"
	// FaultStatus answers UpstreamFault.Status; 429 and 503 do so unrun, any other status after the run.
	FaultStatus UpstreamFaultMode = "status"
	// FaultDrop runs the request and closes the connection without an answer.
	FaultDrop UpstreamFaultMode = "drop"
	// FaultGarbage answers bytes that are neither JSON nor events.
	FaultGarbage UpstreamFaultMode = "garbage"
	// FaultNotHTTP answers bytes that are not HTTP.
	FaultNotHTTP UpstreamFaultMode = "not-http"
	// FaultCut closes the connection in the middle of a chunk after UpstreamFault.After tokens.
	FaultCut UpstreamFaultMode = "cut"
	// FaultNoEnd ends a stream cleanly after UpstreamFault.After tokens without its [DONE].
	FaultNoEnd UpstreamFaultMode = "no-end"
	// FaultEndlessHeader answers with a header that does not end.
	FaultEndlessHeader UpstreamFaultMode = "endless-header"
	// FaultEndless streams tokens without end, or an endless body.
	FaultEndless UpstreamFaultMode = "endless"
	// FaultStall waits UpstreamFault.For before the token with number UpstreamFault.After.
	FaultStall UpstreamFaultMode = "stall"
	// FaultHang never answers.
	FaultHang UpstreamFaultMode = "hang"
	// FaultLate runs at once and answers after UpstreamFault.For, even when the client has gone.
	FaultLate UpstreamFaultMode = "late"
	// FaultSlow multiplies all times by UpstreamFault.Factor.
	FaultSlow UpstreamFaultMode = "slow"
	// FaultDrip writes the answer one byte each UpstreamFault.For, from the token with number UpstreamFault.After on.
	FaultDrip UpstreamFaultMode = "drip"
	// FaultCrossed answers with another request's id.
	FaultCrossed UpstreamFaultMode = "crossed"
)

// UpstreamFault scripts one way of misbehaving.
type UpstreamFault struct {
	// Mode names the fault.
	Mode UpstreamFaultMode `json:"mode"`
	// Status is the answer of FaultStatus.
	Status int `json:"status,omitempty"`
	// After counts the tokens given before the fault acts.
	After int `json:"after,omitempty"`
	// For is how long a stall or a late answer takes, and how long the fault stays set where Mode is refuse or slow; zero is until cleared.
	For berylconf.Duration `json:"for,omitempty"`
	// Factor multiplies all times of FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// Requests is how many requests the fault hits; zero is all until cleared.
	Requests int `json:"requests,omitempty"`
}

// faultScript hands the set fault out to requests.
type faultScript struct {
	mu    sync.Mutex
	fault UpstreamFault
	until time.Time
}

func (s *faultScript) set(fault UpstreamFault, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.until = time.Time{}
	timed := fault.Mode == FaultRefuse || fault.Mode == FaultSlow
	if timed && fault.For > 0 {
		s.until = now.Add(fault.For.Std())
	}
}

// take returns the fault that the next request meets.
func (s *faultScript) take(now time.Time) UpstreamFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.until.IsZero() && now.After(s.until) {
		s.fault = UpstreamFault{}
		s.until = time.Time{}
	}
	taken := s.fault
	if taken.Requests == 0 {
		return taken
	}
	s.fault.Requests--
	if s.fault.Requests == 0 {
		s.fault = UpstreamFault{}
	}
	return taken
}

// slowFactor returns by how much times grow now.
func (s *faultScript) slowFactor(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Mode != FaultSlow || s.fault.Factor <= 0 {
		return 1
	}
	if !s.until.IsZero() && now.After(s.until) {
		return 1
	}
	return s.fault.Factor
}
