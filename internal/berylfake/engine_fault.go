package berylfake

import (
	"sync"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
)

// UpstreamFaultMode is a kind of failure that an engine or service stand-in can simulate.
type UpstreamFaultMode string

const (
	// FaultNone clears the fault.
	FaultNone UpstreamFaultMode = ""
	// FaultRefuse closes the listening socket, so that new connections are refused. Runs in progress continue.
	FaultRefuse UpstreamFaultMode = "refuse"
	// FaultStatus answers with UpstreamFault.Status. With 429 and 503 the request does not run unless AfterRun is set; with any other status it counts
	// as run.
	FaultStatus UpstreamFaultMode = "status"
	// FaultDrop counts the request as run and closes the connection without an answer.
	FaultDrop UpstreamFaultMode = "drop"
	// FaultGarbage answers with a body that is neither JSON nor server-sent events.
	FaultGarbage UpstreamFaultMode = "garbage"
	// FaultNotHTTP answers with bytes that are not HTTP.
	FaultNotHTTP UpstreamFaultMode = "not-http"
	// FaultCut closes the connection in the middle of a chunk after UpstreamFault.AfterTokens tokens of a stream, or half way through
	// the body of a plain answer.
	FaultCut UpstreamFaultMode = "cut"
	// FaultNoEnd ends a stream cleanly after UpstreamFault.AfterTokens tokens, without [DONE].
	FaultNoEnd UpstreamFaultMode = "no-end"
	// FaultEndlessHeader sends response headers without end.
	FaultEndlessHeader UpstreamFaultMode = "endless-header"
	// FaultEndless streams tokens without end, or sends an endless body.
	FaultEndless UpstreamFaultMode = "endless"
	// FaultStall pauses for UpstreamFault.Duration before the token with index UpstreamFault.AfterTokens.
	FaultStall UpstreamFaultMode = "stall"
	// FaultHang never answers.
	FaultHang UpstreamFaultMode = "hang"
	// FaultLate counts the request as started at once and begins the answer after UpstreamFault.Duration. The wait does not end if
	// the client disconnects.
	FaultLate UpstreamFaultMode = "late"
	// FaultSlow multiplies all durations by UpstreamFault.Factor.
	FaultSlow UpstreamFaultMode = "slow"
	// FaultDrip sends the answer one byte per UpstreamFault.Duration, from the token with index UpstreamFault.AfterTokens on.
	FaultDrip UpstreamFaultMode = "drip"
	// FaultWrongRequestID answers with the X-Request-Id of another request, as if responses were mixed up.
	FaultWrongRequestID UpstreamFaultMode = "crossed"
	// FaultLeaving says in the header of each answer that the stand-in leaves, and answers as usual.
	FaultLeaving UpstreamFaultMode = "leaving"
)

// UpstreamFault scripts one failure of an engine or service stand-in.
type UpstreamFault struct {
	// Mode is the kind of failure; FaultNone means that there is none.
	Mode UpstreamFaultMode `json:"mode"`
	// Status is the HTTP status that FaultStatus answers with.
	Status int `json:"status,omitempty"`
	// NotRun makes an answer of FaultStatus with 429 or 503 state that the request was not run.
	NotRun bool `json:"not-run,omitempty"`
	// AfterRun makes FaultStatus run the request whatever the status.
	AfterRun bool `json:"after-run,omitempty"`
	// AfterTokens is the number of tokens sent before the fault takes effect.
	AfterTokens int `json:"after,omitempty"`
	// Duration is the length of a stall, the delay of a late answer, or the time per byte under FaultDrip. With FaultRefuse and
	// FaultSlow it is how long the fault stays set; zero means until it is cleared.
	Duration berylconf.Duration `json:"for,omitempty"`
	// Factor is the number by which FaultSlow multiplies all durations.
	Factor float64 `json:"factor,omitempty"`
	// Requests is the number of requests that the fault affects; zero means all requests until the fault is cleared.
	Requests int `json:"requests,omitempty"`
}

// faultScript holds the current fault and when it expires.
type faultScript struct {
	mu      sync.Mutex
	fault   UpstreamFault
	expires time.Time
}

func (s *faultScript) set(fault UpstreamFault, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.expires = time.Time{}
	timed := fault.Mode == FaultRefuse || fault.Mode == FaultSlow
	if timed && fault.Duration > 0 {
		s.expires = now.Add(fault.Duration.Std())
	}
}

// take returns the fault for the next request and uses up one of UpstreamFault.Requests.
func (s *faultScript) take(now time.Time) UpstreamFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.expires.IsZero() && now.After(s.expires) {
		s.fault = UpstreamFault{}
		s.expires = time.Time{}
	}
	fault := s.fault
	if fault.Requests == 0 {
		return fault
	}
	s.fault.Requests--
	if s.fault.Requests == 0 {
		s.fault = UpstreamFault{}
	}
	return fault
}

// slowFactor returns the number by which durations are multiplied now: the factor of FaultSlow, or 1.
func (s *faultScript) slowFactor(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Mode != FaultSlow || s.fault.Factor <= 0 {
		return 1
	}
	if !s.expires.IsZero() && now.After(s.expires) {
		return 1
	}
	return s.fault.Factor
}
