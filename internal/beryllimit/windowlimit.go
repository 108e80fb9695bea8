package beryllimit

import "time"

const (
	// windowLength is the length of the sliding window over which the bound of a windowed account holds.
	windowLength = 5 * time.Second
	// leaseAhead is the time whose usual consumption a host leases ahead of its requests.
	leaseAhead = 250 * time.Millisecond
	// windowLeaseDuration is how long a host may spend what it has leased of a windowed account.
	windowLeaseDuration = 500 * time.Millisecond
	// ownerPause is the pause of this process after which an owner starts afresh, since other hosts may have owned its
	// accounts meanwhile.
	ownerPause = time.Second
	// minListedShare is the share of the listed hosts that an owner must see to grant the whole limit. What the other tenth
	// admits by shares is within the tolerance of the bound.
	minListedShare = 0.9
	// ownerRamp is the time for which a new owner grants only ownerRampShare of the rate. The last owner may not know of the
	// change yet, and both together must stay within the tolerance. With half of the rate, two owners and then a cut within
	// one window exceeded the bound (1183 in a window, bound 1158).
	ownerRamp      = time.Second
	ownerRampShare = 0.25
	// cutOffShare scales what hosts admit that are cut off from most others. The tolerance over a window is half a second's
	// rate; a tenth of the hosts would use it up with whole shares and leave nothing for leases that are not spent yet.
	cutOffShare = 0.5

	// The tolerance of the bound is 0.5 of the rate, 0.1 of the burst and 20 requests. Shares of hosts that are cut off take
	// a quarter of the rate. Leases ahead of requests take maxAheadTime's rate twice: what hosts hold as a window begins, and
	// what the owner overdraws since hosts hold what they may not need. The parts below are taken from the burst and the 20;
	// a new owner's part may be taken twice, by two hosts that both consider themselves the owner.
	maxAheadTime     = 125 * time.Millisecond
	startBurstShare  = 0.02
	startRequests    = 4.0
	jitterBurstShare = 0.01
	jitterRequests   = 2.0
)

// windowLimit is the limit of a windowed account.
type windowLimit struct {
	rate, burst float64
}

func windowLimitOf(a *Account) windowLimit {
	return windowLimit{rate: a.RequestsPerSecond, burst: max(1, a.Burst)}
}

// scale returns a part of the limit.
func (l windowLimit) scale(part float64) windowLimit {
	return windowLimit{rate: l.rate * part, burst: l.burst * part}
}

// startLevel is the level with which a new owner without state starts.
func (l windowLimit) startLevel() float64 {
	return min(l.burst, startBurstShare*l.burst+startRequests)
}

// jitter is how far an owner overdraws the bucket, so that requests which reach it a little early are not refused.
func (l windowLimit) jitter() float64 {
	return jitterBurstShare*l.burst + jitterRequests
}

// maxAhead bounds what is leased ahead of requests to all hosts together.
func (l windowLimit) maxAhead() float64 {
	return l.rate * maxAheadTime.Seconds()
}

// interval is the time in which one request accrues.
func (l windowLimit) interval() time.Duration {
	return time.Duration(min(float64(time.Second)/l.rate, float64(maxWait)))
}

// ownerPart is the part of a limit that an owner grants which sees that many live hosts of the listed ones.
func ownerPart(live, listed int) float64 {
	if listed <= 0 || float64(live) >= minListedShare*float64(listed) {
		return 1
	}
	part := float64(live) / float64(listed)
	if part <= 1-minListedShare {
		part *= cutOffShare
	}
	return part
}

// share is the limit by which a host admits that can't reach the owner.
func (l windowLimit) share(listed int) windowLimit {
	s := l.scale(cutOffShare / float64(max(listed, 1)))
	return windowLimit{rate: s.rate, burst: max(1, s.burst)}
}
