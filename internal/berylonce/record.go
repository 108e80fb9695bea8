package berylonce

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// keyPrefix starts the names of all records in the platform's service.
	keyPrefix = "/berylroad/once/"
	// maxKeyBytes is the longest idempotency key that is taken.
	maxKeyBytes = 255
	// maxRecordOverheadBytes is more than a record takes beside its answer's body.
	maxRecordOverheadBytes = 16 << 10
	// maxCallerBytes is the longest caller name that is taken.
	maxCallerBytes = 255
)

// state is where a keyed request stands.
type state uint8

const (
	// stateRunning means that the holder may run the request or has run it.
	stateRunning state = iota + 1
	// stateDone means that the answer is in the record.
	stateDone
	// stateNotKept means that the request is done and its answer was too large for the record.
	stateNotKept
	// stateFree means that no run counts and the next may begin. The record stays, so that its revision goes on rising
	// and a late write from an earlier holder can't succeed.
	stateFree
	// stateUnknown means that a never-repeat request may have run.
	stateUnknown
)

// nonce tells one claim of a key from another.
type nonce [16]byte

// record is what the platform's service holds under a key.
type record struct {
	State       state    `cbor:"1,keyasint"`
	NeverRepeat bool     `cbor:"2,keyasint,omitempty"`
	Caller      string   `cbor:"3,keyasint"`
	Key         string   `cbor:"4,keyasint"`
	BodyHash    [32]byte `cbor:"5,keyasint"`
	Host        string   `cbor:"6,keyasint"`
	Boot        uint64   `cbor:"7,keyasint"`
	Nonce       nonce    `cbor:"8,keyasint"`
	Answer      *Answer  `cbor:"9,keyasint,omitempty"`
	// Renewals makes the value of each renewal by one holder differ.
	Renewals uint32 `cbor:"10,keyasint,omitempty"`
}

// encode returns the record's value.
func (r record) encode() []byte {
	value, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode a keyed request's record"))
	}
	return value
}

// decodeRecord reads a record's value.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode a keyed request's record")
	}
	if r.State < stateRunning || r.State > stateUnknown {
		return record{}, errors.Newf("keyed request's record has state %d", r.State)
	}
	if r.State == stateDone && r.Answer == nil {
		return record{}, errors.New("keyed request's record is done without an answer")
	}
	return r, nil
}

// recordKey names the record of a caller's key; the names are of one length and tell nothing of the key.
func recordKey(caller, key string) string {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	hash.Write(length[:])
	hash.Write([]byte(caller))
	hash.Write([]byte(key))
	return keyPrefix + base64.RawURLEncoding.EncodeToString(hash.Sum(nil))
}
