package beryljob

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is where a job stands.
type State string

const (
	// Running marks a job with items left to run.
	Running State = "in_progress"
	// Cancelling marks a job that starts no further items.
	Cancelling State = "cancelling"
	// Cancelled marks a job that was stopped; the results committed before stay readable.
	Cancelled State = "cancelled"
	// Completed marks a job of which every item has a result.
	Completed State = "completed"
)

const (
	filePrefix = "/berylroad/files/"
	jobPrefix  = "/berylroad/jobs/"
	openPrefix = "/berylroad/open-jobs/"
	// segmentPrefix is followed by the job's id and the segment's name.
	segmentPrefix = "/berylroad/segments/"
)

// File is an uploaded input.
type File struct {
	// ID names it.
	ID string `cbor:"1,keyasint"`
	// Caller is the account that uploaded it.
	Caller string `cbor:"2,keyasint"`
	// Name is the name that the caller gave it.
	Name string `cbor:"3,keyasint"`
	// Created is when it was accepted.
	Created time.Time `cbor:"4,keyasint"`
	// Data is the content.
	Data []byte `cbor:"5,keyasint"`
	// Nonce tells this write from any other.
	Nonce string `cbor:"6,keyasint"`
}

// Item is one request of a job, in the published batch line format.
type Item struct {
	// CustomID is the caller's name for the item, unique in the job.
	CustomID string `json:"custom_id"`
	// Method is always POST.
	Method string `json:"method"`
	// URL is the path of the call.
	URL string `json:"url"`
	// Body is the request body.
	Body json.RawMessage `json:"body"`
}

// Result is the committed end of one item.
type Result struct {
	// Item counts from 0 in the order of the input.
	Item int `cbor:"1,keyasint"`
	// Status is the HTTP status of the answer, or zero where there is none.
	Status int `cbor:"2,keyasint,omitempty"`
	// Body is the answer, which is JSON.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Code is the stable error code where there is no answer.
	Code string `cbor:"4,keyasint,omitempty"`
	// Message says why there is no answer.
	Message string `cbor:"5,keyasint,omitempty"`
}

// Answered reports whether the item has an answer that counts as done.
func (r *Result) Answered() bool {
	return r.Status >= 200 && r.Status < 300
}

// Record is one job as the platform's service holds it.
type Record struct {
	// ID names the job.
	ID string `cbor:"1,keyasint"`
	// Caller is the account that sent it.
	Caller string `cbor:"2,keyasint"`
	// Endpoint is the path that every item calls.
	Endpoint string `cbor:"3,keyasint"`
	// InputFile names the file the items came from.
	InputFile string `cbor:"4,keyasint"`
	// Created is when the job was accepted.
	Created time.Time `cbor:"5,keyasint"`
	// State is where the job stands.
	State State `cbor:"6,keyasint"`
	// Epoch is the fencing number; each new owner raises it by one.
	Epoch uint64 `cbor:"7,keyasint"`
	// Owner is the host that runs the job.
	Owner string `cbor:"8,keyasint"`
	// OwnerBoot tells one run of that host from the next.
	OwnerBoot uint64 `cbor:"9,keyasint"`
	// Total counts the items.
	Total int `cbor:"10,keyasint"`
	// Ended has one bit for each item, set once its end is committed.
	Ended ItemSet `cbor:"11,keyasint"`
	// Segments names the committed result segments in order.
	Segments []string `cbor:"13,keyasint"`
	// Succeeded counts the items whose answer counts as done.
	Succeeded int `cbor:"14,keyasint"`
	// Failed counts the items that ended without such an answer.
	Failed int `cbor:"15,keyasint"`
	// Nonce tells this write from any other.
	Nonce string `cbor:"12,keyasint"`
}

// Segment is a group of ends, written before the record names it.
type Segment struct {
	// Results are the ends.
	Results []Result `cbor:"1,keyasint"`
	// Nonce tells this write from any other.
	Nonce string `cbor:"2,keyasint"`
}

// ItemSet is a set of item numbers; its zero value is empty.
type ItemSet []byte

// Has reports whether the item is in the set.
func (b ItemSet) Has(item int) bool {
	return item/8 < len(b) && b[item/8]&(1<<(item%8)) != 0
}

// Add puts the item in the set.
func (b *ItemSet) Add(item int) {
	for item/8 >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[item/8] |= 1 << (item % 8)
}

// Done reports whether the job has ended.
func (r *Record) Done() bool {
	return r.State == Completed || r.State == Cancelled
}

// decode reads a record of either kind.
func decode[T any](data []byte) (*T, error) {
	value := new(T)
	if err := cbor.Unmarshal(data, value); err != nil {
		return nil, err
	}
	return value, nil
}
