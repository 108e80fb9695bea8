package berylbatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylstore"
)

// Prefixes of the keys in the store.
const (
	// RecordPrefix is the key prefix of the jobs' records, which every host follows.
	RecordPrefix  = "berylroad/job/"
	specPrefix    = "berylroad/spec/"
	segmentPrefix = "berylroad/segment/"
)

func recordKey(id string) string { return RecordPrefix + id }

func specKey(id string) string { return specPrefix + id }

func jobSegmentPrefix(id string) string { return segmentPrefix + id + "/" }

// segmentKey returns the key of the segment whose first result has the given position in the job's results. Keys sort by
// position.
func segmentKey(id string, position int) string {
	return fmt.Sprintf("%s%06d", jobSegmentPrefix(id), position)
}

func jobID(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// Record is the stored state of a job: its owner, its route and whether it is still open.
type Record struct {
	// Owner names the host that runs the job; it is empty after a stopping host has released the job.
	Owner string `cbor:"1,keyasint,omitempty"`
	// Boot identifies the run of the owner's process, so that a restarted host does not pass for the owner.
	Boot uint64 `cbor:"2,keyasint,omitempty"`
	// Host and Path are the HTTP host and path that the job was submitted to; they select its route.
	Host string `cbor:"3,keyasint"`
	Path string `cbor:"4,keyasint"`
	// Route is the name of the route when the job was submitted.
	Route string `cbor:"5,keyasint"`
	// Total is the number of items.
	Total int `cbor:"6,keyasint"`
	// Tokens is the sum of the items' tokens.
	Tokens int64 `cbor:"7,keyasint"`
	// Submitted is when the job was accepted, in milliseconds of Unix time.
	Submitted int64 `cbor:"8,keyasint"`
	// Cancelled is set once the caller has cancelled the job.
	Cancelled bool `cbor:"9,keyasint,omitempty"`
	// Done is set once every item has a committed result.
	Done bool `cbor:"10,keyasint,omitempty"`
	// Adoptions counts the changes of owner.
	Adoptions int `cbor:"11,keyasint,omitempty"`
	// PreviousOwner and PreviousBoot identify the host run that owned the job before. The owner resumes items from the
	// progress which that run stored.
	PreviousOwner string `cbor:"12,keyasint,omitempty"`
	PreviousBoot  uint64 `cbor:"13,keyasint,omitempty"`
	// Account is the name of the client account that submitted the job, or empty if there are no accounts.
	Account string `cbor:"14,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration under which the job was accepted, or zero if an older build accepted it.
	ConfigVersion int64 `cbor:"15,keyasint,omitempty"`

	unknown berylstore.UnknownFields
}

// MarshalCBOR encodes the record with the fields that this build does not know.
func (r Record) MarshalCBOR() ([]byte, error) {
	type plainRecord Record
	return berylstore.EncodeRecord((*plainRecord)(&r), r.unknown)
}

// UnmarshalCBOR decodes a record and keeps the fields that this build does not know.
func (r *Record) UnmarshalCBOR(data []byte) error {
	type plainRecord Record
	unknown, err := berylstore.DecodeRecord(data, (*plainRecord)(r))
	r.unknown = unknown
	return err
}

// Open reports whether results may still be added.
func (r *Record) Open() bool {
	return !r.Cancelled && !r.Done
}

// VisibleTo reports whether an account may read and cancel the job. An empty name stands for callers of a deployment without
// accounts; a job without an account was accepted by a build that did not know accounts, or before there were any.
func (r *Record) VisibleTo(account string) bool {
	return r.Account == account || r.Account == "" || account == ""
}

func (r *Record) submitted() time.Time {
	return time.UnixMilli(r.Submitted)
}

// Item is one request of a job.
type Item struct {
	// ID is chosen by the caller and unique in the job.
	ID string `cbor:"1,keyasint"`
	// Path is the request path at the upstream.
	Path string `cbor:"2,keyasint"`
	// Header holds the header fields to send.
	Header []berylrelay.HeaderField `cbor:"3,keyasint,omitempty"`
	// Body is the request body.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Tokens is the length of the prompt plus the maximum length of the answer.
	Tokens int64 `cbor:"5,keyasint,omitempty"`
	// PromptParts names the parts of the prompt that other prompts may hold too, in order.
	PromptParts []string `cbor:"6,keyasint,omitempty"`
	// PromptTokens is the length of the prompt in tokens, or zero if unknown.
	PromptTokens int `cbor:"7,keyasint,omitempty"`
}

// Spec is a job as its caller submitted it.
type Spec struct {
	// Items are in the caller's order.
	Items []Item `cbor:"1,keyasint"`
}

// State says how an item ended.
type State uint8

const (
	// Completed means that the item's answer was received in full.
	Completed State = iota + 1
	// Abandoned means that the item was given up: it failed for good, its retention is over or its route was removed.
	Abandoned
)

// Result is the outcome of one item.
type Result struct {
	// ID is the Item.ID of the item that ended.
	ID string `cbor:"1,keyasint"`
	// State says how the item ended.
	State State `cbor:"2,keyasint"`
	// Text holds the data of all events, separated by line feeds; it is empty for an abandoned item.
	Text []byte `cbor:"3,keyasint,omitempty"`
}

// errUnreadable marks a value in the store that this build can't decode: it is damaged or of a newer form.
var errUnreadable = errors.New("the value can't be decoded")

// encode returns the CBOR form of a value for the store.
func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // structs of strings, numbers and byte slices always encode
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(data, &value)
	return value, errors.Mark(errors.Wrap(err, "value in the store"), errUnreadable)
}
