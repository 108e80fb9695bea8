package beryljob

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job, as callers see it.
type State string

const (
	// Running means that the job has items without a result.
	Running State = "in_progress"
	// Cancelling means that the job starts no further items; the owner has yet to stop those in flight.
	Cancelling State = "cancelling"
	// Cancelled means that the job was stopped; results that were committed before stay readable.
	Cancelled State = "cancelled"
	// Completed means that every item has a result.
	Completed State = "completed"
)

// Prefixes of the keys in the platform's service.
const (
	filePrefix = "/berylroad/files/"
	jobPrefix  = "/berylroad/jobs/"
	// openPrefix is followed by the id of a job that may have items to run; see openMarker.
	openPrefix = "/berylroad/open-jobs/"
	// segmentPrefix is followed by the job's id, a slash and the segment's name.
	segmentPrefix = "/berylroad/segments/"
)

// File is an uploaded input file.
type File struct {
	// ID is the id from newID, by which callers refer to the file.
	ID string `cbor:"1,keyasint"`
	// Caller is the account that uploaded the file.
	Caller string `cbor:"2,keyasint"`
	// Name is the file name that the caller sent.
	Name string `cbor:"3,keyasint"`
	// Created is when the file was accepted.
	Created time.Time `cbor:"4,keyasint"`
	// Data is the content of the file: one item in JSON per line.
	Data []byte `cbor:"5,keyasint"`
	// Nonce is a random value that makes each write unique, so that a host can tell its own write when the answer was lost.
	Nonce string `cbor:"6,keyasint"`
}

// Item is one request of a job, in the OpenAI batch input format.
type Item struct {
	// CustomID is chosen by the caller and unique in the job.
	CustomID string `json:"custom_id"`
	// Method is always POST.
	Method string `json:"method"`
	// URL is the request path, one of endpoints.
	URL string `json:"url"`
	// Body is the request body, a JSON object that names a model and requests no stream.
	Body json.RawMessage `json:"body"`
}

// Result is the outcome of one item.
type Result struct {
	// Item is the item's position in the input file, from 0.
	Item int `cbor:"1,keyasint"`
	// Status is the HTTP status of the answer, or zero if there is no answer.
	Status int `cbor:"2,keyasint,omitempty"`
	// Body is the answer, which is JSON.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Code is the stable error code of an item without an answer.
	Code string `cbor:"4,keyasint,omitempty"`
	// Message says why there is no answer.
	Message string `cbor:"5,keyasint,omitempty"`
}

// Answered reports whether the item succeeded: it has an answer with a 2xx status.
func (r *Result) Answered() bool {
	return r.Status >= 200 && r.Status < 300
}

// Record is the stored state of a job.
type Record struct {
	// ID is the id from newID, by which callers refer to the job.
	ID string `cbor:"1,keyasint"`
	// Caller is the account that submitted the job.
	Caller string `cbor:"2,keyasint"`
	// Endpoint is the request path of every item.
	Endpoint string `cbor:"3,keyasint"`
	// InputFile is the id of the file that holds the items.
	InputFile string `cbor:"4,keyasint"`
	// Created is when the job was accepted.
	Created time.Time `cbor:"5,keyasint"`
	// State says whether the job runs or how it ended.
	State State `cbor:"6,keyasint"`
	// Epoch is the fencing token; each new owner raises it by one.
	Epoch uint64 `cbor:"7,keyasint"`
	// Owner is the host that runs the job.
	Owner string `cbor:"8,keyasint"`
	// OwnerBoot identifies the run of the owner's process.
	OwnerBoot uint64 `cbor:"9,keyasint"`
	// Total is the number of items.
	Total int `cbor:"10,keyasint"`
	// Ended holds the items whose results are committed.
	Ended ItemSet `cbor:"11,keyasint"`
	// Segments names the committed result segments in order.
	Segments []string `cbor:"13,keyasint"`
	// Succeeded counts the items that ended with an answer of a 2xx status.
	Succeeded int `cbor:"14,keyasint"`
	// Failed counts the items that ended in any other way.
	Failed int `cbor:"15,keyasint"`
	// Nonce is a random value that makes each write unique; see File.Nonce.
	Nonce string `cbor:"12,keyasint"`
}

// Segment is a group of results. It is written before the record that names it; a segment that no record names does not
// count.
type Segment struct {
	// Results are the results of the segment's items.
	Results []Result `cbor:"1,keyasint"`
	// Nonce is a random value that makes each write unique; see File.Nonce.
	Nonce string `cbor:"2,keyasint"`
}

// ItemSet is a set of item positions, one bit for each; its zero value is empty.
type ItemSet []byte

// Has reports whether the item is in the set.
func (s ItemSet) Has(item int) bool {
	return item/8 < len(s) && s[item/8]&(1<<(item%8)) != 0
}

// Add adds the item to the set.
func (s *ItemSet) Add(item int) {
	for item/8 >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[item/8] |= 1 << (item % 8)
}

// Done reports whether the job has ended.
func (r *Record) Done() bool {
	return r.State == Completed || r.State == Cancelled
}

// decode decodes a stored value of any kind.
func decode[T any](data []byte) (*T, error) {
	value := new(T)
	if err := cbor.Unmarshal(data, value); err != nil {
		return nil, err
	}
	return value, nil
}
