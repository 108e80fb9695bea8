package berylquarantine

import "time"

// Message tells another host what this one knows, and asks for its evidence.
type Message struct {
	// Service is the service whose upstream has crashed.
	Service string `cbor:"1,keyasint,omitempty"`
	// Parts are the parts to give evidence about.
	Parts []string `cbor:"2,keyasint,omitempty"`
	// Evidence is what the sender knows of the parts.
	Evidence Evidence `cbor:"3,keyasint,omitempty"`
	// Verdicts are new verdicts.
	Verdicts []Verdict `cbor:"4,keyasint,omitempty"`
	// Lifted are the keys of verdicts that no longer hold.
	Lifted []string `cbor:"5,keyasint,omitempty"`
	// Forward names the hosts to which the receiver passes the message on. Its reply includes theirs.
	Forward []string `cbor:"6,keyasint,omitempty"`
}

// Evidence is what hosts know of prompt parts. Times are ages, since the clocks of hosts are never compared.
type Evidence struct {
	// Parts holds one entry for each part of which a host knows anything.
	Parts []PartEvidence `cbor:"1,keyasint,omitempty"`
	// SinceBegins are the ages of the last begun answers of the service.
	SinceBegins []time.Duration `cbor:"2,keyasint,omitempty"`
}

// PartEvidence is what one host knows of a part.
type PartEvidence struct {
	// Part is the part's ID.
	Part string `cbor:"1,keyasint"`
	// Begun is set if an upstream has begun to answer a prompt with the part, last SinceBegun ago.
	Begun      bool          `cbor:"2,keyasint,omitempty"`
	SinceBegun time.Duration `cbor:"3,keyasint,omitempty"`
	// Accusations are the crashes that count against the part.
	Accusations []Accusation `cbor:"4,keyasint,omitempty"`
}

// Accusation is a crash that counts against a part.
type Accusation struct {
	// Crash identifies the crash, as in Break.
	Crash string `cbor:"1,keyasint"`
	// SinceSent and SinceBroke are how long ago the call was sent and broke off.
	SinceSent  time.Duration `cbor:"2,keyasint"`
	SinceBroke time.Duration `cbor:"3,keyasint"`
}
