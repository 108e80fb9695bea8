package berylbatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/berylrelay"
)

// Prefixes of the keys in the store.
const (
	// RecordPrefix begins the keys of the jobs' records, which all hosts follow.
	RecordPrefix  = "berylroad/job/"
	specPrefix    = "berylroad/spec/"
	segmentPrefix = "berylroad/segment/"
)

func recordKey(id string) string { return RecordPrefix + id }

func specKey(id string) string { return specPrefix + id }

func jobSegmentPrefix(id string) string { return segmentPrefix + id + "/" }

// segmentKey names the segment whose first result has that position; keys sort by position.
func segmentKey(id string, position int) string {
	return fmt.Sprintf("%s%06d", jobSegmentPrefix(id), position)
}

func jobID(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// Record says who runs a job and how far it is.
type Record struct {
	// Owner names the host that runs the job; it is empty when a host that stopped has given it back.
	Owner string `cbor:"1,keyasint,omitempty"`
	// Boot tells the owner's run from others.
	Boot uint64 `cbor:"2,keyasint,omitempty"`
	// Host and Path are those that the job was sent to; they select its route.
	Host string `cbor:"3,keyasint"`
	Path string `cbor:"4,keyasint"`
	// Route is the name of the route at the submission.
	Route string `cbor:"5,keyasint"`
	// Total counts the items.
	Total int `cbor:"6,keyasint"`
	// Tokens sums the tokens of the items.
	Tokens int64 `cbor:"7,keyasint"`
	// Submitted is when the job was accepted, in milliseconds of Unix time.
	Submitted int64 `cbor:"8,keyasint"`
	// Cancelled marks a job that its caller has ended.
	Cancelled bool `cbor:"9,keyasint,omitempty"`
	// Done marks a job of which all results are listed.
	Done bool `cbor:"10,keyasint,omitempty"`
	// Adoptions counts the changes of owner.
	Adoptions int `cbor:"11,keyasint,omitempty"`
	// PreviousOwner and LastBoot name the run of a host that ran the job before; its record of progress may serve the owner.
	PreviousOwner string `cbor:"12,keyasint,omitempty"`
	PreviousBoot  uint64 `cbor:"13,keyasint,omitempty"`
}

// Open says that results may still be added.
func (r *Record) Open() bool {
	return !r.Cancelled && !r.Done
}

func (r *Record) submitted() time.Time {
	return time.UnixMilli(r.Submitted)
}

// Item is one request of a job.
type Item struct {
	// ID is the caller's.
	ID string `cbor:"1,keyasint"`
	// Path is where the item is sent.
	Path string `cbor:"2,keyasint"`
	// Header holds the fields to send.
	Header []berylrelay.HeaderField `cbor:"3,keyasint,omitempty"`
	// Body is the request body.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// Tokens is the prompt's length and the longest answer's together.
	Tokens int64 `cbor:"5,keyasint,omitempty"`
}

// Spec is a job as its caller sent it.
type Spec struct {
	// Items are in the caller's order.
	Items []Item `cbor:"1,keyasint"`
}

// State is how an item ended.
type State uint8

const (
	// Completed marks an item whose whole text is there.
	Completed State = iota + 1
	// Abandoned marks an item that was given up.
	Abandoned
)

// Result is one listed item.
type Result struct {
	// ID is the item's.
	ID string `cbor:"1,keyasint"`
	// State says how it ended.
	State State `cbor:"2,keyasint"`
	// Text is the data of all events, separated by line feeds.
	Text []byte `cbor:"3,keyasint,omitempty"`
}

// encode returns a value for the store.
func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // Plain structs of strings and numbers always encode.
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(data, &value)
	return value, errors.Wrap(err, "value in the store")
}
