package beryllimit

import "time"

// LeaseRequest asks the owner of an account for a lease on its limits. It may be sent twice: requests and tokens are then
// leased twice, while slots are an absolute number.
type LeaseRequest struct {
	// Caller is the name of the client account.
	Caller string `cbor:"1,keyasint"`
	// Host is the name of the requesting host, or empty for a windowed account. The owner takes the name of its peer.
	Host string `cbor:"2,keyasint"`
	// Requests is how many requests are needed now; the owner grants at least that many or none.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	// Tokens is how many tokens are needed now; the owner grants at least that many or none.
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	// Slots is the total number of requests in flight that the host wants to be allowed, including those it already has.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Sequence numbers the requests of a host for a windowed account, from the time in nanoseconds at which the host first
	// held something of it. Zero means that the account is not windowed; then the fields below are absent.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Missed is how many requests before this one the host has sent without receiving a grant. Their grants are void.
	Missed uint64 `cbor:"7,keyasint,omitempty"`
	// Ahead is how many requests the host would like to lease beyond Requests; the owner grants any part of it.
	Ahead uint64 `cbor:"8,keyasint,omitempty"`
	// Held is how many requests the host has leased and not spent.
	Held uint64 `cbor:"9,keyasint,omitempty"`
	// Returned is the sum of the leased requests that the host has not spent and no longer holds.
	Returned uint64 `cbor:"10,keyasint,omitempty"`
	// Debt is the sum of the requests that the host has run without a lease.
	Debt uint64 `cbor:"11,keyasint,omitempty"`
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	// Requests is how many requests are leased: at least as many as requested, or zero. For a windowed account it is any
	// number; if it is lower than requested, Wait is set.
	Requests float64 `cbor:"1,keyasint,omitempty"`
	// Tokens is how many tokens are leased: at least as many as requested, or zero.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
	// Slots is the total number of requests in flight that the host is allowed.
	Slots int `cbor:"3,keyasint,omitempty"`
	// Wait is the predicted time until the refused requests and tokens are available. It is zero if they were granted,
	// or if they were not considered because fewer slots than requested were free.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}
