package beryllimit

import "time"

// LeaseRequest asks the owner of an account for a lease on its limits. It may be sent twice: requests and tokens are then
// leased twice, while slots are an absolute number.
type LeaseRequest struct {
	// Caller is the name of the client account.
	Caller string `cbor:"1,keyasint"`
	// Host is the name of the requesting host.
	Host string `cbor:"2,keyasint"`
	// Requests is how many requests are needed now; the owner grants at least that many or none.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	// Tokens is how many tokens are needed now; the owner grants at least that many or none.
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	// Slots is the total number of requests in flight that the host wants to be allowed, including those it already has.
	Slots int `cbor:"5,keyasint,omitempty"`
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	// Requests is how many requests are leased: at least as many as requested, or zero.
	Requests float64 `cbor:"1,keyasint,omitempty"`
	// Tokens is how many tokens are leased: at least as many as requested, or zero.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
	// Slots is the total number of requests in flight that the host is allowed.
	Slots int `cbor:"3,keyasint,omitempty"`
	// Wait is the predicted time until the refused requests and tokens are available. It is zero if they were granted,
	// or if they were not considered because fewer slots than requested were free.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}
