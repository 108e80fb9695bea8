package berylonce

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// keyPrefix is the prefix of all record keys in the platform's key-value service.
	keyPrefix = "/berylroad/once/"
	// maxKeyBytes is the longest accepted idempotency key.
	maxKeyBytes = 255
	// maxRecordOverheadBytes is an upper bound on the encoded size of a record without the body of its answer.
	maxRecordOverheadBytes = 16 << 10
	// maxCallerBytes is the longest accepted caller name.
	maxCallerBytes = 255
)

// state is the state of a keyed request. The numbers are stored in records.
type state uint8

const (
	// stateRunning means that the holder may be running the request or may have run it.
	stateRunning state = iota + 1
	// stateDone means that the request is done and the record holds its answer.
	stateDone
	// stateNotKept means that the request is done and its answer was too large for the record.
	stateNotKept
	// stateFree means that there is no result to keep and the key may be claimed again. The record is kept rather than
	// deleted, so that its revision keeps rising and a delayed write of an earlier holder can't succeed.
	stateFree
	// stateUnknown means that a never-repeat request may have run and must not run again.
	stateUnknown
)

// nonce identifies one claim of a key.
type nonce [16]byte

// record is the stored state of one idempotency key.
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
	// Renewals counts the renewals of the claim, so that each renewal writes a different value.
	Renewals uint32 `cbor:"10,keyasint,omitempty"`
}

// encode returns the stored form of the record.
func (r record) encode() []byte {
	value, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode a keyed request's record"))
	}
	return value
}

// decodeRecord decodes and checks the stored form of a record.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode a keyed request's record")
	}
	if r.State < stateRunning || r.State > stateUnknown {
		return record{}, errors.Newf("a keyed request's record has the invalid state %d", r.State)
	}
	if r.State == stateDone && r.Answer == nil {
		return record{}, errors.New("a keyed request's record is marked done but has no answer")
	}
	return r, nil
}

// recordKey returns the name under which the record of a caller's key is stored. Names are hashes: they all have the
// same length and do not reveal the idempotency key.
func recordKey(caller, key string) string {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	hash.Write(length[:])
	hash.Write([]byte(caller))
	hash.Write([]byte(key))
	return keyPrefix + base64.RawURLEncoding.EncodeToString(hash.Sum(nil))
}
