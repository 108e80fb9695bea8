package beryllimit

import "time"

// LeaseRequest requests a loan of one caller's limits from its owner; sending it again only lends more requests and tokens.
type LeaseRequest struct {
	// Caller names the account.
	Caller string `cbor:"1,keyasint"`
	// Host names the asking host.
	Host string `cbor:"2,keyasint"`
	// Requests is how many requests are needed now; the owner lends all of them or none.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	// Tokens is how many tokens are needed now; the owner lends all of them or none.
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	// Slots is how many requests in flight the host wants to hold in all, those it holds already included.
	Slots int `cbor:"5,keyasint,omitempty"`
}

// LeaseGrant answers an Ask.
type LeaseGrant struct {
	// Requests is how many requests are lent, at least those needed or zero.
	Requests float64 `cbor:"1,keyasint,omitempty"`
	// Tokens is how many tokens are lent, at least those needed or zero.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
	// Slots is how many requests in flight the host may hold in all.
	Slots int `cbor:"3,keyasint,omitempty"`
	// Wait is the time until what was needed and not lent can be, or zero.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}
